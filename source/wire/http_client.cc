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
  Loop* loop = nullptr;
  h2o_timeout_t io_timeout{};
  h2o_http1client_ctx_t context{};
  std::map<Address, std::unique_ptr<h2o_socketpool_t>> pools;
  /// Kept because calls in flight still refer to them.
  std::vector<std::unique_ptr<h2o_socketpool_t>> retired;
};

namespace {

constexpr size_t kPoolCapacity = 64;
constexpr uint64_t kPoolIdleMs = 20'000;

class Http1Call : public Call, public std::enable_shared_from_this<Http1Call> {
 public:
  Http1Call(Loop& loop, const Address& to, const HttpRequest& request,
            bool reuse, CallHooks hooks)
      : loop_(loop), hooks_(std::move(hooks)) {
    text_ = request.method + " " + request.path +
            " HTTP/1.1\r\nhost: " + ToString(to) + "\r\n";
    for (const Header& header : request.headers) {
      text_ += header.name + ": " + header.value + "\r\n";
    }
    if (!reuse) text_ += "connection: close\r\n";
    text_ += "content-length: " + std::to_string(request.body.size()) +
             "\r\n\r\n" + request.body;
    is_head_ = request.method == "HEAD";
  }

  void Begin(ClientState& client, const Address& to, bool reuse,
             Duration timeout) {
    // h2o keeps a plain pointer, so the call owns itself until it ends.
    self_ = shared_from_this();
    timer_ = loop_.After(timeout, [this, &client, to] {
      // Idle connections to a silent peer are likely to be dead as well.
      RetirePool(client, to);
      Fail(WireError::kTimeout);
    });
    if (reuse) {
      h2o_http1client_connect_with_pool(&native_, this, &client.context,
                                        PoolOf(client, to), OnConnect);
      return;
    }
    h2o_http1client_connect(&native_, this, &client.context,
                            h2o_iovec_init(to.host.data(), to.host.size()),
                            to.port, 0, OnConnect);
  }

  void Cancel() override {
    hooks_ = {};
    Fail(WireError::kCancelled);
  }

  void SetPaused(bool paused) override {
    if (native_ == nullptr || native_->sock == nullptr) return;
    if (paused == paused_) return;
    paused_ = paused;
    if (paused) {
      resume_cb_ = native_->sock->_cb.read;
      if (resume_cb_ != nullptr) h2o_socket_read_stop(native_->sock);
      return;
    }
    if (resume_cb_ != nullptr) h2o_socket_read_start(native_->sock, resume_cb_);
  }

 private:
  /// Later calls open new connections; idle ones end by their own timeout.
  static void RetirePool(ClientState& client, const Address& to) {
    const auto it = client.pools.find(to);
    if (it == client.pools.end()) return;
    client.retired.push_back(std::move(it->second));
    client.pools.erase(it);
  }

  static h2o_socketpool_t* PoolOf(ClientState& client, const Address& to) {
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

  static Http1Call* Of(h2o_http1client_t* client) {
    return static_cast<Http1Call*>(client->data);
  }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* errstr,
                                           h2o_iovec_t** bufs, size_t* bufcnt,
                                           int* method_is_head) {
    Http1Call* call = Of(client);
    if (errstr != nullptr) {
      call->native_ = nullptr;
      call->Finish({WireError::kConnect, Sent::kNo});
      return nullptr;
    }
    call->sent_ = Sent::kMaybe;
    call->buf_ = h2o_iovec_init(call->text_.data(), call->text_.size());
    *bufs = &call->buf_;
    *bufcnt = 1;
    *method_is_head = call->is_head_ ? 1 : 0;
    return OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                                        const char* errstr, int /*minor*/,
                                        int status, h2o_iovec_t /*msg*/,
                                        h2o_header_t* headers,
                                        size_t num_headers, int /*rlen*/) {
    Http1Call* call = Of(client);
    const bool no_body = errstr == h2o_http1client_error_is_eos;
    if (errstr != nullptr && !no_body) {
      call->native_ = nullptr;
      call->Finish({WireError::kLinkLost, Sent::kMaybe});
      return nullptr;
    }
    Headers out;
    for (size_t i = 0; i < num_headers; ++i) {
      std::string name(headers[i].name->base, headers[i].name->len);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      out.push_back(
          {std::move(name), {headers[i].value.base, headers[i].value.len}});
    }
    const std::shared_ptr<Http1Call> keep = call->self_;
    call->in_callback_ = true;
    if (call->hooks_.on_head) call->hooks_.on_head(status, out);
    call->in_callback_ = false;
    if (call->native_ == nullptr) return nullptr;
    if (no_body) {
      call->native_ = nullptr;
      call->Finish({});
      return nullptr;
    }
    return OnBody;
  }

  static int OnBody(h2o_http1client_t* client, const char* errstr) {
    Http1Call* call = Of(client);
    const std::shared_ptr<Http1Call> keep = call->self_;
    h2o_buffer_t** input = &client->sock->input;
    if ((*input)->size != 0) {
      const std::string piece((*input)->bytes, (*input)->size);
      h2o_buffer_consume(input, (*input)->size);
      call->in_callback_ = true;
      if (call->hooks_.on_body) call->hooks_.on_body(piece);
      call->in_callback_ = false;
      if (call->native_ == nullptr) return 1;
    }
    if (errstr == nullptr) return 0;
    call->native_ = nullptr;
    if (errstr == h2o_http1client_error_is_eos) {
      call->Finish({});
    } else {
      call->Finish({WireError::kLinkLost, Sent::kMaybe});
    }
    return 0;
  }

  /// Ends the call from our side. Inside one of h2o's callbacks the client is
  /// freed by what the callback returns, elsewhere by cancelling it.
  void Fail(WireError error) {
    if (self_ == nullptr) return;
    h2o_http1client_t* client = std::exchange(native_, nullptr);
    if (client != nullptr && !in_callback_) h2o_http1client_cancel(client);
    Finish({error, sent_});
  }

  void Finish(CallEnd end) {
    loop_.Cancel(timer_);
    const std::shared_ptr<Http1Call> keep = std::move(self_);
    self_ = nullptr;
    auto on_end = std::move(hooks_.on_end);
    hooks_ = {};
    if (on_end) on_end(end);
  }

  Loop& loop_;
  CallHooks hooks_;
  std::string text_;
  h2o_iovec_t buf_{};
  bool is_head_ = false;
  bool paused_ = false;
  bool in_callback_ = false;
  Sent sent_ = Sent::kNo;
  TimerId timer_ = 0;
  h2o_http1client_t* native_ = nullptr;
  h2o_socket_cb resume_cb_ = nullptr;
  std::shared_ptr<Http1Call> self_;
};

}  // namespace
}  // namespace detail

HttpClient::HttpClient(Loop& loop, Duration io_timeout)
    : loop_(loop), io_timeout_(io_timeout) {}

// Timeouts and pools stay linked to the loop until the process ends.
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
  call->Begin(State(), to, reuse, timeout);
  return call;
}

}  // namespace almondtally
