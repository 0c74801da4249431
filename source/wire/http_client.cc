#include "wire/http_client.h"

#include <arpa/inet.h>

#include <cctype>
#include <cstring>
#include <utility>
#include <vector>

#include "wire/h2o_include.h"

namespace almondtally {
namespace detail {

struct ClientState {
  EventLoop* loop = nullptr;
  h2o_timeout_t io_timeout{};
  h2o_http1client_ctx_t context{};
  std::map<Address, std::unique_ptr<h2o_socketpool_t>> pools;
  /// Pools that are no longer used for new calls; calls in progress still refer
  /// to them.
  std::vector<std::unique_ptr<h2o_socketpool_t>> retired_pools;
};

namespace {

constexpr size_t kPoolCapacity = 64;
constexpr uint64_t kPoolIdleMs = 20'000;

class Http1Call : public Call, public std::enable_shared_from_this<Http1Call> {
 public:
  Http1Call(EventLoop& loop, const Address& to, const HttpRequest& request,
            bool reuse, CallHooks hooks)
      : loop_(loop), hooks_(std::move(hooks)) {
    request_text_ = request.method + " " + request.path +
                    " HTTP/1.1\r\nhost: " + ToString(to) + "\r\n";
    for (const Header& header : request.headers) {
      request_text_ += header.name + ": " + header.value + "\r\n";
    }
    if (!reuse) request_text_ += "connection: close\r\n";
    request_text_ += "content-length: " + std::to_string(request.body.size()) +
                     "\r\n\r\n" + request.body;
    is_head_ = request.method == "HEAD";
  }

  void Connect(ClientState& client, const Address& to, bool reuse,
               Duration timeout) {
    // h2o holds only a raw pointer, so the call keeps itself alive until it
    // ends.
    self_ = shared_from_this();
    timer_ = loop_.RunAfter(timeout, [this, &client, to] {
      // The idle connections to a peer that does not respond are probably
      // broken as well.
      RetirePool(client, to);
      Abort(WireError::kTimeout);
    });
    if (reuse) {
      h2o_http1client_connect_with_pool(&h2o_client_, this, &client.context,
                                        GetPool(client, to), OnConnect);
      return;
    }
    h2o_http1client_connect(&h2o_client_, this, &client.context,
                            h2o_iovec_init(to.host.data(), to.host.size()),
                            to.port, 0, OnConnect);
  }

  void Cancel() override {
    hooks_ = {};
    Abort(WireError::kCancelled);
  }

  void SetPaused(bool paused) override {
    if (h2o_client_ == nullptr || h2o_client_->sock == nullptr) return;
    if (paused == paused_) return;
    paused_ = paused;
    if (paused) {
      read_callback_ = h2o_client_->sock->_cb.read;
      if (read_callback_ != nullptr) h2o_socket_read_stop(h2o_client_->sock);
      return;
    }
    if (read_callback_ != nullptr)
      h2o_socket_read_start(h2o_client_->sock, read_callback_);
  }

 private:
  /// Makes later calls open new connections; the idle ones in the old pool
  /// close when h2o next looks for expired ones, which it does once a second.
  static void RetirePool(ClientState& client, const Address& to) {
    const auto it = client.pools.find(to);
    if (it == client.pools.end()) return;
    h2o_socketpool_t& pool = *it->second;
    if (h2o_linklist_is_empty(&pool._shared.sockets)) return;
    pool.timeout = 0;
    client.retired_pools.push_back(std::move(it->second));
    client.pools.erase(it);
  }

  static h2o_socketpool_t* GetPool(ClientState& client, const Address& to) {
    auto& pool = client.pools[to];
    if (pool == nullptr) {
      pool = std::make_unique<h2o_socketpool_t>();
      sockaddr_in sin{};
      sin.sin_family = AF_INET;
      sin.sin_port = htons(to.port);
      inet_pton(AF_INET, to.host.c_str(), &sin.sin_addr);
      h2o_socketpool_init_by_address(pool.get(),
                                     reinterpret_cast<sockaddr*>(&sin),
                                     sizeof sin, 0, kPoolCapacity);
      h2o_socketpool_set_timeout(pool.get(), client.loop->native(),
                                 kPoolIdleMs);
    }
    return pool.get();
  }

  static Http1Call* FromClient(h2o_http1client_t* client) {
    return static_cast<Http1Call*>(client->data);
  }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* errstr,
                                           h2o_iovec_t** bufs, size_t* bufcnt,
                                           int* method_is_head) {
    Http1Call* call = FromClient(client);
    if (errstr != nullptr) {
      call->h2o_client_ = nullptr;
      call->Finish({WireError::kConnect, SendStatus::kNo});
      return nullptr;
    }
    call->sent_ = SendStatus::kMaybe;
    call->request_buffer_ =
        h2o_iovec_init(call->request_text_.data(), call->request_text_.size());
    *bufs = &call->request_buffer_;
    *bufcnt = 1;
    *method_is_head = call->is_head_ ? 1 : 0;
    return OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                                        const char* errstr, int /*minor*/,
                                        int status, h2o_iovec_t /*msg*/,
                                        h2o_header_t* headers,
                                        size_t num_headers, int /*rlen*/) {
    Http1Call* call = FromClient(client);
    const bool no_body = errstr == h2o_http1client_error_is_eos;
    if (errstr != nullptr && !no_body) {
      call->h2o_client_ = nullptr;
      call->Finish({WireError::kLinkLost, SendStatus::kMaybe});
      return nullptr;
    }
    Headers out;
    for (size_t i = 0; i < num_headers; ++i) {
      std::string name(headers[i].name->base, headers[i].name->len);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      out.push_back(
          {std::move(name), {headers[i].value.base, headers[i].value.len}});
    }
    const std::shared_ptr<Http1Call> keep_alive = call->self_;
    call->in_callback_ = true;
    if (call->hooks_.on_headers) call->hooks_.on_headers(status, out);
    call->in_callback_ = false;
    if (call->h2o_client_ == nullptr) return nullptr;
    if (no_body) {
      call->h2o_client_ = nullptr;
      call->Finish({});
      return nullptr;
    }
    return OnBody;
  }

  static int OnBody(h2o_http1client_t* client, const char* errstr) {
    Http1Call* call = FromClient(client);
    const std::shared_ptr<Http1Call> keep_alive = call->self_;
    h2o_buffer_t** input = &client->sock->input;
    if ((*input)->size != 0) {
      const std::string chunk((*input)->bytes, (*input)->size);
      h2o_buffer_consume(input, (*input)->size);
      call->in_callback_ = true;
      if (call->hooks_.on_body) call->hooks_.on_body(chunk);
      call->in_callback_ = false;
      if (call->h2o_client_ == nullptr) return 1;
    }
    if (errstr == nullptr) return 0;
    call->h2o_client_ = nullptr;
    if (errstr == h2o_http1client_error_is_eos) {
      call->Finish({});
    } else {
      call->Finish({WireError::kLinkLost, SendStatus::kMaybe});
    }
    return 0;
  }

  /// Aborts the call. If this happens within a callback of h2o, the callback's
  /// return value makes h2o free its client object; otherwise cancelling frees
  /// it.
  void Abort(WireError error) {
    if (self_ == nullptr) return;
    h2o_http1client_t* client = std::exchange(h2o_client_, nullptr);
    if (client != nullptr && !in_callback_) h2o_http1client_cancel(client);
    Finish({error, sent_});
  }

  void Finish(CallStatus end) {
    loop_.Cancel(timer_);
    const std::shared_ptr<Http1Call> keep_alive = std::move(self_);
    self_ = nullptr;
    auto on_end = std::move(hooks_.on_end);
    hooks_ = {};
    if (on_end) on_end(end);
  }

  EventLoop& loop_;
  CallHooks hooks_;
  std::string request_text_;
  h2o_iovec_t request_buffer_{};
  bool is_head_ = false;
  bool paused_ = false;
  bool in_callback_ = false;
  SendStatus sent_ = SendStatus::kNo;
  TimerId timer_ = 0;
  h2o_http1client_t* h2o_client_ = nullptr;
  h2o_socket_cb read_callback_ = nullptr;
  std::shared_ptr<Http1Call> self_;
};

}  // namespace
}  // namespace detail

HttpClient::HttpClient(EventLoop& loop, Duration io_timeout)
    : loop_(loop), io_timeout_(io_timeout) {}

// The state is leaked on purpose: its timeout and pools stay linked to the
// event loop until the process exits.
HttpClient::~HttpClient() { (void)state_.release(); }

detail::ClientState& HttpClient::State() {
  if (state_ != nullptr) return *state_;
  state_ = std::make_unique<detail::ClientState>();
  state_->loop = &loop_;
  h2o_timeout_init(loop_.native(), &state_->io_timeout,
                   static_cast<uint64_t>(io_timeout_.count()));
  state_->context.loop = loop_.native();
  state_->context.io_timeout = &state_->io_timeout;
  return *state_;
}

std::shared_ptr<Call> HttpClient::Start(const Address& to,
                                        const HttpRequest& request, bool reuse,
                                        Duration timeout, CallHooks hooks) {
  auto call = std::make_shared<detail::Http1Call>(loop_, to, request, reuse,
                                                  std::move(hooks));
  call->Connect(State(), to, reuse, timeout);
  return call;
}

}  // namespace almondtally
