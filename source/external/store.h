#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "external/table.h"

namespace almondtally {

/// Location of a row in the partitioned store. A transaction can change several
/// rows of one partition.
struct StoreKey {
  std::string table;
  std::string partition;
  std::string key;

  auto operator<=>(const StoreKey&) const = default;
};

struct StoreRow {
  StoreKey at;
  std::string value;
  RowVersion version;
  /// True if the row was deleted. Set only in change feeds.
  bool deleted = false;
};

struct StorePut {
  StoreKey at;
  std::string value;
};

struct StoreCheck {
  StoreKey at;
  /// 0 for a row that must not exist.
  RowVersion version;
};

/// An atomic transaction: the writes are applied only if all checks hold. All
/// keys must be in the same partition.
struct StoreTransaction {
  std::vector<StoreCheck> checks;
  std::vector<StorePut> puts;
  std::vector<StoreKey> deletes;
};

/// The outcome of a transaction.
struct StoreCommitResult {
  /// kNone if committed; kConflict, kRefused or kUnreachable if nothing was
  /// written; kUnknown if the writes may have been applied or may still be.
  PlatformError error = PlatformError::kNone;
  RowVersion version;
  /// With kConflict: the current rows that the checks refer to.
  std::vector<StoreRow> current;
  std::string text;
};

struct StoreRows {
  std::vector<StoreRow> rows;
  /// The newest version in the store when the rows were read.
  RowVersion version;
  /// True if the response was limited and more rows follow.
  bool more = false;
};

enum class FeedStatus : uint8_t {
  kOk,
  /// The history after the requested version is no longer kept: the rows must
  /// be read again.
  kHistoryTrimmed,
  kFailed,
};

/// The platform's partitioned store. The operations are plain functions so that
/// tests can replace them. Reads are linearizable.
struct Store {
  using CommitFn = std::function<void(const StoreCommitResult&)>;
  using ReadFn =
      std::function<void(std::optional<StoreRows>, const PlatformReason&)>;
  using FeedFn = std::function<void(FeedStatus, const StoreRows&)>;

  std::function<void(const StoreTransaction&, CommitFn)> commit;
  /// Reads the rows of one table and partition in key order, starting at key
  /// `from`. May return only the first page.
  std::function<void(const std::string& table, const std::string& partition,
                     const std::string& from, ReadFn)>
      read;
  /// Returns the rows of `table` that changed after version `after`. Blocks
  /// for up to `wait` if there are none yet (long polling).
  std::function<void(const std::string& table, RowVersion after, Duration wait,
                     FeedFn)>
      changes;
};

/// Reads all rows of one table and partition, page by page.
void ReadAllRows(const Store& store, const std::string& table,
                 const std::string& partition, Store::ReadFn fn);

}  // namespace almondtally
