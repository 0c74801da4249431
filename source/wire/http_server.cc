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
  EventLoop* loop = nullptr;
  ServerLimits limits;
  ExchangeHandler handler;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  h2o_socket_t* listener = nullptr;
  size_t open_connections = 0;
  size_t open_exchanges = 0;
  bool shut_down = false;
};

struct ExchangeState {
  struct Generator {
    // Must be the first member: h2o passes a pointer to it, which is cast to
    // `Generator`.
    h2o_generator_t super{};
    ExchangeState* owner = nullptr;
  };

  ServerState* server = nullptr;
  h2o_req_t* req = nullptr;
  HttpRequest request;
  Generator* generator = nullptr;
  std::string body_in_flight;
  std::string queued_body;
  bool started = false;
  bool send_in_progress = false;
  bool ended = false;
  bool complete = false;
  bool aborted = false;
  std::function<void()> on_drained;
  std::function<void()> on_disconnected;
};

namespace {

/// Allocated in the request's memory pool, so that its destructor runs when h2o
/// frees the request.
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
  --state.server->open_exchanges;
}

void OnRequestDisposed(void* raw) {
  auto* guard = static_cast<RequestGuard*>(raw);
  const std::shared_ptr<ExchangeState> state = *guard->state;
  delete guard->state;
  state->req = nullptr;
  const bool incomplete = !state->complete;
  MarkComplete(*state);
  auto disconnected = std::move(state->on_disconnected);
  state->on_disconnected = nullptr;
  state->on_drained = nullptr;
  if (incomplete && disconnected) disconnected();
}

void SendQueuedBody(ExchangeState& state) {
  if (state.req == nullptr || state.send_in_progress || state.complete) return;
  if (state.aborted) {
    MarkComplete(state);
    h2o_send(state.req, nullptr, 0, H2O_SEND_STATE_ERROR);
    return;
  }
  if (state.queued_body.empty() && !state.ended) return;
  state.body_in_flight.swap(state.queued_body);
  state.queued_body.clear();
  state.send_in_progress = true;
  h2o_iovec_t buf =
      h2o_iovec_init(state.body_in_flight.data(), state.body_in_flight.size());
  const size_t n = state.body_in_flight.empty() ? 0 : 1;
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
  state.send_in_progress = false;
  state.body_in_flight.clear();
  SendQueuedBody(state);
  if (state.queued_body.empty() && state.on_drained) {
    const auto fn = state.on_drained;
    fn();
  }
}

void OnStop(h2o_generator_t* self, h2o_req_t* /*req*/) {
  // Prevents further sends. h2o frees the request next, and `OnRequestDisposed`
  // then notifies the owner of the exchange.
  reinterpret_cast<ExchangeState::Generator*>(self)->owner->send_in_progress =
      true;
}

std::string ToStdString(h2o_iovec_t text) { return {text.base, text.len}; }

HttpRequest ReadRequest(const h2o_req_t& req) {
  HttpRequest out;
  out.method = ToStdString(req.method);
  out.path = ToStdString(req.path);
  out.authority = ToStdString(req.authority);
  for (size_t i = 0; i < req.headers.size; ++i) {
    const h2o_header_t& header = req.headers.entries[i];
    out.headers.push_back(
        {ToStdString(*header.name), ToStdString(header.value)});
  }
  if (req.entity.base != nullptr) out.body = ToStdString(req.entity);
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
  ++server->open_exchanges;
  server->handler(Exchange(std::move(state)));
  return 0;
}

void OnConnectionClosed(void* data) {
  --static_cast<ServerState*>(data)->open_connections;
}

void OnAccept(h2o_socket_t* listener, const char* err) {
  if (err != nullptr) return;
  auto* server = static_cast<ServerState*>(listener->data);
  h2o_socket_t* sock = h2o_evloop_socket_accept(listener);
  if (sock == nullptr) return;
  if (server->open_connections >= server->limits.max_connections) {
    h2o_socket_close(sock);
    return;
  }
  ++server->open_connections;
  sock->on_close.cb = OnConnectionClosed;
  sock->on_close.data = server;
  h2o_accept(&server->accept, sock);
}

void SetResponseHeaders(h2o_req_t* req, int status, const Headers& headers) {
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
  state_->queued_body = body;
  End();
}

void Exchange::Begin(int status, const Headers& headers) const {
  if (state_->complete || state_->started) return;
  state_->started = true;
  detail::SetResponseHeaders(state_->req, status, headers);
  auto* generator =
      static_cast<detail::ExchangeState::Generator*>(h2o_mem_alloc_pool(
          &state_->req->pool, sizeof(detail::ExchangeState::Generator)));
  generator->super.proceed = detail::OnProceed;
  generator->super.stop = detail::OnStop;
  generator->owner = state_.get();
  state_->generator = generator;
  h2o_start_response(state_->req, &generator->super);
}

void Exchange::Write(std::string_view chunk) const {
  if (state_->complete || state_->ended) return;
  state_->queued_body += chunk;
  detail::SendQueuedBody(*state_);
}

void Exchange::End() const {
  if (state_->complete || state_->ended) return;
  state_->ended = true;
  detail::SendQueuedBody(*state_);
}

void Exchange::Abort() const {
  if (state_->complete) return;
  state_->aborted = true;
  state_->ended = true;
  detail::SendQueuedBody(*state_);
}

size_t Exchange::queued() const {
  return state_->queued_body.size() + state_->body_in_flight.size();
}

void Exchange::OnDrained(std::function<void()> fn) const {
  if (!state_->complete) state_->on_drained = std::move(fn);
}

void Exchange::OnCallerDisconnected(std::function<void()> fn) const {
  if (!state_->complete) state_->on_disconnected = std::move(fn);
}

HttpServer::HttpServer(EventLoop& loop, ServerLimits limits,
                       ExchangeHandler handler)
    : state_(std::make_unique<detail::ServerState>()) {
  detail::ServerState& state = *state_;
  state.loop = &loop;
  state.limits = limits;
  state.handler = std::move(handler);
  h2o_config_init(&state.config);
  state.config.max_request_entity_size = limits.max_body;
  state.config.http1.req_timeout =
      static_cast<uint64_t>(limits.http1_idle_timeout.count());
  state.config.http2.idle_timeout =
      static_cast<uint64_t>(limits.http2_idle_timeout.count());
  constexpr size_t kMaxRequestsPerConnection = 256;
  state.config.http2.max_concurrent_requests_per_connection =
      kMaxRequestsPerConnection;
  state.config.server_name = h2o_iovec_init("almondtally", 11);
  constexpr uint16_t kDefaultPort = 65535;
  h2o_hostconf_t* host = h2o_config_register_host(
      &state.config, h2o_iovec_init("default", 7), kDefaultPort);
  h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
  h2o_handler_t* h2o_handler =
      h2o_create_handler(path, sizeof(detail::Handler));
  h2o_handler->on_req = detail::OnRequest;
  reinterpret_cast<detail::Handler*>(h2o_handler)->server = &state;
  h2o_context_init(&state.context, loop.native(), &state.config);
  state.accept.ctx = &state.context;
  state.accept.hosts = state.config.hosts;
}

// The state is leaked on purpose: open connections still refer to it, and the
// process exits right after.
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

size_t HttpServer::open_exchanges() const { return state_->open_exchanges; }

}  // namespace almondtally
