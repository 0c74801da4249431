#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "external/table.h"

namespace almondtally {

/// An in-memory table that responds synchronously and can inject faults.
struct MemoryTable {
  std::map<std::string, Row> rows;
  uint64_t version = 0;
  /// All calls fail as unreachable.
  bool unreachable = false;
  /// Applies the next commit but reports its outcome as unknown.
  bool lose_next_commit_response = false;

  Table AsTable();
};

inline Table MemoryTable::AsTable() {
  Table table;
  table.commit = [this](const Transaction& transaction, const CommitFn& fn) {
    if (unreachable) {
      return fn(std::nullopt, {PlatformError::kUnreachable, "down"});
    }
    for (const RowCheck& check : transaction.checks) {
      if (rows[check.key].version != check.version) {
        return fn(std::nullopt, {PlatformError::kConflict, check.key});
      }
    }
    ++version;
    for (const RowPut& put : transaction.puts) {
      rows[put.key] = {put.key, RowVersion(version), put.value};
    }
    for (const std::string& key : transaction.deletes) rows.erase(key);
    if (std::exchange(lose_next_commit_response, false)) {
      return fn(std::nullopt, {PlatformError::kUnknown, "lost"});
    }
    fn(Committed{RowVersion(version)}, {});
  };
  const auto select = [this](auto matches, const RowsFn& fn) {
    if (unreachable) {
      return fn(std::nullopt, {PlatformError::kUnreachable, "down"});
    }
    std::vector<Row> out;
    for (const auto& [key, row] : rows) {
      if (row.version.value != 0 && matches(key)) out.push_back(row);
    }
    fn(std::move(out), {});
  };
  table.get = [select](const std::vector<std::string>& keys, const RowsFn& fn) {
    select(
        [&](const std::string& key) {
          return std::find(keys.begin(), keys.end(), key) != keys.end();
        },
        fn);
  };
  table.scan = [select](const std::string& prefix, const RowsFn& fn) {
    select([&](const std::string& key) { return key.starts_with(prefix); }, fn);
  };
  return table;
}

}  // namespace almondtally
