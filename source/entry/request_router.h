#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "entry/entry_context.h"
#include "peer/request_headers.h"
#include "wire/http_server.h"

namespace almondtally {

/// Proxies callers' requests to targets, with retries and idempotency keys.
class RequestRouter {
 public:
  explicit RequestRouter(EntryContext& context) : context_(context) {}

  void Handle(const Exchange& exchange);
  /// @return the number of requests in progress.
  int64_t open() const { return open_; }
  /// @return a description of a recent request, or empty text if unknown.
  std::string Explain(const RequestId& request) const;

 private:
  /// One caller's request, from its arrival to its answer.
  struct ActiveRequest;
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  /// @return true if the request may be routed; refuses it otherwise.
  bool Validate(const ActiveRequestPtr& active);
  /// Sends the request again, to a target that has not been tried.
  void StartNextAttempt(const ActiveRequestPtr& active);
  /// Records in the table which target gets the request, then sends it there.
  void ClaimIdempotencyKey(const ActiveRequestPtr& active);
  /// Sends the request to the target that an earlier claim of its key names.
  void ReadExistingClaim(const ActiveRequestPtr& active);
  bool SelectTarget(const ActiveRequestPtr& active);
  void SendToTarget(const ActiveRequestPtr& active);
  void HandleResponseHead(const ActiveRequestPtr& active, int status,
                          const Headers& headers);
  void HandleCallEnd(const ActiveRequestPtr& active, CallStatus end);
  void RetryOnAnotherTarget(const ActiveRequestPtr& active,
                            const std::string& reason);
  /// After a lost link, asks the target for the state of the request and
  /// prevents it from starting.
  void Withdraw(const ActiveRequestPtr& active, int attempts_left);
  void HandleWithdrawAnswer(const ActiveRequestPtr& active,
                            const WithdrawAnswer& answer, int attempts_left);
  void Refuse(const ActiveRequestPtr& active, int status,
              RequestOutcome outcome, const std::string& reason);
  void Close(const ActiveRequestPtr& active, RequestOutcome outcome,
             const std::string& reason);
  void RecordTargetOutcome(const ActiveRequestPtr& active, bool failed);
  TargetLoad* FindTargetLoad(const ActiveRequestPtr& active);

  EntryContext& context_;
  int64_t open_ = 0;
  std::map<RequestId, std::string> history_;
  std::deque<RequestId> history_order_;
};

}  // namespace almondtally
