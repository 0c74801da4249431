#pragma once

#include <map>
#include <memory>
#include <vector>

#include "target/target_context.h"
#include "wire/http_server.h"

namespace almondtally {

/// Admits requests from entries and relays them to the executor of their
/// service on this VM.
class RequestServer {
 public:
  explicit RequestServer(TargetContext& context);

  void Handle(const Exchange& exchange);
  WithdrawAnswer HandleWithdraw(const WithdrawRequest& request);

  /// Expires queued requests and drops old records. Call on every tick.
  void Tick();

 private:
  struct Relay;

  void Admit(const std::shared_ptr<Relay>& relay);
  void Run(const std::shared_ptr<Relay>& relay);
  void AnswerKnown(const std::shared_ptr<Relay>& relay);
  void Finish(const std::shared_ptr<Relay>& relay, CallStatus end);
  void StartQueued(const ServiceId& service);
  void AnswerRepeats(const RequestId& request);

  TargetContext& context_;
  /// Queued requests that have no slot yet.
  std::map<RequestId, std::shared_ptr<Relay>> waiting_;
  /// Repeated requests that wait for the answer of the first one.
  std::map<RequestId, std::vector<std::shared_ptr<Relay>>> repeats_;
};

}  // namespace almondtally
