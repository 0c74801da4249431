#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"

namespace almondtally {

enum class PlatformError : uint8_t {
  kNone,
  /// The request did not reach the platform; nothing was changed.
  kUnreachable,
  /// The outcome is unknown: a write may or may not have been applied.
  kUnknown,
  /// A checked row had another version; nothing was written.
  kConflict,
  /// The platform or worker rejected the request; nothing was changed.
  kRefused,
  /// The response cannot be decoded.
  kDecode,
};

using PlatformReason = Reason<PlatformError>;

/// @return a short name for logs, such as "unreachable".
std::string_view ToString(PlatformError error);

/// One row of the platform's table.
struct Row {
  std::string key;
  RowVersion version;
  std::string value;
};

/// Requires a row to have exactly this version; 0 requires that it does not
/// exist.
struct RowCheck {
  std::string key;
  RowVersion version;
};

struct RowPut {
  std::string key;
  std::string value;
};

/// An atomic transaction: the writes are applied only if all checks hold.
struct Transaction {
  std::vector<RowCheck> checks;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};

/// The result of a committed transaction. All rows written by one transaction
/// get the same version.
struct Committed {
  RowVersion version;
};

using CommitFn = std::function<void(std::optional<Committed> result,
                                    const PlatformReason& why)>;
using RowsFn = std::function<void(std::optional<std::vector<Row>> rows,
                                  const PlatformReason& why)>;

/// Calls and rows counted since process start, for metrics and benchmarks.
struct TableCounters {
  uint64_t transactions = 0;
  uint64_t rows_written = 0;
  uint64_t rows_read = 0;
  uint64_t failures = 0;
};

/// The platform's transactional table. The operations are plain functions so
/// that tests can replace them. A read sees every transaction that was
/// committed before the read was sent.
struct Table {
  std::function<void(Transaction, CommitFn)> commit;
  /// Reads the rows with these keys; rows that do not exist are omitted.
  std::function<void(std::vector<std::string> keys, RowsFn)> get;
  /// Reads all rows whose key starts with `prefix`, in key order.
  std::function<void(std::string prefix, RowsFn)> scan;
};

}  // namespace almondtally
