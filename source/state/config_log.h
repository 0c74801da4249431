#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "external/table.h"
#include "state/config.h"

namespace almondtally {

/// Receives the version of the committed change, or the reason for a failure.
using ProposeFn = std::function<void(std::optional<ConfigVersion> accepted,
                                     const ConfigReason& why)>;

/// A configuration change requested by an operator or by the system.
struct ConfigProposal {
  ChangeId id;
  ConfigKind kind = ConfigKind::kTeam;
  std::string name;
  std::string value;
  /// If set, the change is a conflict unless the object still has this
  /// version.
  std::optional<ConfigVersion> expected;
};

/// One process's replica of the configuration log in the platform's table.
///
/// The log consists of a head row with the newest version, one row per change,
/// and a periodic snapshot. A change is committed by a transaction that checks
/// the version of the head row and writes both the head and the new log row.
/// Each change is thereby ordered after its predecessor, as in the reduction of
/// ordered multicast to distributed swap (Herlihy, Tirthapura, Wattenhofer,
/// "Ordered Multicast and Distributed Swap", 2000, section 3), with the table
/// as the swap object.
///
/// Fences are changes in the same log, so one read of the head row proves both
/// that the configuration is current and that no newer fence exists.
class ConfigLog {
 public:
  /// `table` and `clock` must outlive the log.
  ConfigLog(const Table& table, const Clock& clock);

  const Config& config() const { return config_; }
  /// @return true after the first successful read of the table.
  bool ready() const { return ready_; }

  /// Send time of the latest successful read of the head. `config()` includes
  /// every change that was committed before this time. Empty before the first
  /// successful read.
  std::optional<MonotonicTime> current_as_of() const { return current_as_of_; }

  /// Reads the head row and applies the missing changes. Meant to be called
  /// about once a second; does nothing while a read is in progress.
  void Poll();

  /// Commits a change, and retries if another change was committed first.
  void Propose(const ConfigProposal& proposal, const ProposeFn& fn);

  /// @return the changes after `version`, or empty if this replica no longer
  /// holds all of them and a snapshot is needed.
  std::optional<std::vector<ConfigChange>> ChangesAfter(
      ConfigVersion version) const;

  /// Sets the callback that runs after each applied change or snapshot.
  void OnApplied(std::function<void()> fn) { on_applied_ = std::move(fn); }

 private:
  /// The result of one read of the head row.
  struct Head {
    RowVersion row_version;
    ConfigVersion version;
    MonotonicTime sent_at;
  };
  using CatchUpFn =
      std::function<void(std::optional<Head>, const PlatformReason&)>;

  void CatchUp(const CatchUpFn& fn);
  void ReadMissingChanges(Head head, const CatchUpFn& fn);
  void ReadSnapshot(Head head, const CatchUpFn& fn);
  void ApplyLogRows(const std::vector<Row>& rows);
  void ApplyChange(const ConfigChange& change);
  void FinishCatchUp(Head head, const CatchUpFn& fn);
  void AttemptCommit(const ConfigProposal& proposal, int attempts_left,
                     const ProposeFn& fn);
  void Commit(const ConfigProposal& proposal, Head head, int attempts_left,
              const ProposeFn& fn);
  Transaction MakeTransaction(const ConfigChange& change, Head head) const;
  bool Conflicts(const ConfigProposal& proposal, ConfigReason& why) const;

  const Table& table_;
  const Clock& clock_;
  Config config_;
  bool ready_ = false;
  bool polling_ = false;
  std::optional<MonotonicTime> current_as_of_;
  std::deque<ConfigChange> recent_changes_;
  std::function<void()> on_applied_;
};

}  // namespace almondtally
