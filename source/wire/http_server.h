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

/// One request and the answer to it. May be kept after the caller has gone;
/// every call is then without effect.
class Exchange {
 public:
  explicit Exchange(std::shared_ptr<detail::ExchangeState> state)
      : state_(std::move(state)) {}

  const HttpRequest& request() const;
  /// @return true once the caller has gone or the answer is complete.
  bool closed() const;

  /// Sends a whole answer.
  void Answer(int status, const Headers& headers, std::string_view body) const;
  /// Starts an answer whose body follows in pieces.
  void Begin(int status, const Headers& headers) const;
  /// Queues a piece of the body.
  void Write(std::string_view piece) const;
  /// Ends the body.
  void End() const;
  /// Ends the connection or stream so that the caller sees an incomplete
  /// answer.
  void Abort() const;
  /// @return bytes queued and not yet taken by the connection.
  size_t queued() const;
  /// Called whenever the queue has been taken.
  void OnDrained(std::function<void()> fn) const;
  /// Called once if the caller goes away before the answer is complete.
  void OnGone(std::function<void()> fn) const;

 private:
  std::shared_ptr<detail::ExchangeState> state_;
};

using ExchangeHandler = std::function<void(Exchange)>;

struct ServerLimits {
  /// Bytes; larger bodies are answered with 413.
  size_t max_body = 1 << 20;
  /// How long an idle HTTP/2 connection is kept.
  Duration http2_idle{300'000};
  /// How long an idle or half-sent HTTP/1 request is kept.
  Duration http1_idle{60'000};
  /// Connections beyond this are closed at once.
  size_t max_connections = 10'000;
};

/// HTTP/1.1 and HTTP/2 (prior knowledge) on one listener, by h2o.
class HttpServer {
 public:
  HttpServer(Loop& loop, ServerLimits limits, ExchangeHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @param why is set on failure, with the operating system's text.
  /// @return false if the address cannot be listened on.
  bool Listen(const Address& address, WireReason& why);

  /// Closes the listener and asks connections to end after what they have
  /// in flight.
  void Shutdown();
  /// @return exchanges whose answer is not complete.
  size_t open_exchanges() const;

 private:
  std::unique_ptr<detail::ServerState> state_;
};

}  // namespace almondtally
