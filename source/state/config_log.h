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

/// Called with the accepted version, or why there is none.
using AcceptFn = std::function<void(std::optional<ConfigVersion> accepted,
                                    const ConfigReason& why)>;

/// What an operator or the system wants to change.
struct ConfigProposal {
  ChangeId id;
  ConfigKind kind = ConfigKind::kTeam;
  std::string name;
  std::string value;
  /// If given, the object must still have this version.
  std::optional<ConfigVersion> expected;
};

/// One process's replica of the configuration log in the table.
///
/// The log is a head row with the newest version, one row a change, and from
/// time to time a snapshot. A change is accepted by a transaction that checks
/// the head and writes both; each change thus names its predecessor, as in
/// the reduction of ordered multicast to distributed swap (Herlihy,
/// Tirthapura, Wattenhofer, "Ordered Multicast and Distributed Swap", 2000,
/// section 3), with the table as the swap object.
///
/// Fences are changes of the same log, so one read of the head proves both
/// that the configuration is current and that no newer fence exists.
class ConfigLog {
 public:
  /// @param table and `clock` must outlive the log.
  ConfigLog(const Table& table, const Clock& clock);

  const Config& config() const { return config_; }
  /// @return true once the table has been read successfully.
  bool ready() const { return ready_; }

  /// When the newest successful read that found nothing newer than
  /// `config()` was sent. Nothing accepted before then is missing.
  std::optional<MonotonicTime> current_as_of() const { return current_as_of_; }

  /// Reads the head and what is missing. Call about once a second; does
  /// nothing while a read is under way.
  void Poll();

  /// Commits a change, trying again when another change came first.
  void Propose(const ConfigProposal& proposal, const AcceptFn& fn);

  /// @return the changes after `version`, or empty if they are no longer
  /// kept and a snapshot is needed.
  std::optional<std::vector<ConfigChange>> ChangesAfter(
      ConfigVersion version) const;

  /// Called after each applied change or snapshot.
  void OnApplied(std::function<void()> fn) { on_applied_ = std::move(fn); }

 private:
  /// The head row as one read saw it.
  struct Head {
    RowVersion row;
    ConfigVersion version;
    MonotonicTime sent;
  };
  using CaughtUpFn =
      std::function<void(std::optional<Head>, const PlatformReason&)>;

  void CatchUp(const CaughtUpFn& fn);
  void ReadMissing(Head head, const CaughtUpFn& fn);
  void ReadSnapshot(Head head, const CaughtUpFn& fn);
  void TakeChanges(const std::vector<Row>& rows);
  void TakeChange(const ConfigChange& change);
  void FinishCatchUp(Head head, const CaughtUpFn& fn);
  void TryCommit(const ConfigProposal& proposal, int tries_left,
                 const AcceptFn& fn);
  void Commit(const ConfigProposal& proposal, Head head, int tries_left,
              const AcceptFn& fn);
  Transaction MakeTransaction(const ConfigChange& change, Head head) const;
  bool Conflicts(const ConfigProposal& proposal, ConfigReason& why) const;

  const Table& table_;
  const Clock& clock_;
  Config config_;
  bool ready_ = false;
  bool polling_ = false;
  std::optional<MonotonicTime> current_as_of_;
  std::deque<ConfigChange> recent_;
  std::function<void()> on_applied_;
};

}  // namespace almondtally
