#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "external/store.h"
#include "sched/job.h"
#include "sched/shard_head.h"

namespace almondtally::sched {

enum class JournalOutcome : uint8_t {
  kCommitted,
  /// Certainly not committed.
  kNotCommitted,
  /// May have been committed; the same rows must be sent again.
  kMaybeCommitted,
  /// Not committed: another process has claimed the shard.
  kReplaced,
  /// Certainly not committed, now or later: rows that the transaction expects
  /// have changed. The process still owns the shard.
  kRowsChanged,
};

/// Reads the head row of one shard and commits transactions that are
/// conditional on it.
class Journal {
 public:
  using OutcomeFn = std::function<void(JournalOutcome, const std::string& why)>;

  Journal(const Store& store, std::string partition);

  const std::string& partition() const { return partition_; }
  /// @return the head row as last read or written; empty if there is none.
  const std::optional<ShardHead>& head() const { return head_; }
  RowVersion version() const { return version_; }
  /// @return the head row of this process's last claim or commit. Unlike
  /// head(), no read changes it.
  const ShardHead& own_head() const { return own_head_; }
  /// @return after kRowsChanged: the rows that were not as expected.
  const std::vector<StoreKey>& changed_rows() const { return changed_rows_; }

  void Read(std::function<void(bool ok)> fn);
  /// Claims the shard if the head row still has the version last read.
  /// `new_head` must carry the next epoch.
  void Claim(const ShardHead& new_head, OutcomeFn fn);
  /// Commits rows together with a new head row, if this process still owns the
  /// shard under its last claim. After kMaybeCommitted the same
  /// rows must be sent again before any others.
  void Commit(StoreTransaction rows, OutcomeFn fn);
  /// @return the earlier owners that the next commit lists.
  const std::vector<std::string>& earlier_owners() const {
    return earlier_owners_;
  }
  void RemoveEarlierOwner(const std::string& address);
  /// Commits a head row without an owner.
  void Release(OutcomeFn fn);

 private:
  void Write(const ShardHead& next, RowVersion expected_head,
             StoreTransaction rows, OutcomeFn fn);
  void SetOwnHead(const ShardHead& head, RowVersion version);
  /// @param checks what the transaction expected, beside the head row.
  JournalOutcome ResolveOutcome(const ShardHead& next, RowVersion expected_head,
                                const std::vector<StoreCheck>& checks,
                                const StoreCommitResult& result);

  const Store& store_;
  std::string partition_;
  std::optional<ShardHead> head_;
  RowVersion version_;
  ShardHead own_head_;
  RowVersion own_version_;
  std::vector<StoreKey> changed_rows_;
  /// Kept apart from `own_head_`, which a commit in flight replaces.
  std::vector<std::string> earlier_owners_;
};

}  // namespace almondtally::sched
