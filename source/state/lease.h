#pragma once

#include <optional>

#include "base/clock.h"

namespace almondtally {

/// How long a proof that a VM is not fenced lasts. The same in every process:
/// what one may count on, another waits for.
constexpr Duration kLease{10'000};

/// How much two machines' monotonic clocks may drift apart over one lease,
/// together with the rounding of times to milliseconds.
constexpr Duration kDriftMargin{500};

/// How long after a fence was seen committed the tasks of the fenced VM may
/// be placed again.
constexpr Duration kFenceWait = kLease + kDriftMargin;

/// How long a VM may be silent before it is fenced.
constexpr Duration kSilence{5'000};

/// Age that a start message's knowledge of the table may have.
constexpr Duration kValidationAge{20'000};

/// Age, on the target's clock, that a start message itself may have.
constexpr Duration kStartAge{20'000};

/// How long a target remembers runs that it refused or that have ended.
/// Longer than any start message can live: kValidationAge + kStartAge.
constexpr Duration kTombstoneAge{120'000};

/// A target's proof that its VM was not fenced at some time.
struct Proof {
  /// Earliest time, on this process's clock, at which the table read that
  /// found no fence can have begun.
  std::optional<MonotonicTime> not_fenced_at;
};

/// Takes over a proof relayed by an entry.
/// @param asked_at when the target sent its announcement.
/// @param read_age age of the entry's table read when it answered. The answer
/// was made after `asked_at`, so the read began no earlier than
/// `asked_at - read_age`.
void Renew(Proof& proof, MonotonicTime asked_at, Duration read_age);

/// @return when the proof ends, or empty if there never was one.
std::optional<MonotonicTime> ValidUntil(const Proof& proof);

/// @return true while exclusive tasks may run.
bool IsValid(const Proof& proof, MonotonicTime now);

}  // namespace almondtally
