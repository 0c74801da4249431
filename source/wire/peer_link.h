#pragma once

#include <cstddef>
#include <memory>

#include "wire/http_types.h"
#include "wire/loop.h"

namespace almondtally {

namespace detail {
class PeerConnection;
}  // namespace detail

/// A lasting link to another process of the system: HTTP/2 streams by
/// nghttp2 over one connection, opened on demand and opened again after a
/// loss.
class PeerLink {
 public:
  PeerLink(Loop& loop, Address to);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  const Address& address() const { return to_; }

  /// Starts a call on a stream of its own. `CallEnd::sent` is `kNo` only if
  /// no byte of the request was handed to the connection or the peer said
  /// that it did not process the stream (RFC 9113, 6.8 and 8.7).
  /// @param timeout for the whole call.
  std::shared_ptr<Call> Start(HttpRequest request, Duration timeout,
                              CallHooks hooks);

  /// @return bytes received and sent since the link was made.
  uint64_t bytes_in() const { return bytes_in_; }
  uint64_t bytes_out() const { return bytes_out_; }

 private:
  friend class detail::PeerConnection;

  Loop& loop_;
  Address to_;
  std::shared_ptr<detail::PeerConnection> connection_;
  uint64_t bytes_in_ = 0;
  uint64_t bytes_out_ = 0;
};

}  // namespace almondtally
