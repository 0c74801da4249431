#include "wire/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "base/log.h"
#include "wire/h2o_include.h"
#include "wire/server_connection.h"

namespace almondtally {
namespace detail {
namespace {

constexpr Duration kSweepInterval{1'000};
/// Pause after the system had no descriptor or memory for a connection.
constexpr Duration kAcceptPause{100};

/// Checks the timeouts of all connections, for as long as there are any.
void Sweep(ServerState& server) {
  server.sweeping = !server.connections.empty();
  if (!server.sweeping) return;
  server.loop.RunAfter(kSweepInterval, [&server] {
    const MonotonicTime now = server.loop.now();
    const std::vector<std::shared_ptr<ServerConnection>> connections(
        server.connections.begin(), server.connections.end());
    for (const auto& it : connections) {
      if (!it->closed()) it->protocol().CheckTimeouts(now);
    }
    Sweep(server);
  });
}

/// @return the connection that is closed for a new one, or null: the one that
/// has been open for longest without any request served, or else without one
/// lately, or else the one whose answer has not been read for longest.
std::shared_ptr<ServerConnection> FindUnused(const ServerState& server) {
  std::shared_ptr<ServerConnection> idle;
  std::shared_ptr<ServerConnection> unread;
  for (const auto& it : server.connections) {
    if (it->protocol().serving()) continue;
    if (it->unsent() > 0) {
      if (unread == nullptr || it->last_sent() < unread->last_sent())
        unread = it;
      continue;
    }
    if (!it->served_any()) return it;
    if (idle == nullptr) idle = it;
  }
  return idle != nullptr ? idle : unread;
}

/// @return false if no connection could be closed.
bool CloseUnused(ServerState& server) {
  const auto unused = FindUnused(server);
  if (unused == nullptr) return false;
  unused->Report(IntakeEvent::kConnectionEvicted, 0, 0);
  unused->Close();
  return true;
}

void OnAccept(h2o_socket_t* listener, const char* err) {
  if (err != nullptr) return;
  auto& server = *static_cast<ServerState*>(listener->data);
  const int fd = accept4(h2o_socket_get_fd(listener), nullptr, nullptr,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    if (errno != EMFILE && errno != ENFILE && errno != ENOBUFS &&
        errno != ENOMEM)
      return;
    CloseUnused(server);
    h2o_socket_read_stop(listener);
    server.loop.RunAfter(kAcceptPause, [&server] {
      if (server.listener != nullptr)
        h2o_socket_read_start(server.listener, OnAccept);
    });
    return;
  }
  if (server.connections.size() >= server.limits.max_connections &&
      !CloseUnused(server)) {
    server.budget->CountEvent(IntakeEvent::kConnectionRefused);
    if (!server.limits.name.empty()) {
      Log(Event::kCallerClosed,
          {{"listener", server.limits.name},
           {"reason", std::string(ToString(IntakeEvent::kConnectionRefused))},
           {"connections", static_cast<int64_t>(server.connections.size())}});
    }
    close(fd);
    return;
  }
  h2o_socket_t* sock = h2o_evloop_socket_create(
      server.loop.native(), fd,
      H2O_SOCKET_FLAG_DONT_READ | H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION);
  ServerConnection::Open(server, sock);
  if (!server.sweeping) Sweep(server);
}

/// Sets options that accepted connections inherit.
void SetSocketOptions(int fd, const ServerLimits& limits) {
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto set_size = [fd](int option, size_t bytes) {
    const int n = static_cast<int>(bytes);
    if (n > 0) setsockopt(fd, SOL_SOCKET, option, &n, sizeof n);
  };
  set_size(SO_RCVBUF, limits.receive_buffer);
  set_size(SO_SNDBUF, limits.send_buffer);
}

}  // namespace
}  // namespace detail

const HttpRequest& Exchange::request() const { return state_->request; }

bool Exchange::closed() const { return state_->closed(); }

void Exchange::Answer(int status, const Headers& headers,
                      std::string_view body) const {
  state_->Answer(status, headers, body);
}

void Exchange::Begin(int status, const Headers& headers) const {
  state_->Begin(status, headers);
}

void Exchange::Write(std::string_view chunk) const {
  // An empty chunk would end the body.
  if (!chunk.empty()) state_->Write(chunk);
}

void Exchange::End() const { state_->End(); }

void Exchange::Abort() const { state_->Abort(); }

size_t Exchange::queued() const { return state_->queued(); }

bool Exchange::KeepOnly(size_t bytes) const { return state_->KeepOnly(bytes); }

void Exchange::OnDrained(std::function<void()> fn) const {
  if (!closed()) state_->on_drained = std::move(fn);
}

void Exchange::OnCallerDisconnected(std::function<void()> fn) const {
  if (!closed()) state_->on_disconnected = std::move(fn);
}

HttpServer::HttpServer(EventLoop& loop, ServerLimits limits,
                       ExchangeHandler handler)
    : state_(std::make_unique<detail::ServerState>(loop)) {
  state_->limits = std::move(limits);
  state_->handler = std::move(handler);
  state_->budget = state_->limits.budget;
  if (state_->budget == nullptr)
    state_->budget = std::make_shared<IntakeBudget>(IntakeLimits{});
}

// The state is leaked on purpose: open connections still refer to it, and the
// process exits right after.
HttpServer::~HttpServer() {
  if (state_->listener != nullptr) h2o_socket_close(state_->listener);
  state_->listener = nullptr;
  (void)state_.release();
}

bool HttpServer::Listen(const Address& address, WireReason& why) {
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &sin.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0) detail::SetSocketOptions(fd, state_->limits);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&sin), sizeof sin) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    why.Set(WireError::kConnect,
            "cannot listen on " + ToString(address) + ": " + strerror(errno));
    if (fd >= 0) close(fd);
    return false;
  }
  state_->listener = h2o_evloop_socket_create(state_->loop.native(), fd,
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
  const std::vector<std::shared_ptr<detail::ServerConnection>> connections(
      state_->connections.begin(), state_->connections.end());
  for (const auto& it : connections) it->protocol().Shutdown();
}

size_t HttpServer::open_exchanges() const { return state_->open_exchanges; }

}  // namespace almondtally
