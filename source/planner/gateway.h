#pragma once

#include <functional>
#include <memory>

#include "peer/links.h"
#include "planner/planner.h"

namespace almondtally::sched {

/// Carries callers' requests to whoever plans, and asks again through a
/// change of planner. All requests are idempotent by their job's id.
class Gateway {
 public:
  Gateway(Loop& loop, Links& links, Planner& planner)
      : loop_(loop), links_(links), planner_(planner) {}

  /// @param timeout after which the caller no longer waits.
  /// @param fn called once. kUnavailable is only said if no planner can have
  /// received the request.
  void Call(const JobCall& call, Duration timeout, Planner::AnswerFn fn);

 private:
  struct Attempt;

  void Try(const std::shared_ptr<Attempt>& attempt);
  bool MayTakeOver(Attempt& attempt, const JobAnswer& answer);
  void TryLater(const std::shared_ptr<Attempt>& attempt);

  Loop& loop_;
  Links& links_;
  Planner& planner_;
};

}  // namespace almondtally::sched
