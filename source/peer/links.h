#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "peer/messages.h"
#include "wire/peer_link.h"

namespace almondtally {

/// Links to other processes, made on demand.
class Links {
 public:
  using BytesFn =
      std::function<void(std::optional<std::string>, const WireReason&)>;
  /// Carries one message to a process and its answer back.
  using Transport =
      std::function<void(const Address& to, const char* path, std::string bytes,
                         Duration timeout, BytesFn fn)>;

  explicit Links(Loop& loop);

  /// Puts another transport in place; for tests.
  void SetTransport(Transport transport) { transport_ = std::move(transport); }

  PeerLink& To(const Address& address);
  /// Closes the link; calls on it end as lost.
  void Drop(const Address& address) {
    // Calls that end with the link may use the table: the entry leaves first.
    const auto link = links_.extract(address);
  }
  /// @return bytes sent and received on all links.
  uint64_t bytes_out() const;
  uint64_t bytes_in() const;

  /// Sends a typed message and decodes the typed answer.
  template <typename Answer, typename Message>
  void Send(const Address& to, const char* path, const Message& message,
            Duration timeout,
            std::function<void(std::optional<Answer>, const WireReason&)> fn) {
    transport_(to, path, EncodeMessage(message), timeout,
               [fn = std::move(fn)](std::optional<std::string> bytes,
                                    const WireReason& why) {
                 if (!bytes) return fn(std::nullopt, why);
                 WireReason decode_why;
                 auto answer = DecodeMessage<Answer>(*bytes, decode_why);
                 fn(std::move(answer), decode_why);
               });
  }

 private:
  void SendBytes(const Address& to, const char* path, std::string bytes,
                 Duration timeout, BytesFn fn);

  Loop& loop_;
  Transport transport_;
  std::map<Address, std::unique_ptr<PeerLink>> links_;
};

}  // namespace almondtally
