#include "planner/journal.h"

#include <algorithm>
#include <utility>

#include "sched/shard_state.h"

namespace almondtally::sched {
namespace {

std::optional<ShardHead> DecodeShardHead(const std::string& value) {
  JobReason why;
  return DecodeRow<ShardHead>(value, why);
}

/// @return the keys of the checks that do not hold for the current rows.
std::vector<StoreKey> ListChangedRows(const std::vector<StoreCheck>& checks,
                                      const std::vector<StoreRow>& current) {
  std::vector<StoreKey> out;
  for (const StoreCheck& check : checks) {
    const bool holds =
        std::any_of(current.begin(), current.end(), [&](const StoreRow& row) {
          return row.at == check.at && row.version == check.version;
        });
    if (!holds) out.push_back(check.at);
  }
  return out;
}

}  // namespace

Journal::Journal(const Store& store, std::string partition)
    : store_(store), partition_(std::move(partition)) {}

void Journal::Read(std::function<void(bool ok)> fn) {
  store_.read(table::kHead, partition_, kHeadKey,
              [this, fn = std::move(fn)](std::optional<StoreRows> rows,
                                         const PlatformReason&) {
                if (!rows) return fn(false);
                const auto row = std::find_if(
                    rows->rows.begin(), rows->rows.end(),
                    [](const StoreRow& it) { return it.at.key == kHeadKey; });
                const bool exists = row != rows->rows.end();
                const RowVersion version =
                    exists ? row->version : RowVersion(0);
                // A commit may finish while a read is in flight; ignore the
                // older version.
                if (version >= version_) {
                  version_ = version;
                  head_ = exists ? DecodeShardHead(row->value) : std::nullopt;
                }
                fn(true);
              });
}

void Journal::Claim(const ShardHead& new_head, OutcomeFn fn) {
  earlier_owners_ = new_head.earlier_owners;
  Write(new_head, version_, {}, std::move(fn));
}

void Journal::Commit(StoreTransaction rows, OutcomeFn fn) {
  ShardHead next = own_head_;
  ++next.sequence;
  next.earlier_owners = earlier_owners_;
  Write(next, own_version_, std::move(rows), std::move(fn));
}

void Journal::RemoveEarlierOwner(const std::string& address) {
  std::erase(earlier_owners_, address);
}

void Journal::Release(OutcomeFn fn) {
  ShardHead next = own_head_;
  ++next.sequence;
  next.earlier_owners = earlier_owners_;
  next.planner.clear();
  next.address.clear();
  Write(next, own_version_, {}, std::move(fn));
}

void Journal::SetOwnHead(const ShardHead& head, RowVersion version) {
  // The answer to a commit of an earlier claim may come after a later claim.
  if (version < own_version_) return;
  own_head_ = head;
  own_version_ = version;
  if (version < version_) return;
  head_ = head;
  version_ = version;
}

void Journal::Write(const ShardHead& next, RowVersion expected_head,
                    StoreTransaction rows, OutcomeFn fn) {
  const StoreKey at{table::kHead, partition_, kHeadKey};
  const std::vector<StoreCheck> checks = rows.checks;
  rows.checks.push_back({at, expected_head});
  rows.puts.push_back({at, EncodeRow(next)});
  store_.commit(rows, [this, next, checks, expected_head,
                       fn = std::move(fn)](const StoreCommitResult& result) {
    fn(ResolveOutcome(next, expected_head, checks, result), result.text);
  });
}

JournalOutcome Journal::ResolveOutcome(const ShardHead& next,
                                       RowVersion expected_head,
                                       const std::vector<StoreCheck>& checks,
                                       const StoreCommitResult& result) {
  switch (result.error) {
    case PlatformError::kNone:
      SetOwnHead(next, result.version);
      return JournalOutcome::kCommitted;
    case PlatformError::kConflict:
      break;
    case PlatformError::kUnreachable:
    case PlatformError::kRefused:
      return JournalOutcome::kNotCommitted;
    case PlatformError::kUnknown:
    case PlatformError::kDecode:
      return JournalOutcome::kMaybeCommitted;
  }
  for (const StoreRow& row : result.current) {
    if (row.at.table != table::kHead) continue;
    changed_rows_ = ListChangedRows(checks, result.current);
    // Versions only grow, so that an earlier, unanswered attempt fails as well.
    if (row.version == expected_head && !changed_rows_.empty()) {
      return JournalOutcome::kRowsChanged;
    }
    const auto head = DecodeShardHead(row.value);
    if (!head) return JournalOutcome::kReplaced;
    const bool is_own_commit = head->epoch == next.epoch &&
                               head->planner == next.planner &&
                               head->sequence == next.sequence;
    // An earlier, unanswered attempt committed the same rows.
    if (is_own_commit) {
      SetOwnHead(*head, row.version);
      return JournalOutcome::kCommitted;
    }
    if (row.version < version_) continue;
    head_ = head;
    version_ = row.version;
  }
  return JournalOutcome::kReplaced;
}

}  // namespace almondtally::sched
