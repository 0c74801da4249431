#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include "wire/server_connection.h"

namespace almondtally::detail {
namespace {

constexpr uint32_t kMaxStreams = 256;
constexpr int32_t kStreamWindowBytes = 256 << 10;
constexpr int32_t kConnectionWindowBytes = 1 << 20;
/// Frames are passed to the kernel up to this amount; the rest waits in the
/// session, where flow control holds it back.
constexpr size_t kWriteBatchBytes = 64 << 10;
/// A growing body is charged in steps of this size.
constexpr size_t kBodyStepBytes = 16 << 10;
/// What a header field counts besides its text (RFC 9113, section 6.5.2).
constexpr size_t kFieldBytes = 32;
/// State of a session, with its table of header fields.
constexpr size_t kSessionBytes = 16 << 10;
constexpr int kContentTooLarge = 413;

class Http2Protocol;

class Http2Exchange : public ExchangeState {
 public:
  Http2Exchange(Http2Protocol& owner, int32_t stream_id);

  bool closed() const override { return owner_ == nullptr || ended_; }
  void Answer(int status, const Headers& headers,
              std::string_view body) override;
  void Begin(int status, const Headers& headers) override;
  void Write(std::string_view chunk) override;
  void End() override;
  void Abort() override;
  size_t queued() const override { return output_.size() - output_read_; }
  bool KeepOnly(size_t bytes) override;

  int32_t stream() const { return stream_; }
  bool ended() const { return ended_; }

 private:
  friend class Http2Protocol;

  Http2Protocol* owner_;
  int32_t stream_;
  IntakeAccount account_;
  size_t head_bytes_ = 0;
  MonotonicTime began_;
  bool dispatched_ = false;
  bool refused_ = false;
  bool begun_ = false;
  bool ended_ = false;
  bool output_deferred_ = false;
  /// When output was last added to an empty queue or taken from the queue.
  MonotonicTime last_output_{};
  std::string output_;
  size_t output_read_ = 0;
};

/// Serves requests on the streams of an HTTP/2 connection (nghttp2). Received
/// bytes are acknowledged as they are charged to the budget, so that flow
/// control bounds what is on its way.
class Http2Protocol : public ServerProtocol {
 public:
  explicit Http2Protocol(ServerConnection& connection);
  ~Http2Protocol() override { nghttp2_session_del(session_); }
  Http2Protocol(const Http2Protocol&) = delete;
  Http2Protocol& operator=(const Http2Protocol&) = delete;

  void HandleInput(std::string_view bytes) override;
  void HandleSent() override { Flush(); }
  void HandleClosed() override;
  void CheckTimeouts(MonotonicTime now) override;
  void Shutdown() override;
  bool wants_input() const override { return true; }
  bool serving() const override;

  ServerConnection& connection() { return connection_; }
  ServerState& server() { return server_; }
  MonotonicTime now() const { return server_.loop.now(); }

  // For the exchange of a stream.
  void SubmitResponse(Http2Exchange& exchange, int status,
                      const Headers& headers, bool has_body);
  void ResumeOutput(Http2Exchange& exchange);
  void Reset(Http2Exchange& exchange, uint32_t error_code);
  void GiveUp(int32_t stream);

 private:
  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* self);
  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const uint8_t* name, size_t name_size,
                      const uint8_t* value, size_t value_size, uint8_t,
                      void* self);
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int OnData(nghttp2_session*, uint8_t, int32_t stream,
                    const uint8_t* data, size_t n, void* self);
  static int OnStreamClosed(nghttp2_session*, int32_t stream, uint32_t,
                            void* self);
  static ssize_t ReadOutput(nghttp2_session*, int32_t stream, uint8_t* buf,
                            size_t n, uint32_t* flags, nghttp2_data_source*,
                            void* self);

  Http2Exchange* Find(int32_t stream);
  void AppendBody(Http2Exchange& exchange, std::string_view bytes);
  void Refuse(Http2Exchange& exchange, IntakeEvent event);
  void Dispatch(int32_t stream);
  void Remove(int32_t stream);
  void ResetUnread(Http2Exchange& exchange);
  void NotifyDrained(int32_t stream);
  void Flush();

  ServerConnection& connection_;
  ServerState& server_;
  IntakeAccount account_;
  nghttp2_session* session_ = nullptr;
  std::map<int32_t, std::shared_ptr<Http2Exchange>> exchanges_;
  /// When the last stream ended.
  MonotonicTime idle_since_;
  bool in_session_ = false;
};

Http2Exchange::Http2Exchange(Http2Protocol& owner, int32_t stream_id)
    : owner_(&owner),
      stream_(stream_id),
      account_(*owner.server().budget,
               [this] {
                 if (owner_ != nullptr) owner_->GiveUp(stream_);
               }),
      began_(owner.now()) {}

void Http2Exchange::Answer(int status, const Headers& headers,
                           std::string_view body) {
  if (closed() || begun_) return;
  begun_ = ended_ = true;
  const bool has_body = !body.empty() && request.method != "HEAD";
  if (has_body) output_ = body;
  Headers all = headers;
  all.push_back({"content-length", std::to_string(body.size())});
  owner_->SubmitResponse(*this, status, all, has_body);
}

void Http2Exchange::Begin(int status, const Headers& headers) {
  if (closed() || begun_) return;
  begun_ = true;
  owner_->SubmitResponse(*this, status, headers, request.method != "HEAD");
}

void Http2Exchange::Write(std::string_view chunk) {
  if (closed() || !begun_) return;
  output_.erase(0, std::exchange(output_read_, 0));
  output_ += chunk;
  owner_->ResumeOutput(*this);
}

void Http2Exchange::End() {
  if (closed() || !begun_) return;
  ended_ = true;
  owner_->ResumeOutput(*this);
}

void Http2Exchange::Abort() {
  if (closed()) return;
  ended_ = true;
  owner_->Reset(*this, NGHTTP2_INTERNAL_ERROR);
}

bool Http2Exchange::KeepOnly(size_t bytes) {
  request.body = {};
  return closed() || account_.Hold(bytes, owner_->now());
}

Http2Protocol::Http2Protocol(ServerConnection& connection)
    : connection_(connection),
      server_(connection.server()),
      account_(*server_.budget, [] {}),
      idle_since_(now()) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         OnStreamClosed);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_session_server_new2(&session_, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<uint32_t>(server_.limits.max_head)}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  account_.Hold(kConnectionBytes + kSessionBytes, idle_since_);
}

void Http2Protocol::HandleInput(std::string_view bytes) {
  in_session_ = true;
  const ssize_t n = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  in_session_ = false;
  if (connection_.closed()) return;
  if (n < 0) return connection_.Close();
  Flush();
  if (!connection_.closed() && nghttp2_session_want_read(session_) == 0 &&
      nghttp2_session_want_write(session_) == 0 && connection_.unsent() == 0)
    connection_.Close();
}

/// Passes frames to the kernel as far as it takes them.
void Http2Protocol::Flush() {
  if (in_session_ || connection_.closed()) return;
  if (connection_.unsent() > 0) return;
  std::string out;
  in_session_ = true;
  while (out.size() < kWriteBatchBytes) {
    const uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &data);
    if (n <= 0) break;
    out.append(reinterpret_cast<const char*>(data), static_cast<size_t>(n));
  }
  in_session_ = false;
  if (out.empty()) return;
  connection_.Send(out);
  if (connection_.unsent() == 0 && out.size() >= kWriteBatchBytes)
    connection_.RunLater([this] { Flush(); });
}

Http2Exchange* Http2Protocol::Find(int32_t stream) {
  const auto it = exchanges_.find(stream);
  return it == exchanges_.end() ? nullptr : it->second.get();
}

int Http2Protocol::OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                                  void* user_data) {
  auto* self = static_cast<Http2Protocol*>(user_data);
  const int32_t stream = frame->hd.stream_id;
  if (frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
  auto exchange = std::make_shared<Http2Exchange>(*self, stream);
  exchange->account_.BeginArrival(exchange->began_);
  self->exchanges_.emplace(stream, std::move(exchange));
  return 0;
}

int Http2Protocol::OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                            const uint8_t* name, size_t name_size,
                            const uint8_t* value, size_t value_size, uint8_t,
                            void* user_data) {
  auto* self = static_cast<Http2Protocol*>(user_data);
  Http2Exchange* exchange = self->Find(frame->hd.stream_id);
  if (exchange == nullptr || exchange->dispatched_ || exchange->refused_)
    return 0;
  exchange->head_bytes_ += name_size + value_size + kFieldBytes;
  if (exchange->head_bytes_ > self->server_.limits.max_head) {
    self->Refuse(*exchange, IntakeEvent::kHeadTooLarge);
    return 0;
  }
  if (!exchange->account_.Hold(exchange->head_bytes_, self->now())) {
    self->Refuse(*exchange, IntakeEvent::kNoRoom);
    return 0;
  }
  std::string key(reinterpret_cast<const char*>(name), name_size);
  std::string text(reinterpret_cast<const char*>(value), value_size);
  HttpRequest& request = exchange->request;
  if (key == ":method") {
    request.method = std::move(text);
  } else if (key == ":path") {
    request.path = std::move(text);
  } else if (key == ":authority" || key == "host") {
    request.authority = std::move(text);
  } else if (!key.starts_with(':') && key != "content-length") {
    request.headers.push_back({std::move(key), std::move(text)});
  }
  return 0;
}

int Http2Protocol::OnData(nghttp2_session* session, uint8_t, int32_t stream,
                          const uint8_t* data, size_t n, void* user_data) {
  auto* self = static_cast<Http2Protocol*>(user_data);
  nghttp2_session_consume(session, stream, n);
  Http2Exchange* exchange = self->Find(stream);
  if (exchange == nullptr || exchange->refused_) return 0;
  self->AppendBody(*exchange, {reinterpret_cast<const char*>(data), n});
  return 0;
}

void Http2Protocol::AppendBody(Http2Exchange& exchange,
                               std::string_view bytes) {
  std::string& body = exchange.request.body;
  const size_t size = body.size() + bytes.size();
  if (size > server_.limits.max_body)
    return Refuse(exchange, IntakeEvent::kBodyTooLarge);
  const size_t needed = exchange.head_bytes_ + (size + kBodyStepBytes - 1) /
                                                   kBodyStepBytes *
                                                   kBodyStepBytes;
  if (needed > exchange.account_.bytes() &&
      !exchange.account_.Hold(needed, now()))
    return Refuse(exchange, IntakeEvent::kNoRoom);
  body.append(bytes);
  exchange.account_.AddProgress(bytes.size(), now());
}

int Http2Protocol::OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                           void* user_data) {
  auto* self = static_cast<Http2Protocol*>(user_data);
  const bool request_frame =
      frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  if (!request_frame || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
    return 0;
  self->Dispatch(frame->hd.stream_id);
  return 0;
}

void Http2Protocol::Dispatch(int32_t stream) {
  const auto it = exchanges_.find(stream);
  if (it == exchanges_.end()) return;
  const std::shared_ptr<Http2Exchange> exchange = it->second;
  if (exchange->dispatched_ || exchange->refused_) return;
  exchange->dispatched_ = true;
  exchange->account_.EndArrival();
  ++server_.open_exchanges;
  server_.handler(Exchange(exchange));
}

/// Ends a stream whose request is not served.
void Http2Protocol::Refuse(Http2Exchange& exchange, IntakeEvent event) {
  exchange.refused_ = true;
  exchange.account_.EndArrival();
  connection_.Report(event,
                     event == IntakeEvent::kBodyTooLarge ? kContentTooLarge : 0,
                     exchange.head_bytes_ + exchange.request.body.size());
  exchange.account_.Hold(0, now());
  exchange.request.body = {};
  exchange.ended_ = true;
  if (event == IntakeEvent::kBodyTooLarge) {
    SubmitResponse(exchange, kContentTooLarge, {}, false);
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, exchange.stream_,
                              NGHTTP2_NO_ERROR);
    return;
  }
  // The caller may send the request again: it was not processed.
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, exchange.stream_,
                            NGHTTP2_REFUSED_STREAM);
}

/// A request that is arriving is given up for another one.
void Http2Protocol::GiveUp(int32_t stream) {
  Http2Exchange* exchange = Find(stream);
  if (exchange == nullptr) return;
  Refuse(*exchange, IntakeEvent::kEvicted);
  if (!in_session_) connection_.RunLater([this] { Flush(); });
}

void Http2Protocol::SubmitResponse(Http2Exchange& exchange, int status,
                                   const Headers& headers, bool has_body) {
  const auto pair = [](std::string_view name, std::string_view value) {
    // nghttp2 copies both strings and does not modify them.
    return nghttp2_nv{
        reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
        reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
        name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
  };
  const std::string status_text = std::to_string(status);
  std::vector<nghttp2_nv> fields = {pair(":status", status_text)};
  for (const Header& it : headers) {
    if (IsConnectionField(it.name) && it.name != "content-length") continue;
    fields.push_back(pair(it.name, it.value));
  }
  nghttp2_data_provider body{};
  body.read_callback = ReadOutput;
  nghttp2_submit_response(session_, exchange.stream_, fields.data(),
                          fields.size(), has_body ? &body : nullptr);
  ResumeOutput(exchange);
}

/// The exchange has more output, or its end.
void Http2Protocol::ResumeOutput(Http2Exchange& exchange) {
  exchange.last_output_ = now();
  if (std::exchange(exchange.output_deferred_, false))
    nghttp2_session_resume_data(session_, exchange.stream_);
  const size_t unsent = exchange.queued();
  if (unsent > exchange.account_.bytes() &&
      !exchange.account_.Hold(unsent, now())) {
    // An answer cannot be taken back; the caller sees that it is incomplete.
    connection_.RunLater([this, stream = exchange.stream_] {
      Http2Exchange* const it = Find(stream);
      if (it != nullptr) ResetUnread(*it);
    });
  }
  Flush();
}

void Http2Protocol::ResetUnread(Http2Exchange& exchange) {
  connection_.Report(IntakeEvent::kAnswerUnread, 0, exchange.queued());
  Reset(exchange, NGHTTP2_INTERNAL_ERROR);
}

void Http2Protocol::Reset(Http2Exchange& exchange, uint32_t error_code) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, exchange.stream_,
                            error_code);
  Flush();
}

ssize_t Http2Protocol::ReadOutput(nghttp2_session*, int32_t stream,
                                  uint8_t* buf, size_t n, uint32_t* flags,
                                  nghttp2_data_source*, void* user_data) {
  auto* self = static_cast<Http2Protocol*>(user_data);
  Http2Exchange* exchange = self->Find(stream);
  if (exchange == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const size_t length = std::min(n, exchange->queued());
  if (length == 0 && !exchange->ended_) {
    exchange->output_deferred_ = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  std::copy_n(exchange->output_.data() + exchange->output_read_, length, buf);
  exchange->output_read_ += length;
  exchange->last_output_ = self->now();
  if (exchange->queued() == 0) {
    exchange->output_ = {};
    exchange->output_read_ = 0;
    if (exchange->ended_)
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    else
      self->NotifyDrained(stream);
  }
  return static_cast<ssize_t>(length);
}

void Http2Protocol::NotifyDrained(int32_t stream) {
  connection_.RunLater([this, stream] {
    const auto it = exchanges_.find(stream);
    if (it == exchanges_.end()) return;
    const std::shared_ptr<Http2Exchange> exchange = it->second;
    if (exchange->closed() || exchange->queued() > 0 || !exchange->on_drained)
      return;
    const auto fn = exchange->on_drained;
    fn();
  });
}

int Http2Protocol::OnStreamClosed(nghttp2_session*, int32_t stream, uint32_t,
                                  void* user_data) {
  static_cast<Http2Protocol*>(user_data)->Remove(stream);
  return 0;
}

void Http2Protocol::Remove(int32_t stream) {
  const auto it = exchanges_.find(stream);
  if (it == exchanges_.end()) return;
  const std::shared_ptr<Http2Exchange> exchange = it->second;
  exchanges_.erase(it);
  idle_since_ = now();
  exchange->account_.EndArrival();
  exchange->account_.Hold(0, idle_since_);
  exchange->owner_ = nullptr;
  exchange->on_drained = nullptr;
  const auto disconnected = std::exchange(exchange->on_disconnected, nullptr);
  if (!exchange->dispatched_) return;
  --server_.open_exchanges;
  connection_.MarkServed();
  if (!exchange->ended_ && disconnected) disconnected();
}

void Http2Protocol::HandleClosed() {
  account_.Hold(0, now());
  while (!exchanges_.empty()) Remove(exchanges_.begin()->first);
}

bool Http2Protocol::serving() const {
  return std::any_of(exchanges_.begin(), exchanges_.end(),
                     [](const auto& it) { return it.second->dispatched_; });
}

void Http2Protocol::CheckTimeouts(MonotonicTime now) {
  const ServerLimits& limits = server_.limits;
  if (exchanges_.empty()) {
    if (now - idle_since_ >= limits.http2_idle_timeout) connection_.Close();
    return;
  }
  if (connection_.unsent() > 0 &&
      now - connection_.last_sent() >= limits.stall_timeout) {
    connection_.Report(IntakeEvent::kAnswerUnread, 0, connection_.unsent());
    return connection_.Close();
  }
  std::vector<std::shared_ptr<Http2Exchange>> late;
  std::vector<std::shared_ptr<Http2Exchange>> unread;
  for (const auto& [stream, it] : exchanges_) {
    const IntakeAccount& account = it->account_;
    if (account.arriving() &&
        (now - account.last_progress() >= limits.stall_timeout ||
         now - it->began_ >= limits.body_timeout))
      late.push_back(it);
    // A caller may hold back one answer while it reads others.
    if (it->queued() > 0 && now - it->last_output_ >= limits.body_timeout)
      unread.push_back(it);
  }
  for (const auto& it : late) Refuse(*it, IntakeEvent::kArrivalTimeout);
  for (const auto& it : unread) ResetUnread(*it);
  Flush();
}

void Http2Protocol::Shutdown() {
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  Flush();
}

}  // namespace

std::unique_ptr<ServerProtocol> MakeHttp2Protocol(
    ServerConnection& connection) {
  return std::make_unique<Http2Protocol>(connection);
}

}  // namespace almondtally::detail
