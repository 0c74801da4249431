#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "wire/http_types.h"
#include "wire/loop.h"

namespace almondtally {

namespace detail {
struct ServerState;
struct ExchangeState;
}  // namespace detail

/// A received request and the response to it. It may be kept after the caller
/// has disconnected; its functions then have no effect.
class Exchange {
 public:
  explicit Exchange(std::shared_ptr<detail::ExchangeState> state)
      : state_(std::move(state)) {}

  const HttpRequest& request() const;
  /// @return true once the caller has disconnected or the response is complete.
  bool closed() const;

  /// Sends a complete response.
  void Answer(int status, const Headers& headers, std::string_view body) const;
  /// Sends the response headers; the body follows in chunks.
  void Begin(int status, const Headers& headers) const;
  /// Queues a chunk of the body.
  void Write(std::string_view chunk) const;
  /// Completes the response.
  void End() const;
  /// Closes the connection or resets the stream, so that the caller detects
  /// that the response is incomplete.
  void Abort() const;
  /// @return number of body bytes that the connection has not yet accepted.
  size_t queued() const;
  /// Sets the callback for each time the queue of body bytes becomes empty.
  void OnDrained(std::function<void()> fn) const;
  /// Sets a callback that is called once if the caller disconnects before the
  /// response is complete.
  void OnCallerDisconnected(std::function<void()> fn) const;

 private:
  std::shared_ptr<detail::ExchangeState> state_;
};

using ExchangeHandler = std::function<void(Exchange)>;

struct ServerLimits {
  /// Size limit in bytes; larger request bodies are rejected with status 413.
  size_t max_body = 1 << 20;
  /// After this time an idle HTTP/2 connection is closed.
  Duration http2_idle_timeout{300'000};
  /// After this time an HTTP/1 connection is closed that is idle or has sent
  /// only part of a request.
  Duration http1_idle_timeout{60'000};
  /// Connections over this limit are closed immediately.
  size_t max_connections = 10'000;
};

/// HTTP server based on h2o; serves HTTP/1.1 and HTTP/2 (with prior knowledge)
/// on one listener.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, ServerLimits limits, ExchangeHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @param why is set on failure and includes the operating system's message.
  /// @return false if the server cannot listen on the address.
  bool Listen(const Address& address, WireReason& why);

  /// Closes the listener and tells connections to close once their requests in
  /// progress are complete.
  void Shutdown();
  /// @return number of exchanges whose response is not complete.
  size_t open_exchanges() const;

 private:
  std::unique_ptr<detail::ServerState> state_;
};

}  // namespace almondtally
