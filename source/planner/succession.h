#pragma once

#include "base/clock.h"
#include "base/resources.h"

/// Which entry plans a shard, where entries differ in processor time.
namespace almondtally::sched {

/// What an entry knows of the owner of a shard when it considers a claim.
struct OwnerView {
  /// Processor time of this entry, and of the present or last owner; 0 if not
  /// known.
  MilliCpu own;
  MilliCpu owner;
  /// How long this entry has seen the present owner.
  Duration seen_for{};
};

/// @return how long this entry leaves an orphaned shard to entries that have as
/// much processor time as the last owner; zero if this one does.
Duration ClaimDelay(const OwnerView& view);

/// @return true if this entry should take the shard over from an owner that
/// works but has much less processor time.
bool ShouldReplaceOwner(const OwnerView& view);

}  // namespace almondtally::sched
