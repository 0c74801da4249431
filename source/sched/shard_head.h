#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/resources.h"
#include "external/store.h"
#include "sched/job.h"

namespace almondtally::sched {

inline constexpr const char* kHeadKey = "head";

/// Stands for an owner whose address is not known.
inline constexpr const char* kUnknownOwner = "unknown";

/// The row that names the owner of a shard. Every commit of the owner rewrites
/// it on condition that its version is unchanged. A commit of a replaced owner
/// therefore fails, even if it reaches the store late, and commits of one owner
/// cannot overtake each other.
struct ShardHead {
  /// Empty if the last owner released the shard.
  std::string planner;
  std::string address;
  PlannerEpoch epoch;
  /// Number of commits by this owner.
  uint64_t sequence = 0;
  /// Processor time of the owner, or of the last one; 0 if not known.
  MilliCpu cpu;
  /// Addresses of earlier owners that may still grant leases. A build without
  /// this field writes none, so that its own predecessors are not known.
  std::vector<std::string> earlier_owners{kUnknownOwner};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ShardHead, planner, address,
                                                epoch, sequence, cpu,
                                                earlier_owners)

/// @return the head row among rows of its table; empty if it is not there or
/// cannot be decoded.
std::optional<ShardHead> FindShardHead(const StoreRows& rows);

}  // namespace almondtally::sched
