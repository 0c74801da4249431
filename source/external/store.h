#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "external/table.h"

namespace almondtally {

/// Where a row of the partitioned store lies. Rows of one partition can be
/// changed together.
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
  /// Set in change feeds only: the row was deleted.
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

/// All checks hold and all writes happen, or none. Every key is of one
/// partition.
struct StoreTransaction {
  std::vector<StoreCheck> checks;
  std::vector<StorePut> puts;
  std::vector<StoreKey> deletes;
};

/// Outcome of a transaction.
struct StoreCommitted {
  /// kNone, kConflict, kRefused or kUnreachable (nothing done), or kUnknown
  /// (may take effect, even later).
  PlatformError error = PlatformError::kNone;
  RowVersion version;
  /// With kConflict: the present rows behind the checks.
  std::vector<StoreRow> current;
  std::string text;
};

struct StoreRows {
  std::vector<StoreRow> rows;
  /// Newest version in the store when the rows were read.
  RowVersion version;
  bool more = false;
};

enum class FeedEnd : uint8_t {
  kOk,
  /// The history after the asked version is gone: read the rows again.
  kHistoryGone,
  kFailed,
};

/// The platform's partitioned store, as plain functions so that tests can put
/// their own in place. Reads are linearizable.
struct Store {
  using CommitFn = std::function<void(const StoreCommitted&)>;
  using ReadFn =
      std::function<void(std::optional<StoreRows>, const PlatformReason&)>;
  using FeedFn = std::function<void(FeedEnd, const StoreRows&)>;

  std::function<void(const StoreTransaction&, CommitFn)> commit;
  /// Reads rows of one table and partition from `from` on, in order of key.
  std::function<void(const std::string& table, const std::string& partition,
                     const std::string& from, ReadFn)>
      read;
  /// Waits until rows of `table` change after a version, or `wait` passes.
  std::function<void(const std::string& table, RowVersion after, Duration wait,
                     FeedFn)>
      changes;
};

/// Reads all pages of one table and partition.
void ReadAll(const Store& store, const std::string& table,
             const std::string& partition, Store::ReadFn fn);

}  // namespace almondtally
