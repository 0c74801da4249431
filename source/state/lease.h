#pragma once

#include <optional>

#include "base/clock.h"

namespace almondtally {

/// How long a proof that a VM is not fenced stays valid. Must be the same in
/// every process: a target runs exclusive tasks for this long after the proof,
/// and an entry waits this long before it places the tasks of a fenced VM
/// again.
constexpr Duration kLease{10'000};

/// Maximum drift between the monotonic clocks of two machines over one lease,
/// including the rounding of times to milliseconds.
constexpr Duration kClockDriftMargin{500};

/// Delay between observing a committed fence and placing the tasks of the
/// fenced VM again.
constexpr Duration kFenceWait = kLease + kClockDriftMargin;

/// How long a VM may go without an announcement before it is fenced.
constexpr Duration kVmSilenceTimeout{5'000};

/// Maximum age of the table read that a start message is based on.
constexpr Duration kMaxTableReadAge{20'000};

/// Maximum age of a start message, measured by the target's clock.
constexpr Duration kMaxStartMessageAge{20'000};

/// How long a target keeps the tombstone of a run that it refused or that has
/// ended. Must exceed the maximum age of a start message plus that of the table
/// read behind it, so that no start message for the run can outlive it.
constexpr Duration kTombstoneLifetime{120'000};

/// A target's proof that its VM was not fenced at a known time.
struct NotFencedProof {
  /// Lower bound, by this process's clock, of the start time of the table read
  /// that found no fence.
  std::optional<MonotonicTime> not_fenced_at;
};

/// Extends the proof with one relayed by an entry. An older one has no effect.
/// @param asked_at when the target sent its announcement.
/// @param read_age age of the entry's table read when the entry responded. The
/// response was created after `asked_at`, so the read started no earlier than
/// `asked_at - read_age`.
void Renew(NotFencedProof& proof, MonotonicTime asked_at, Duration read_age);

/// @return when the proof expires, or empty if there is none yet.
std::optional<MonotonicTime> ValidUntil(const NotFencedProof& proof);

/// @return true if the proof has not expired at `now`, so that exclusive tasks
/// may run.
bool IsValid(const NotFencedProof& proof, MonotonicTime now);

}  // namespace almondtally
