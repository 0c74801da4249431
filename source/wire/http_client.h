#pragma once

#include <map>
#include <memory>

#include "wire/http_types.h"
#include "wire/loop.h"

namespace almondtally {

namespace detail {
struct ClientState;
}  // namespace detail

/// HTTP/1.1 client based on h2o, for calls to the platform, workers and
/// executors.
class HttpClient {
 public:
  /// @param io_timeout how long a connection may be inactive.
  HttpClient(EventLoop& loop, Duration io_timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request.
  /// @param reuse whether an idle connection may be reused. The peer can close
  /// a reused connection just as the request is sent, so calls that must know
  /// more than "maybe sent" open a new one.
  /// @param timeout limit for the whole call.
  /// @return a handle of the call; the call continues if it is discarded.
  std::shared_ptr<Call> Start(const Address& to, const HttpRequest& request,
                              bool reuse, Duration timeout, CallHooks hooks);

 private:
  /// @return the client's state, created by the first call.
  detail::ClientState& State();

  EventLoop& loop_;
  Duration io_timeout_;
  std::unique_ptr<detail::ClientState> state_;
};

}  // namespace almondtally
