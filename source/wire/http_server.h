#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "wire/http_types.h"
#include "wire/intake_budget.h"
#include "wire/loop.h"

namespace almondtally {

namespace detail {
struct ServerState;
class ExchangeState;
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
  /// Frees the request's body and replaces it in the memory budget.
  /// @param bytes that the handler keeps until the response is complete.
  /// @return false if there is no room for them; the handler then refuses the
  /// request.
  bool KeepOnly(size_t bytes) const;
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
  /// Name of the listener in logs; events of a listener without a name are only
  /// counted.
  std::string name;
  /// Size limit in bytes; larger request bodies are rejected with status 413.
  size_t max_body = 1 << 20;
  /// Size limit in bytes of a request's line and header fields; larger ones are
  /// rejected with status 431.
  size_t max_head = 32 << 10;
  /// Serve HTTP/2 (with prior knowledge) besides HTTP/1.
  bool http2 = true;
  /// After this time an idle HTTP/2 connection is closed.
  Duration http2_idle_timeout{300'000};
  /// After this time an idle HTTP/1 connection is closed.
  Duration http1_idle_timeout{60'000};
  /// The head of a request must arrive within this time from its first byte.
  Duration head_timeout{10'000};
  /// The body of a request must arrive within this time. An answer on an HTTP/2
  /// stream that its caller does not read for this time is given up.
  Duration body_timeout{60'000};
  /// A connection is closed that makes no progress for this time with a begun
  /// body or with reading its answer.
  Duration stall_timeout{15'000};
  /// Above this number, a new connection takes the place of the one that has
  /// been without a request for longest, or is closed if there is none.
  size_t max_connections = 10'000;
  /// Bytes that the kernel may hold of a connection's input, and of its output;
  /// 0 for the system's default. The kernel allows about twice as much.
  size_t receive_buffer = 0;
  size_t send_buffer = 0;
  /// Memory budget that the listeners of a process share; null for one of the
  /// listener's own.
  std::shared_ptr<IntakeBudget> budget;
};

/// HTTP server for HTTP/1.1 and HTTP/2 (with prior knowledge) on one listener,
/// whose memory is bounded whatever its callers send.
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
