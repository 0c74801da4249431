#include "wire/server_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <ctime>
#include <utility>

#include "base/log.h"
#include "wire/h2o_include.h"

namespace almondtally::detail {
namespace {

constexpr size_t kReadBytes = 64 << 10;
/// Receive buffer of a connection whose input is not wanted for now.
constexpr size_t kPausedReceiveBytes = 4 << 10;
constexpr std::string_view kHttp2Preface = "PRI * HTTP/2.0\r\n";

}  // namespace

const std::string& HttpDate() {
  constexpr int64_t kSecondMs = 1'000;
  static int64_t second = -1;
  static std::string text;
  const int64_t now = WallClockMillis() / kSecondMs;
  if (now != second) {
    second = now;
    const auto time = static_cast<time_t>(now);
    tm utc{};
    gmtime_r(&time, &utc);
    std::array<char, 64> buf{};
    const size_t n = std::strftime(buf.data(), buf.size(),
                                   "%a, %d %b %Y %H:%M:%S GMT", &utc);
    text.assign(buf.data(), n);
  }
  return text;
}

bool IsConnectionField(std::string_view name) {
  return name == "content-length" || name == "connection" ||
         name == "transfer-encoding" || name == "date" || name == "server";
}

ServerConnection::ServerConnection(ServerState& server, h2o_socket_t* sock)
    : server_(server), sock_(sock), protocol_(MakeHttp1Protocol(*this)) {}

void ServerConnection::Open(ServerState& server, h2o_socket_t* sock) {
  auto connection = std::make_shared<ServerConnection>(server, sock);
  sock->data = connection.get();
  connection->place_ =
      server.connections.insert(server.connections.end(), connection);
  connection->reading_ = true;
  h2o_socket_read_start(sock, OnReadable);
}

void ServerConnection::OnReadable(h2o_socket_t* sock, const char* /*err*/) {
  const auto self =
      static_cast<ServerConnection*>(sock->data)->shared_from_this();
  self->Read();
}

void ServerConnection::Read() {
  // Shared by all connections, so that an idle one needs no buffer.
  static std::array<char, kReadBytes> buf;
  if (!protocol_->wants_input()) {
    reading_ = false;
    h2o_socket_read_stop(sock_);
    // What the kernel holds counts towards the memory of the machine.
    SetReceiveBuffer(kPausedReceiveBytes);
    return;
  }
  const ssize_t n = read(h2o_socket_get_fd(sock_), buf.data(), buf.size());
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n <= 0) return Close();
  const std::string_view input(buf.data(), static_cast<size_t>(n));
  if (!std::exchange(received_any_, true) && server_.limits.http2 &&
      input.starts_with(kHttp2Preface)) {
    protocol_ = nullptr;
    protocol_ = MakeHttp2Protocol(*this);
  }
  protocol_->HandleInput(input);
}

void ServerConnection::ResumeReading() {
  if (reading_ || closed()) return;
  reading_ = true;
  SetReceiveBuffer(server_.limits.receive_buffer);
  h2o_socket_read_start(sock_, OnReadable);
}

void ServerConnection::SetReceiveBuffer(size_t bytes) {
  if (server_.limits.receive_buffer == 0) return;
  const int n = static_cast<int>(bytes);
  setsockopt(h2o_socket_get_fd(sock_), SOL_SOCKET, SO_RCVBUF, &n, sizeof n);
}

void ServerConnection::Send(std::string_view bytes) {
  if (closed() || broken_ || bytes.empty()) return;
  if (unsent() > 0) {
    output_ += bytes;
    return;
  }
  last_sent_ = server_.loop.now();
  const ssize_t n =
      send(h2o_socket_get_fd(sock_), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR) {
    broken_ = true;
    return RunLater([this] { Close(); });
  }
  const size_t sent = n < 0 ? 0 : static_cast<size_t>(n);
  if (sent == bytes.size()) return;
  output_.assign(bytes.substr(sent));
  output_sent_ = 0;
  waits_for_writable_ = true;
  h2o_socket_notify_write(sock_, OnWritable);
}

void ServerConnection::OnWritable(h2o_socket_t* sock, const char* err) {
  const auto self =
      static_cast<ServerConnection*>(sock->data)->shared_from_this();
  self->waits_for_writable_ = false;
  if (err != nullptr) return self->Close();
  self->SendOutput();
}

void ServerConnection::SendOutput() {
  const ssize_t n = send(h2o_socket_get_fd(sock_),
                         output_.data() + output_sent_, unsent(), MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR) return Close();
  if (n > 0) {
    output_sent_ += static_cast<size_t>(n);
    last_sent_ = server_.loop.now();
  }
  if (unsent() > 0) {
    waits_for_writable_ = true;
    h2o_socket_notify_write(sock_, OnWritable);
    return;
  }
  output_ = {};
  output_sent_ = 0;
  if (finish_sending_) shutdown(h2o_socket_get_fd(sock_), SHUT_WR);
  protocol_->HandleSent();
}

void ServerConnection::FinishSending() {
  if (closed() || std::exchange(finish_sending_, true)) return;
  if (unsent() == 0) shutdown(h2o_socket_get_fd(sock_), SHUT_WR);
}

void ServerConnection::Reset() {
  if (closed()) return;
  const linger at_once{1, 0};
  setsockopt(h2o_socket_get_fd(sock_), SOL_SOCKET, SO_LINGER, &at_once,
             sizeof at_once);
  // What is unsent makes `Close` come here.
  output_ = {};
  output_sent_ = 0;
  Close();
}

void ServerConnection::Close() {
  if (closed()) return;
  if (unsent() > 0) return Reset();
  const auto keep_alive = shared_from_this();
  h2o_socket_close(std::exchange(sock_, nullptr));
  server_.connections.erase(place_);
  protocol_->HandleClosed();
}

void ServerConnection::RunLater(std::function<void()> fn) {
  server_.loop.RunAfter(Duration(0),
                        [weak = weak_from_this(), fn = std::move(fn)] {
                          const auto self = weak.lock();
                          if (self != nullptr && !self->closed()) fn();
                        });
}

void ServerConnection::MarkServed() {
  served_any_ = true;
  if (closed()) return;
  server_.connections.splice(server_.connections.end(), server_.connections,
                             place_);
}

std::string ServerConnection::CallerAddress() const {
  sockaddr_in sin{};
  socklen_t n = sizeof sin;
  if (closed() || getpeername(h2o_socket_get_fd(sock_),
                              reinterpret_cast<sockaddr*>(&sin), &n) != 0)
    return "unknown";
  std::array<char, INET_ADDRSTRLEN> buf{};
  inet_ntop(AF_INET, &sin.sin_addr, buf.data(), buf.size());
  return std::string(buf.data()) + ":" + std::to_string(ntohs(sin.sin_port));
}

void ServerConnection::Report(IntakeEvent event, int status, size_t bytes) {
  IntakeBudget& budget = *server_.budget;
  budget.CountEvent(event);
  if (server_.limits.name.empty()) return;
  const std::string reason(ToString(event));
  const auto held = static_cast<int64_t>(budget.bytes());
  const auto connections = static_cast<int64_t>(server_.connections.size());
  if (status != 0) {
    return Log(Event::kCallerRefused, {{"listener", server_.limits.name},
                                       {"caller", CallerAddress()},
                                       {"status", status},
                                       {"reason", reason},
                                       {"bytes", static_cast<int64_t>(bytes)},
                                       {"held", held},
                                       {"connections", connections},
                                       {"outcome", "not_run"}});
  }
  Log(Event::kCallerClosed, {{"listener", server_.limits.name},
                             {"caller", CallerAddress()},
                             {"reason", reason},
                             {"bytes", static_cast<int64_t>(bytes)},
                             {"held", held},
                             {"connections", connections}});
}

}  // namespace almondtally::detail
