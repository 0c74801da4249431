#include "state/lease.h"

namespace almondtally {

static_assert(kTombstoneLifetime >
              kMaxTableReadAge + kMaxStartMessageAge + kClockDriftMargin);

void Renew(NotFencedProof& proof, MonotonicTime asked_at, Duration read_age) {
  const MonotonicTime earliest = asked_at - read_age;
  if (!proof.not_fenced_at || *proof.not_fenced_at < earliest) {
    proof.not_fenced_at = earliest;
  }
}

std::optional<MonotonicTime> ValidUntil(const NotFencedProof& proof) {
  if (!proof.not_fenced_at) return std::nullopt;
  return *proof.not_fenced_at + kLease;
}

bool IsValid(const NotFencedProof& proof, MonotonicTime now) {
  const auto until = ValidUntil(proof);
  return until && now < *until;
}

}  // namespace almondtally
