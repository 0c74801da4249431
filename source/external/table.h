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
  /// The call did not reach the platform; nothing took effect.
  kUnreachable,
  /// No answer: a write may or may not have taken effect.
  kUnknown,
  /// A checked row had another version; nothing was written.
  kConflict,
  /// The platform or worker refused; nothing took effect.
  kRefused,
  /// The answer cannot be read.
  kDecode,
};

using PlatformReason = Reason<PlatformError>;

/// @return a short name for logs, such as "unreachable".
std::string_view ToString(PlatformError error);

/// One row of the table service.
struct Row {
  std::string key;
  RowVersion version;
  std::string value;
};

/// Requires a row to have exactly this version (0: not to exist).
struct RowCheck {
  std::string key;
  RowVersion version;
};

struct RowPut {
  std::string key;
  std::string value;
};

/// All checks hold and all writes happen, or none.
struct Transaction {
  std::vector<RowCheck> checks;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};

/// What a committed transaction gave its rows. All rows of one transaction
/// get the same version.
struct Committed {
  RowVersion version;
};

using CommitFn = std::function<void(std::optional<Committed> result,
                                    const PlatformReason& why)>;
using RowsFn = std::function<void(std::optional<std::vector<Row>> rows,
                                  const PlatformReason& why)>;

/// Counts of calls and rows since the start, for metrics and benches.
struct TableCounters {
  uint64_t transactions = 0;
  uint64_t rows_written = 0;
  uint64_t rows_read = 0;
  uint64_t failures = 0;
};

/// The platform's transactional table, as plain functions so that tests can
/// put their own in place. Reads see every transaction committed before they
/// were sent.
struct Table {
  std::function<void(Transaction, CommitFn)> commit;
  /// Reads the rows with these keys; missing rows are left out.
  std::function<void(std::vector<std::string> keys, RowsFn)> get;
  /// Reads all rows whose key starts with `prefix`, in order of key.
  std::function<void(std::string prefix, RowsFn)> scan;
};

}  // namespace almondtally
