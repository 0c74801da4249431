#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "peer/messages.h"
#include "wire/peer_link.h"

namespace almondtally {

/// Connections to other processes, opened on demand.
class PeerLinks {
 public:
  using BytesCallback =
      std::function<void(std::optional<std::string>, const WireReason&)>;
  /// Sends one message to a process and returns its answer.
  using Transport =
      std::function<void(const Address& to, const char* path, std::string bytes,
                         Duration timeout, BytesCallback callback)>;

  explicit PeerLinks(EventLoop& loop);

  /// Replaces the transport; for tests only.
  void SetTransport(Transport transport) { transport_ = std::move(transport); }

  PeerLink& To(const Address& address);
  /// Closes the link; calls in progress on it fail as lost.
  void Drop(const Address& address) {
    // Callbacks of failing calls may modify `links_`: remove the link first.
    const auto link = links_.extract(address);
  }
  /// @return bytes sent and received on all links.
  uint64_t bytes_out() const;
  uint64_t bytes_in() const;

  /// Sends a typed message and decodes the typed answer.
  template <typename Answer, typename Message>
  void Send(
      const Address& to, const char* path, const Message& message,
      Duration timeout,
      std::function<void(std::optional<Answer>, const WireReason&)> callback) {
    transport_(to, path, EncodeMessage(message), timeout,
               [callback = std::move(callback)](
                   std::optional<std::string> bytes, const WireReason& why) {
                 if (!bytes) return callback(std::nullopt, why);
                 WireReason decode_why;
                 auto answer = DecodeMessage<Answer>(*bytes, decode_why);
                 callback(std::move(answer), decode_why);
               });
  }

 private:
  void SendBytes(const Address& to, const char* path, std::string bytes,
                 Duration timeout, BytesCallback callback);

  EventLoop& loop_;
  Transport transport_;
  std::map<Address, std::unique_ptr<PeerLink>> links_;
};

}  // namespace almondtally
