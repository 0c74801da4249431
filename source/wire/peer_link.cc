#include "wire/peer_link.h"

#include <arpa/inet.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <utility>
#include <vector>

#include "wire/h2o_include.h"

namespace almondtally {
namespace detail {
namespace {

constexpr Duration kConnectTimeout{1'000};
constexpr int32_t kStreamWindowBytes = 1 << 18;
constexpr int32_t kConnectionWindowBytes = 1 << 22;

nghttp2_nv MakeNameValue(const std::string& name, const std::string& value) {
  // nghttp2 copies both strings and does not modify them, although its
  // structure has non-const pointers for historical reasons.
  return {reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

class PeerCall;

/// An HTTP/2 connection of a link. After a loss the link creates a new one.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(EventLoop& loop, PeerLink& link) : loop_(loop), link_(&link) {}
  ~PeerConnection();

  void Open();
  void Submit(const std::shared_ptr<PeerCall>& call);
  void RemoveCall(PeerCall& call);
  void Consume(int32_t stream, size_t n);
  /// Writes pending frames to the socket.
  void Flush();
  /// Closes the connection and ends every call on it.
  void Close(WireError error);
  /// Called when the link is destroyed or replaces this connection.
  void Detach() { link_ = nullptr; }
  bool usable() const { return !closed_ && !going_away_; }

 private:
  static void OnConnected(h2o_socket_t* sock, const char* err);
  static void OnReadable(h2o_socket_t* sock, const char* err);
  static void OnWritten(h2o_socket_t* sock, const char* err);
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const uint8_t* name, size_t namelen, const uint8_t* value,
                      size_t valuelen, uint8_t, void* self);
  static int OnData(nghttp2_session*, uint8_t, int32_t stream,
                    const uint8_t* data, size_t n, void* self);
  static int OnStreamClosed(nghttp2_session*, int32_t stream,
                            uint32_t error_code, void* self);
  static ssize_t ReadBody(nghttp2_session*, int32_t stream, uint8_t* buf,
                          size_t n, uint32_t* flags, nghttp2_data_source*,
                          void* self);

  void StartSession();
  void SubmitRequest(const std::shared_ptr<PeerCall>& call);
  PeerCall* FindCall(int32_t stream);

  EventLoop& loop_;
  PeerLink* link_;
  h2o_socket_t* sock_ = nullptr;
  nghttp2_session* session_ = nullptr;
  bool connected_ = false;
  bool closed_ = false;
  bool going_away_ = false;
  bool session_running_ = false;
  TimerId connect_timer_ = 0;
  std::string write_buffer_;
  std::vector<std::shared_ptr<PeerCall>> queued_calls_;
  std::map<int32_t, std::shared_ptr<PeerCall>> calls_by_stream_;
  std::shared_ptr<PeerConnection> self_;
};

/// A call on one HTTP/2 stream.
class PeerCall : public Call, public std::enable_shared_from_this<PeerCall> {
 public:
  PeerCall(EventLoop& loop, HttpRequest request, CallHooks hooks)
      : loop_(loop), request(std::move(request)), hooks(std::move(hooks)) {}

  void Cancel() override {
    hooks = {};
    End(WireError::kCancelled);
  }

  void SetPaused(bool paused) override {
    paused_ = paused;
    if (paused || unconsumed_bytes_ == 0) return;
    const size_t n = std::exchange(unconsumed_bytes_, 0);
    if (connection != nullptr) connection->Consume(stream, n);
  }

  void StartTimer(Duration timeout) {
    timer_ = loop_.RunAfter(timeout, [weak = weak_from_this()] {
      if (const auto call = weak.lock()) call->End(WireError::kTimeout);
    });
  }

  /// Ends the call and resets its stream.
  void End(WireError error) {
    if (ended) return;
    const auto keep_alive = shared_from_this();
    if (connection != nullptr) connection->RemoveCall(*this);
    Finish(error);
  }

  void Finish(WireError error) {
    if (ended) return;
    ended = true;
    loop_.Cancel(timer_);
    connection = nullptr;
    auto on_end = std::move(hooks.on_end);
    hooks = {};
    if (on_end) on_end({error, sent});
  }

  void DeliverBody(std::string_view chunk) {
    if (paused_) {
      unconsumed_bytes_ += chunk.size();
    } else if (connection != nullptr) {
      connection->Consume(stream, chunk.size());
    }
    if (hooks.on_body) hooks.on_body(chunk);
  }

 private:
  EventLoop& loop_;

 public:
  HttpRequest request;
  CallHooks hooks;
  std::shared_ptr<PeerConnection> connection;
  int32_t stream = -1;
  SendStatus sent = SendStatus::kNo;
  size_t body_sent = 0;
  int status = 0;
  Headers headers;
  bool ended = false;

 private:
  bool paused_ = false;
  size_t unconsumed_bytes_ = 0;
  TimerId timer_ = 0;
};

PeerConnection::~PeerConnection() {
  if (session_ != nullptr) nghttp2_session_del(session_);
}

void PeerConnection::Open() {
  // The socket holds only a raw pointer, so the connection keeps itself alive
  // until it is closed.
  self_ = shared_from_this();
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_port = htons(link_->to_.port);
  inet_pton(AF_INET, link_->to_.host.c_str(), &sin.sin_addr);
  sock_ = h2o_socket_connect(loop_.native(), reinterpret_cast<sockaddr*>(&sin),
                             sizeof sin, OnConnected);
  if (sock_ == nullptr) {
    loop_.RunAfter(Duration(0), [keep_alive = self_] {
      keep_alive->Close(WireError::kConnect);
    });
    return;
  }
  sock_->data = this;
  connect_timer_ = loop_.RunAfter(kConnectTimeout, [keep_alive = self_] {
    keep_alive->Close(WireError::kConnect);
  });
}

void PeerConnection::OnConnected(h2o_socket_t* sock, const char* err) {
  auto* self = static_cast<PeerConnection*>(sock->data);
  self->loop_.Cancel(self->connect_timer_);
  if (err != nullptr) return self->Close(WireError::kConnect);
  self->connected_ = true;
  self->StartSession();
  h2o_socket_read_start(sock, OnReadable);
  const auto queued_calls = std::exchange(self->queued_calls_, {});
  for (const auto& call : queued_calls) {
    if (!call->ended) self->SubmitRequest(call);
  }
  self->Flush();
}

void PeerConnection::StartSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         OnStreamClosed);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_session_client_new2(&session_, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

void PeerConnection::Submit(const std::shared_ptr<PeerCall>& call) {
  call->connection = shared_from_this();
  if (!connected_) {
    queued_calls_.push_back(call);
    return;
  }
  SubmitRequest(call);
  Flush();
}

void PeerConnection::SubmitRequest(const std::shared_ptr<PeerCall>& call) {
  const HttpRequest& request = call->request;
  static const std::string kMethod = ":method", kScheme = ":scheme",
                           kPath = ":path", kAuthority = ":authority",
                           kHttp = "http";
  const std::string authority = link_ != nullptr ? ToString(link_->to_) : "";
  std::vector<nghttp2_nv> nv = {
      MakeNameValue(kMethod, request.method), MakeNameValue(kScheme, kHttp),
      MakeNameValue(kPath, request.path), MakeNameValue(kAuthority, authority)};
  for (const Header& header : request.headers) {
    nv.push_back(MakeNameValue(header.name, header.value));
  }
  nghttp2_data_provider body{};
  body.read_callback = ReadBody;
  const int32_t stream =
      nghttp2_submit_request(session_, nullptr, nv.data(), nv.size(),
                             request.body.empty() ? nullptr : &body, nullptr);
  if (stream < 0) {
    call->Finish(WireError::kRefusedByPeer);
    return;
  }
  call->stream = stream;
  calls_by_stream_[stream] = call;
}

void PeerConnection::RemoveCall(PeerCall& call) {
  std::erase_if(queued_calls_,
                [&](const auto& it) { return it.get() == &call; });
  if (call.stream < 0 || session_ == nullptr || closed_) return;
  calls_by_stream_.erase(call.stream);
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, call.stream,
                            NGHTTP2_CANCEL);
  Flush();
}

void PeerConnection::Consume(int32_t stream, size_t n) {
  if (closed_ || session_ == nullptr) return;
  nghttp2_session_consume(session_, stream, n);
  Flush();
}

void PeerConnection::Flush() {
  if (closed_ || !connected_ || session_running_ || !write_buffer_.empty())
    return;
  constexpr size_t kWriteBatchBytes = 1 << 16;
  const auto keep_alive = shared_from_this();
  session_running_ = true;
  while (write_buffer_.size() < kWriteBatchBytes) {
    const uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &data);
    if (n <= 0) break;
    write_buffer_.append(reinterpret_cast<const char*>(data),
                         static_cast<size_t>(n));
  }
  session_running_ = false;
  // A callback of the session may have closed the connection.
  if (closed_ || write_buffer_.empty()) return;
  // From here on, any submitted request may have reached the peer.
  for (const auto& [stream, call] : calls_by_stream_)
    call->sent = SendStatus::kMaybe;
  if (link_ != nullptr) link_->bytes_out_ += write_buffer_.size();
  h2o_iovec_t buf = h2o_iovec_init(write_buffer_.data(), write_buffer_.size());
  h2o_socket_write(sock_, &buf, 1, OnWritten);
}

void PeerConnection::OnWritten(h2o_socket_t* sock, const char* err) {
  auto* self = static_cast<PeerConnection*>(sock->data);
  if (err != nullptr) return self->Close(WireError::kLinkLost);
  self->write_buffer_.clear();
  self->Flush();
}

void PeerConnection::OnReadable(h2o_socket_t* sock, const char* err) {
  auto* self = static_cast<PeerConnection*>(sock->data);
  if (err != nullptr) return self->Close(WireError::kLinkLost);
  const auto keep_alive = self->shared_from_this();
  const std::string input(sock->input->bytes, sock->input->size);
  h2o_buffer_consume(&sock->input, sock->input->size);
  if (self->link_ != nullptr) self->link_->bytes_in_ += input.size();
  self->session_running_ = true;
  const ssize_t n = nghttp2_session_mem_recv(
      self->session_, reinterpret_cast<const uint8_t*>(input.data()),
      input.size());
  self->session_running_ = false;
  if (self->closed_) return;
  if (n < 0) return self->Close(WireError::kDecode);
  self->Flush();
  const bool finished = nghttp2_session_want_read(self->session_) == 0 &&
                        nghttp2_session_want_write(self->session_) == 0;
  if (finished && self->write_buffer_.empty())
    self->Close(WireError::kLinkLost);
}

PeerCall* PeerConnection::FindCall(int32_t stream) {
  const auto it = calls_by_stream_.find(stream);
  return it == calls_by_stream_.end() ? nullptr : it->second.get();
}

int PeerConnection::OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                             const uint8_t* name, size_t namelen,
                             const uint8_t* value, size_t valuelen, uint8_t,
                             void* user_data) {
  auto* self = static_cast<PeerConnection*>(user_data);
  PeerCall* call = self->FindCall(frame->hd.stream_id);
  if (call == nullptr) return 0;
  std::string key(reinterpret_cast<const char*>(name), namelen);
  std::string text(reinterpret_cast<const char*>(value), valuelen);
  if (key == ":status") {
    call->status = std::atoi(text.c_str());
    return 0;
  }
  call->headers.push_back({std::move(key), std::move(text)});
  return 0;
}

int PeerConnection::OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                            void* user_data) {
  auto* self = static_cast<PeerConnection*>(user_data);
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    self->going_away_ = true;
    return 0;
  }
  PeerCall* call = self->FindCall(frame->hd.stream_id);
  if (call == nullptr || frame->hd.type != NGHTTP2_HEADERS) return 0;
  constexpr int kFirstFinalStatus = 200;
  if (call->status < kFirstFinalStatus) return 0;
  const auto keep_alive = call->shared_from_this();
  if (call->hooks.on_headers)
    call->hooks.on_headers(call->status, call->headers);
  return 0;
}

int PeerConnection::OnData(nghttp2_session* session, uint8_t, int32_t stream,
                           const uint8_t* data, size_t n, void* user_data) {
  auto* self = static_cast<PeerConnection*>(user_data);
  PeerCall* call = self->FindCall(stream);
  if (call == nullptr) {
    nghttp2_session_consume(session, stream, n);
    return 0;
  }
  const auto keep_alive = call->shared_from_this();
  call->DeliverBody({reinterpret_cast<const char*>(data), n});
  return 0;
}

int PeerConnection::OnStreamClosed(nghttp2_session*, int32_t stream,
                                   uint32_t error_code, void* user_data) {
  auto* self = static_cast<PeerConnection*>(user_data);
  const auto it = self->calls_by_stream_.find(stream);
  if (it == self->calls_by_stream_.end()) return 0;
  const std::shared_ptr<PeerCall> call = it->second;
  self->calls_by_stream_.erase(it);
  if (error_code == NGHTTP2_NO_ERROR && call->status != 0) {
    call->Finish(WireError::kNone);
    return 0;
  }
  if (error_code == NGHTTP2_REFUSED_STREAM) {
    call->sent = SendStatus::kNo;
    call->Finish(WireError::kRefusedByPeer);
    return 0;
  }
  call->Finish(WireError::kLinkLost);
  return 0;
}

ssize_t PeerConnection::ReadBody(nghttp2_session*, int32_t stream, uint8_t* buf,
                                 size_t n, uint32_t* flags,
                                 nghttp2_data_source*, void* user_data) {
  PeerCall* call = static_cast<PeerConnection*>(user_data)->FindCall(stream);
  if (call == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::string& body = call->request.body;
  const size_t length = std::min(n, body.size() - call->body_sent);
  std::copy_n(body.data() + call->body_sent, length, buf);
  call->body_sent += length;
  if (call->body_sent == body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(length);
}

void PeerConnection::Close(WireError error) {
  if (closed_) return;
  closed_ = true;
  loop_.Cancel(connect_timer_);
  const auto keep_alive = shared_from_this();
  self_ = nullptr;
  if (sock_ != nullptr) h2o_socket_close(sock_);
  sock_ = nullptr;
  auto queued_calls = std::exchange(queued_calls_, {});
  auto calls_by_stream = std::exchange(calls_by_stream_, {});
  for (const auto& call : queued_calls) call->Finish(error);
  for (const auto& [stream, call] : calls_by_stream) call->Finish(error);
}

}  // namespace detail

PeerLink::PeerLink(EventLoop& loop, Address to)
    : loop_(loop), to_(std::move(to)) {}

PeerLink::~PeerLink() {
  if (connection_ == nullptr) return;
  connection_->Detach();
  connection_->Close(WireError::kCancelled);
}

std::shared_ptr<Call> PeerLink::Start(HttpRequest request, Duration timeout,
                                      CallHooks hooks) {
  auto call = std::make_shared<detail::PeerCall>(loop_, std::move(request),
                                                 std::move(hooks));
  call->StartTimer(timeout);
  if (connection_ == nullptr || !connection_->usable()) {
    // The old connection may still finish its calls after this link is
    // destroyed.
    if (connection_ != nullptr) connection_->Detach();
    connection_ = std::make_shared<detail::PeerConnection>(loop_, *this);
    connection_->Open();
  }
  connection_->Submit(call);
  return call;
}

}  // namespace almondtally
