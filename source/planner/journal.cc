#include "planner/journal.h"

#include <utility>

#include "sched/board.h"

namespace almondtally::sched {
namespace {

constexpr const char* kHeadKey = "head";

std::optional<Head> DecodeHead(const std::string& value) {
  JobReason why;
  return DecodeRow<Head>(value, why);
}

}  // namespace

Journal::Journal(const Store& store, std::string partition)
    : store_(store), partition_(std::move(partition)) {}

void Journal::Read(std::function<void(bool ok)> fn) {
  store_.read(table::kHead, partition_, "",
              [this, fn = std::move(fn)](std::optional<StoreRows> rows,
                                         const PlatformReason&) {
                if (!rows) return fn(false);
                const RowVersion version = rows->rows.empty()
                                               ? RowVersion(0)
                                               : rows->rows.front().version;
                // A read may be overtaken by our own commit.
                if (version >= version_) {
                  version_ = version;
                  head_ = rows->rows.empty()
                              ? std::nullopt
                              : DecodeHead(rows->rows.front().value);
                }
                fn(true);
              });
}

void Journal::Claim(const Head& mine, EndFn fn) {
  Write(mine, {}, std::move(fn));
}

void Journal::Commit(StoreTransaction rows, EndFn fn) {
  Head next = *head_;
  ++next.sequence;
  Write(next, std::move(rows), std::move(fn));
}

void Journal::Release(EndFn fn) {
  Head next = *head_;
  ++next.sequence;
  next.planner.clear();
  next.address.clear();
  Write(next, {}, std::move(fn));
}

void Journal::Write(const Head& next, StoreTransaction rows, EndFn fn) {
  const StoreKey at{table::kHead, partition_, kHeadKey};
  rows.checks.push_back({at, version_});
  rows.puts.push_back({at, EncodeRow(next)});
  store_.commit(rows,
                [this, next, fn = std::move(fn)](const StoreCommitted& result) {
                  fn(Settle(next, result), result.text);
                });
}

JournalEnd Journal::Settle(const Head& next, const StoreCommitted& result) {
  switch (result.error) {
    case PlatformError::kNone:
      head_ = next;
      version_ = result.version;
      return JournalEnd::kCommitted;
    case PlatformError::kConflict:
      break;
    case PlatformError::kUnreachable:
    case PlatformError::kRefused:
      return JournalEnd::kNotDone;
    case PlatformError::kUnknown:
    case PlatformError::kDecode:
      return JournalEnd::kUnsure;
  }
  for (const StoreRow& row : result.current) {
    if (row.at.table != table::kHead) continue;
    const auto head = DecodeHead(row.value);
    if (!head) return JournalEnd::kReplaced;
    head_ = head;
    version_ = row.version;
    const bool ours = head->epoch == next.epoch &&
                      head->planner == next.planner &&
                      head->sequence == next.sequence;
    // The same rows were committed by a call that went unanswered.
    if (ours) return JournalEnd::kCommitted;
  }
  return JournalEnd::kReplaced;
}

}  // namespace almondtally::sched
