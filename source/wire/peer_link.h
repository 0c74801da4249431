#pragma once

#include <cstddef>
#include <memory>

#include "wire/http_types.h"
#include "wire/loop.h"

namespace almondtally {

namespace detail {
class PeerConnection;
}  // namespace detail

/// A client for another process of this system. Calls are HTTP/2 streams
/// (nghttp2) on one connection, which is opened on demand and reopened after it
/// is lost.
class PeerLink {
 public:
  PeerLink(EventLoop& loop, Address to);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  const Address& address() const { return to_; }

  /// Sends a request on a new stream. The final status reports the request as
  /// not sent only if no byte of it was passed to the connection or the peer
  /// reported that it did not process the stream (RFC 9113, sections 6.8 and
  /// 8.7).
  /// @param timeout limit for the whole call.
  std::shared_ptr<Call> Start(HttpRequest request, Duration timeout,
                              CallHooks hooks);

  /// @return bytes received since the link was created.
  uint64_t bytes_in() const { return bytes_in_; }
  /// @return bytes sent since the link was created.
  uint64_t bytes_out() const { return bytes_out_; }

 private:
  friend class detail::PeerConnection;

  EventLoop& loop_;
  Address to_;
  std::shared_ptr<detail::PeerConnection> connection_;
  uint64_t bytes_in_ = 0;
  uint64_t bytes_out_ = 0;
};

}  // namespace almondtally
