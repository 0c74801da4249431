#include "planner/succession.h"

#include <algorithm>

// Load pattern: three quarters of the entries have a quarter of the processor
// time of the others. A planner's work grows with the number of VMs, and an
// entry that cannot keep up loses half of all requests for as long as it plans.

namespace almondtally::sched {
namespace {

/// Delay of an entry with half of the last owner's processor time. With a
/// quarter, it exceeds the interval between two reads of the head row, so that
/// each stronger entry has read it once.
constexpr Duration kClaimDelay{150};
constexpr Duration kMaxClaimDelay{1'000};
/// An owner is replaced by an entry with this many times its processor time.
constexpr int64_t kReplacementRatio = 2;
/// An owner is not replaced before, so that a claim and the takeover that
/// follows it can finish.
constexpr Duration kMinOwnership{1'500};

}  // namespace

Duration ClaimDelay(const OwnerView& view) {
  if (view.own.value <= 0 || view.own >= view.owner) return Duration(0);
  const int64_t excess = view.owner.value - view.own.value;
  return std::min(kMaxClaimDelay,
                  Duration(kClaimDelay.count() * excess / view.own.value));
}

bool ShouldReplaceOwner(const OwnerView& view) {
  if (view.owner.value <= 0 || view.seen_for < kMinOwnership) return false;
  return view.own.value >= kReplacementRatio * view.owner.value;
}

}  // namespace almondtally::sched
