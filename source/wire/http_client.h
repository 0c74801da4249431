#pragma once

#include <map>
#include <memory>

#include "wire/http_types.h"
#include "wire/loop.h"

namespace almondtally {

namespace detail {
struct ClientState;
}  // namespace detail

/// HTTP/1.1 client by h2o, for the platform, workers and executors.
class HttpClient {
 public:
  /// @param io_timeout how long a connection may be silent.
  HttpClient(Loop& loop, Duration io_timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call.
  /// @param reuse whether an idle connection may be reused. A reused
  /// connection can end just as the request is sent, so calls that must know
  /// more than "maybe sent" open a new one.
  /// @param timeout for the whole call.
  /// @return a handle that may be dropped.
  std::shared_ptr<Call> Start(const Address& to, const HttpRequest& request,
                              bool reuse, Duration timeout, CallHooks hooks);

 private:
  /// Made when the first call is.
  detail::ClientState& State();

  Loop& loop_;
  Duration io_timeout_;
  std::unique_ptr<detail::ClientState> state_;
};

}  // namespace almondtally
