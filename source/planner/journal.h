#pragma once

#include <functional>
#include <optional>
#include <string>

#include "external/store.h"
#include "sched/job.h"

namespace almondtally::sched {

/// The row that says who owns a shard. Every commit of the owner rewrites it
/// under its version, so a commit of a replaced owner fails by itself, also
/// one that takes effect late, and commits of one owner cannot pass each
/// other.
struct Head {
  /// Empty if the last owner retired.
  std::string planner;
  std::string address;
  PlannerEpoch epoch;
  /// Counts the commits of one owner.
  uint64_t sequence = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Head, planner, address, epoch,
                                                sequence)

enum class JournalEnd : uint8_t {
  kCommitted,
  /// Surely not committed.
  kNotDone,
  /// May be committed; send it again.
  kUnsure,
  /// Another owner has taken over.
  kReplaced,
};

/// The head row of one shard as this process knows it, and commits under it.
class Journal {
 public:
  using EndFn = std::function<void(JournalEnd, const std::string& why)>;

  Journal(const Store& store, std::string partition);

  const std::string& partition() const { return partition_; }
  /// @return the head as last read or written; empty if there is no row.
  const std::optional<Head>& head() const { return head_; }
  RowVersion version() const { return version_; }

  /// Reads the head row.
  void Read(std::function<void(bool ok)> fn);
  /// Claims the shard under the version last read, with the next epoch.
  void Claim(const Head& mine, EndFn fn);
  /// Commits rows together with a new head. After kUnsure the same rows must
  /// be sent again before any others.
  void Commit(StoreTransaction rows, EndFn fn);
  /// Like Commit, but leaves the shard without an owner.
  void Release(EndFn fn);

 private:
  void Write(const Head& next, StoreTransaction rows, EndFn fn);
  JournalEnd Settle(const Head& next, const StoreCommitted& result);

  const Store& store_;
  std::string partition_;
  std::optional<Head> head_;
  RowVersion version_;
};

}  // namespace almondtally::sched
