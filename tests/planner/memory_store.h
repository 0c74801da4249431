#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "external/store.h"

namespace almondtally::sched {

/// An in-memory partitioned store with fault injection.
struct MemoryStore {
  std::map<StoreKey, StoreRow> rows;
  uint64_t version = 0;
  uint64_t commits = 0;
  /// Error returned by reads and commits until it is reset. With kUnknown the
  /// commit is applied all the same.
  PlatformError next_error = PlatformError::kNone;
  /// Commits are reported as kUnknown and kept in `held` until ApplyHeldCommits
  /// is called.
  bool hold_commits = false;
  std::vector<StoreTransaction> held;
  /// Pending reads of change feeds, by table.
  std::map<std::string, Store::FeedFn> watchers;

  StoreCommitResult Apply(const StoreTransaction& tx) {
    StoreCommitResult out;
    for (const StoreCheck& check : tx.checks) {
      const auto it = rows.find(check.at);
      const RowVersion found =
          it == rows.end() ? RowVersion(0) : it->second.version;
      if (it != rows.end()) out.current.push_back(it->second);
      if (found != check.version) out.error = PlatformError::kConflict;
    }
    if (out.error != PlatformError::kNone) return out;
    out.current.clear();
    out.version = RowVersion(++version);
    for (const StorePut& put : tx.puts) {
      rows[put.at] = {put.at, put.value, out.version, false};
    }
    for (const StoreKey& at : tx.deletes) rows.erase(at);
    return out;
  }

  void ApplyHeldCommits() {
    for (const StoreTransaction& tx : std::exchange(held, {})) Apply(tx);
  }

  Store Make() {
    Store out;
    out.commit = [this](const StoreTransaction& tx, const auto& fn) {
      ++commits;
      if (hold_commits) {
        held.push_back(tx);
        return fn({PlatformError::kUnknown, {}, {}, "held"});
      }
      if (next_error == PlatformError::kNone) return fn(Apply(tx));
      if (next_error == PlatformError::kUnknown) Apply(tx);
      fn({next_error, {}, {}, "injected fault"});
    };
    out.read = [this](const std::string& table, const std::string& partition,
                      const std::string& from, const auto& fn) {
      if (next_error != PlatformError::kNone) {
        return fn(std::nullopt, {next_error, "injected fault"});
      }
      StoreRows found;
      found.version = RowVersion(version);
      for (const auto& [at, row] : rows) {
        if (at.table == table && at.partition == partition && at.key >= from) {
          found.rows.push_back(row);
        }
      }
      fn(std::move(found), {});
    };
    out.changes = [this](const std::string& table, RowVersion, Duration,
                         const auto& fn) { watchers[table] = fn; };
    return out;
  }

  /// Delivers rows to the latest reader of a table's change feed.
  void Feed(const std::string& table, std::vector<StoreRow> changed) {
    const auto watcher = watchers.find(table);
    if (watcher == watchers.end()) return;
    const auto fn = std::exchange(watcher->second, nullptr);
    StoreRows out;
    out.version = RowVersion(version);
    out.rows = std::move(changed);
    if (fn) fn(FeedStatus::kOk, out);
  }
};

}  // namespace almondtally::sched
