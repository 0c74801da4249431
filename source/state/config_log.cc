#include "state/config_log.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "base/untrusted_json.h"

namespace almondtally {
namespace {

using nlohmann::json;

const char* const kHeadKey = "config/head";
const char* const kSnapshotKey = "config/snapshot";
const char* const kLogPrefix = "config/log/";
constexpr size_t kLogRowsKept = 512;
constexpr uint64_t kChangesPerSnapshot = 128;
constexpr int kMaxCommitAttempts = 8;

std::string LogKey(ConfigVersion version) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%s%012llu", kLogPrefix,
                static_cast<unsigned long long>(version.value));
  return buf;
}

std::optional<ConfigChange> ParseChange(const std::string& text) {
  const json input = ParseJson(text);
  if (!input.is_object()) return std::nullopt;
  try {
    return input.get<ConfigChange>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

const Row* FindRow(const std::vector<Row>& rows, const std::string& key) {
  const auto it = std::find_if(rows.begin(), rows.end(),
                               [&](const Row& row) { return row.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

std::string UnknownOutcomeMessage(const ConfigProposal& proposal,
                                  const PlatformReason& why) {
  return "the outcome is unknown (" + why.text + "); repeat with change id " +
         proposal.id.value;
}

}  // namespace

ConfigLog::ConfigLog(const Table& table, const Clock& clock)
    : table_(table), clock_(clock) {}

void ConfigLog::Poll() {
  if (polling_) return;
  polling_ = true;
  CatchUp([this](const auto&, const auto&) { polling_ = false; });
}

void ConfigLog::CatchUp(const CatchUpFn& fn) {
  const MonotonicTime sent_at = Now(clock_);
  table_.get(
      {kHeadKey}, [this, sent_at, fn](const auto& rows, const auto& why) {
        if (!rows) return fn(std::nullopt, why);
        Head head;
        head.sent_at = sent_at;
        if (const Row* row = FindRow(*rows, kHeadKey)) {
          head.row_version = row->version;
          head.version =
              ConfigVersion(std::strtoull(row->value.c_str(), nullptr, 10));
        }
        ReadMissingChanges(head, fn);
      });
}

void ConfigLog::ReadMissingChanges(Head head, const CatchUpFn& fn) {
  if (config_.version >= head.version) return FinishCatchUp(head, fn);
  const uint64_t missing = head.version.value - config_.version.value;
  if (missing > kLogRowsKept || config_.version.value == 0) {
    return ReadSnapshot(head, fn);
  }
  std::vector<std::string> keys;
  for (uint64_t v = config_.version.value + 1; v <= head.version.value; ++v) {
    keys.push_back(LogKey(ConfigVersion(v)));
  }
  table_.get(keys, [this, head, fn](const auto& rows, const auto& why) {
    if (!rows) return fn(std::nullopt, why);
    ApplyLogRows(*rows);
    // A log row is only missing if it was deleted after a newer snapshot.
    if (config_.version < head.version) return ReadSnapshot(head, fn);
    FinishCatchUp(head, fn);
  });
}

void ConfigLog::ReadSnapshot(Head head, const CatchUpFn& fn) {
  table_.scan("config/", [this, head, fn](const auto& rows, const auto& why) {
    if (!rows) return fn(std::nullopt, why);
    if (const Row* row = FindRow(*rows, kSnapshotKey)) {
      ConfigReason ignored;
      auto snapshot = DecodeSnapshot(row->value, ignored);
      if (snapshot && snapshot->version > config_.version) {
        config_ = std::move(*snapshot);
        recent_changes_.clear();
        if (on_applied_) on_applied_();
      }
    }
    ApplyLogRows(*rows);
    FinishCatchUp(head, fn);
  });
}

void ConfigLog::ApplyLogRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    if (!row.key.starts_with(kLogPrefix)) continue;
    if (const auto change = ParseChange(row.value)) ApplyChange(*change);
  }
}

void ConfigLog::ApplyChange(const ConfigChange& change) {
  if (!Apply(config_, change)) return;
  recent_changes_.push_back(change);
  if (recent_changes_.size() > kLogRowsKept) recent_changes_.pop_front();
  if (on_applied_) on_applied_();
}

void ConfigLog::FinishCatchUp(Head head, const CatchUpFn& fn) {
  if (config_.version < head.version) {
    return fn(std::nullopt, {PlatformError::kDecode, "the log has a gap"});
  }
  ready_ = true;
  if (!current_as_of_ || *current_as_of_ < head.sent_at) {
    current_as_of_ = head.sent_at;
  }
  fn(head, {});
}

std::optional<std::vector<ConfigChange>> ConfigLog::ChangesAfter(
    ConfigVersion version) const {
  if (version >= config_.version) return std::vector<ConfigChange>();
  if (recent_changes_.empty() ||
      recent_changes_.front().version.value > version.value + 1) {
    return std::nullopt;
  }
  std::vector<ConfigChange> out;
  for (const ConfigChange& change : recent_changes_) {
    if (change.version > version) out.push_back(change);
  }
  return out;
}

bool ConfigLog::Conflicts(const ConfigProposal& proposal,
                          ConfigReason& why) const {
  if (!proposal.expected) return false;
  const auto it = config_.objects.find({proposal.kind, proposal.name});
  const bool exists = it != config_.objects.end();
  const ConfigVersion current = exists ? it->second.version : ConfigVersion(0);
  if (current == *proposal.expected) return false;
  why.Set(ConfigError::kConflict,
          "the object was changed in version " + std::to_string(current.value) +
              ", you expected version " +
              std::to_string(proposal.expected->value) +
              "; in force: " + (exists ? it->second.value : "nothing") +
              "; yours: " + proposal.value);
  return true;
}

void ConfigLog::Propose(const ConfigProposal& proposal, const ProposeFn& fn) {
  AttemptCommit(proposal, kMaxCommitAttempts, fn);
}

void ConfigLog::AttemptCommit(const ConfigProposal& proposal, int attempts_left,
                              const ProposeFn& fn) {
  // Catch up first: the conflict check needs the newest configuration, and the
  // change id shows whether an earlier attempt with a lost response committed.
  CatchUp([=, this](const auto& head, const auto& why) {
    if (!head) {
      const bool first_attempt = attempts_left == kMaxCommitAttempts;
      return fn(std::nullopt,
                {ConfigError::kUnavailable,
                 first_attempt ? "the table cannot be read (" + why.text +
                                     "); nothing was changed"
                               : UnknownOutcomeMessage(proposal, why)});
    }
    for (const ConfigChange& change : recent_changes_) {
      if (change.id == proposal.id) return fn(change.version, {});
    }
    ConfigReason conflict;
    if (Conflicts(proposal, conflict)) return fn(std::nullopt, conflict);
    Commit(proposal, *head, attempts_left, fn);
  });
}

void ConfigLog::Commit(const ConfigProposal& proposal, Head head,
                       int attempts_left, const ProposeFn& fn) {
  const ConfigChange change{ConfigVersion(head.version.value + 1), proposal.id,
                            proposal.kind, proposal.name, proposal.value};
  table_.commit(MakeTransaction(change, head),
                [=, this](const auto& committed, const auto& why) {
                  if (committed) {
                    ApplyChange(change);
                    return fn(change.version, {});
                  }
                  if (attempts_left > 1)
                    return AttemptCommit(proposal, attempts_left - 1, fn);
                  fn(std::nullopt, {ConfigError::kUnavailable,
                                    UnknownOutcomeMessage(proposal, why)});
                });
}

Transaction ConfigLog::MakeTransaction(const ConfigChange& change,
                                       Head head) const {
  Transaction transaction;
  transaction.checks = {{kHeadKey, head.row_version}};
  transaction.puts = {{kHeadKey, std::to_string(change.version.value)},
                      {LogKey(change.version), json(change).dump()}};
  if (change.version.value % kChangesPerSnapshot != 0) return transaction;
  // The snapshot contains all changes before this one.
  transaction.puts.push_back({kSnapshotKey, EncodeSnapshot(config_)});
  if (change.version.value <= kLogRowsKept) return transaction;
  const uint64_t last_deleted = change.version.value - kLogRowsKept;
  const uint64_t first_deleted = last_deleted > kChangesPerSnapshot
                                     ? last_deleted - kChangesPerSnapshot
                                     : 1;
  for (uint64_t v = first_deleted; v <= last_deleted; ++v) {
    transaction.deletes.push_back(LogKey(ConfigVersion(v)));
  }
  return transaction;
}

}  // namespace almondtally
