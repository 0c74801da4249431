#include "wire/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <deque>
#include <utility>

#include "wire/h2o_include.h"

namespace almondtally {
namespace detail {

struct ServerState {
  Loop* loop = nullptr;
  ServerLimits limits;
  ExchangeHandler handler;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  h2o_socket_t* listener = nullptr;
  size_t connections = 0;
  size_t open = 0;
  bool shut_down = false;
};

struct ExchangeState {
  // First, so that a pointer to the generator is a pointer to its slot.
  struct Generator {
    h2o_generator_t super{};
    ExchangeState* owner = nullptr;
  };

  ServerState* server = nullptr;
  h2o_req_t* req = nullptr;
  HttpRequest request;
  Generator* generator = nullptr;
  std::string sending;
  std::string waiting;
  bool started = false;
  bool in_flight = false;
  bool ended = false;
  bool complete = false;
  bool abort = false;
  std::function<void()> on_drained;
  std::function<void()> on_gone;
};

namespace {

/// Lives in the request's pool; its disposal tells that the request is gone.
struct RequestGuard {
  std::shared_ptr<ExchangeState>* state;
};

struct Handler {
  h2o_handler_t super;
  ServerState* server;
};

void MarkComplete(ExchangeState& state) {
  if (state.complete) return;
  state.complete = true;
  --state.server->open;
}

void OnRequestDisposed(void* raw) {
  auto* guard = static_cast<RequestGuard*>(raw);
  const std::shared_ptr<ExchangeState> state = *guard->state;
  delete guard->state;
  state->req = nullptr;
  const bool cut = !state->complete;
  MarkComplete(*state);
  auto gone = std::move(state->on_gone);
  state->on_gone = nullptr;
  state->on_drained = nullptr;
  if (cut && gone) gone();
}

void PushToConnection(ExchangeState& state) {
  if (state.req == nullptr || state.in_flight || state.complete) return;
  if (state.abort) {
    MarkComplete(state);
    h2o_send(state.req, nullptr, 0, H2O_SEND_STATE_ERROR);
    return;
  }
  if (state.waiting.empty() && !state.ended) return;
  state.sending.swap(state.waiting);
  state.waiting.clear();
  state.in_flight = true;
  h2o_iovec_t buf = h2o_iovec_init(state.sending.data(), state.sending.size());
  const size_t n = state.sending.empty() ? 0 : 1;
  if (state.ended) {
    MarkComplete(state);
    h2o_send(state.req, &buf, n, H2O_SEND_STATE_FINAL);
    return;
  }
  h2o_send(state.req, &buf, n, H2O_SEND_STATE_IN_PROGRESS);
}

void OnProceed(h2o_generator_t* self, h2o_req_t* /*req*/) {
  ExchangeState& state =
      *reinterpret_cast<ExchangeState::Generator*>(self)->owner;
  state.in_flight = false;
  state.sending.clear();
  PushToConnection(state);
  if (state.waiting.empty() && state.on_drained) {
    const auto fn = state.on_drained;
    fn();
  }
}

void OnStop(h2o_generator_t* self, h2o_req_t* /*req*/) {
  // The request's disposal follows and tells the owner.
  reinterpret_cast<ExchangeState::Generator*>(self)->owner->in_flight = true;
}

std::string ToText(h2o_iovec_t text) { return {text.base, text.len}; }

HttpRequest ReadRequest(const h2o_req_t& req) {
  HttpRequest out;
  out.method = ToText(req.method);
  out.path = ToText(req.path);
  out.authority = ToText(req.authority);
  for (size_t i = 0; i < req.headers.size; ++i) {
    const h2o_header_t& header = req.headers.entries[i];
    out.headers.push_back({ToText(*header.name), ToText(header.value)});
  }
  if (req.entity.base != nullptr) out.body = ToText(req.entity);
  return out;
}

int OnRequest(h2o_handler_t* self, h2o_req_t* req) {
  ServerState* server = reinterpret_cast<Handler*>(self)->server;
  auto state = std::make_shared<ExchangeState>();
  state->server = server;
  state->req = req;
  state->request = ReadRequest(*req);
  auto* guard = static_cast<RequestGuard*>(h2o_mem_alloc_shared(
      &req->pool, sizeof(RequestGuard), OnRequestDisposed));
  guard->state = new std::shared_ptr<ExchangeState>(state);
  ++server->open;
  server->handler(Exchange(std::move(state)));
  return 0;
}

void OnConnectionClosed(void* data) {
  --static_cast<ServerState*>(data)->connections;
}

void OnAccept(h2o_socket_t* listener, const char* err) {
  if (err != nullptr) return;
  auto* server = static_cast<ServerState*>(listener->data);
  h2o_socket_t* sock = h2o_evloop_socket_accept(listener);
  if (sock == nullptr) return;
  if (server->connections >= server->limits.max_connections) {
    h2o_socket_close(sock);
    return;
  }
  ++server->connections;
  sock->on_close.cb = OnConnectionClosed;
  sock->on_close.data = server;
  h2o_accept(&server->accept, sock);
}

void SetHead(h2o_req_t* req, int status, const Headers& headers) {
  req->res.status = status;
  req->res.reason = "";
  for (const Header& header : headers) {
    if (header.name == "content-length" || header.name == "connection" ||
        header.name == "transfer-encoding" || header.name == "date" ||
        header.name == "server") {
      continue;
    }
    const h2o_iovec_t name =
        h2o_strdup(&req->pool, header.name.data(), header.name.size());
    const h2o_iovec_t value =
        h2o_strdup(&req->pool, header.value.data(), header.value.size());
    h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1,
                          nullptr, value.base, value.len);
  }
}

}  // namespace
}  // namespace detail

const HttpRequest& Exchange::request() const { return state_->request; }

bool Exchange::closed() const { return state_->complete; }

void Exchange::Answer(int status, const Headers& headers,
                      std::string_view body) const {
  if (state_->complete) return;
  state_->req->res.content_length = body.size();
  Begin(status, headers);
  state_->waiting = body;
  End();
}

void Exchange::Begin(int status, const Headers& headers) const {
  if (state_->complete || state_->started) return;
  state_->started = true;
  detail::SetHead(state_->req, status, headers);
  auto* generator =
      static_cast<detail::ExchangeState::Generator*>(h2o_mem_alloc_pool(
          &state_->req->pool, sizeof(detail::ExchangeState::Generator)));
  generator->super.proceed = detail::OnProceed;
  generator->super.stop = detail::OnStop;
  generator->owner = state_.get();
  state_->generator = generator;
  h2o_start_response(state_->req, &generator->super);
}

void Exchange::Write(std::string_view piece) const {
  if (state_->complete || state_->ended) return;
  state_->waiting += piece;
  detail::PushToConnection(*state_);
}

void Exchange::End() const {
  if (state_->complete || state_->ended) return;
  state_->ended = true;
  detail::PushToConnection(*state_);
}

void Exchange::Abort() const {
  if (state_->complete) return;
  state_->abort = true;
  state_->ended = true;
  detail::PushToConnection(*state_);
}

size_t Exchange::queued() const {
  return state_->waiting.size() + state_->sending.size();
}

void Exchange::OnDrained(std::function<void()> fn) const {
  if (!state_->complete) state_->on_drained = std::move(fn);
}

void Exchange::OnGone(std::function<void()> fn) const {
  if (!state_->complete) state_->on_gone = std::move(fn);
}

HttpServer::HttpServer(Loop& loop, ServerLimits limits, ExchangeHandler handler)
    : state_(std::make_unique<detail::ServerState>()) {
  detail::ServerState& state = *state_;
  state.loop = &loop;
  state.limits = limits;
  state.handler = std::move(handler);
  h2o_config_init(&state.config);
  state.config.max_request_entity_size = limits.max_body;
  state.config.http1.req_timeout =
      static_cast<uint64_t>(limits.http1_idle.count());
  state.config.http2.idle_timeout =
      static_cast<uint64_t>(limits.http2_idle.count());
  constexpr size_t kMaxConcurrentPerConnection = 256;
  state.config.http2.max_concurrent_requests_per_connection =
      kMaxConcurrentPerConnection;
  state.config.server_name = h2o_iovec_init("almondtally", 11);
  constexpr uint16_t kAnyPort = 65535;
  h2o_hostconf_t* host = h2o_config_register_host(
      &state.config, h2o_iovec_init("default", 7), kAnyPort);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  h2o_handler_t* handler_slot =
      h2o_create_handler(path, sizeof(detail::Handler));
  handler_slot->on_req = detail::OnRequest;
  reinterpret_cast<detail::Handler*>(handler_slot)->server = &state;
  h2o_context_init(&state.context, loop.native(), &state.config);
  state.accept.ctx = &state.context;
  state.accept.hosts = state.config.hosts;
}

// Connections may outlive the owner's interest; the process ends right after.
HttpServer::~HttpServer() {
  if (state_->listener != nullptr) h2o_socket_close(state_->listener);
  (void)state_.release();
}

bool HttpServer::Listen(const Address& address, WireReason& why) {
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &sin.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&sin), sizeof sin) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    why.Set(WireError::kConnect,
            "cannot listen on " + ToString(address) + ": " + strerror(errno));
    if (fd >= 0) close(fd);
    return false;
  }
  state_->listener = h2o_evloop_socket_create(state_->loop->native(), fd,
                                              H2O_SOCKET_FLAG_DONT_READ);
  state_->listener->data = state_.get();
  h2o_socket_read_start(state_->listener, detail::OnAccept);
  return true;
}

void HttpServer::Shutdown() {
  if (state_->shut_down) return;
  state_->shut_down = true;
  if (state_->listener != nullptr) h2o_socket_close(state_->listener);
  state_->listener = nullptr;
  h2o_context_request_shutdown(&state_->context);
}

size_t HttpServer::open_exchanges() const { return state_->open; }

}  // namespace almondtally
