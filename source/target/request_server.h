#pragma once

#include <map>
#include <memory>
#include <vector>

#include "target/target_context.h"
#include "wire/http_server.h"

namespace almondtally {

/// Takes requests from entries, gives them slots, and relays them to the
/// executor on this VM.
class RequestServer {
 public:
  explicit RequestServer(TargetContext& context);

  void Handle(const Exchange& exchange);
  WithdrawAnswer HandleWithdraw(const WithdrawRequest& request);

  /// Expires waiting requests and drops old records. Call each tick.
  void Tick();

 private:
  struct Relay;

  void Admit(const std::shared_ptr<Relay>& relay);
  void Run(const std::shared_ptr<Relay>& relay);
  void AnswerKnown(const std::shared_ptr<Relay>& relay);
  void Finish(const std::shared_ptr<Relay>& relay, CallEnd end);
  void StartWaiting(const ServiceId& service);
  void AnswerWaiters(const RequestId& request);

  TargetContext& context_;
  /// Requests that wait for a slot.
  std::map<RequestId, std::shared_ptr<Relay>> waiting_;
  /// Repeats of a request that is still running.
  std::map<RequestId, std::vector<std::shared_ptr<Relay>>> repeats_;
};

}  // namespace almondtally
