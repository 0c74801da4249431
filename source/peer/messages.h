#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/untrusted_json.h"
#include "external/worker.h"
#include "state/config.h"
#include "wire/http_types.h"

namespace almondtally {

/// Version of the messages in this file. Messages of another version are
/// rejected with an error that names it.
constexpr uint32_t kMessageVersion = 1;

/// Identifies one run of a target process; changes at every restart.
using Incarnation = StrongNumber<struct IncarnationTag, uint64_t>;
/// Timestamp of a target process's clock; peers return it unchanged.
using TargetTime = StrongNumber<struct TargetTimeTag, int64_t>;

/// HTTP paths of peer calls; all are POST with a CBOR body.
namespace peer_path {
inline constexpr const char* kAnnounce = "/peer/announce";
inline constexpr const char* kStart = "/peer/start";
inline constexpr const char* kStop = "/peer/stop";
inline constexpr const char* kWithdraw = "/peer/withdraw";
inline constexpr const char* kJobHint = "/peer/job-hint";
}  // namespace peer_path

/// How a run ended on its VM. In each case the worker no longer runs it.
enum class RunOutcome : uint8_t {
  kFinished,
  kFailed,
  kEvicted,
  kCancelled,
  /// It never started.
  kNotStarted,
};
NLOHMANN_JSON_SERIALIZE_ENUM(RunOutcome,
                             {{RunOutcome::kFinished, "finished"},
                              {RunOutcome::kFailed, "failed"},
                              {RunOutcome::kEvicted, "evicted"},
                              {RunOutcome::kCancelled, "cancelled"},
                              {RunOutcome::kNotStarted, "not_started"}})

/// @return the outcome's name for logs.
std::string_view ToString(RunOutcome outcome);

struct EndedRun {
  WorkerRun run;
  RunOutcome outcome = RunOutcome::kFinished;
  std::string checkpoint;
  std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndedRun, run, outcome,
                                                checkpoint, reason)

/// Newest checkpoint of a running task.
struct RunCheckpoint {
  WorkerRun run;
  std::string checkpoint;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunCheckpoint, run, checkpoint)

/// Load of one service at one target.
struct ServiceLoad {
  ServiceId service;
  /// Number of concurrent requests that the target accepts at present.
  int64_t limit = 0;
  int64_t in_use = 0;
  int64_t queued = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceLoad, service, limit,
                                                in_use, queued)

/// Periodic report of a target's state and load to an entry.
struct Announcement {
  uint32_t message_version = kMessageVersion;
  VmId vm;
  DataCentreId data_centre;
  RackId rack;
  std::string address;
  Incarnation incarnation;
  TargetTime now_ms;
  /// 0 until the first proof has been adopted.
  Generation generation;
  /// False until the worker's list of runs is known.
  bool ready = false;
  bool leaving = false;
  ConfigVersion config;
  Resources capacity;
  Resources committed;
  Resources used;
  std::vector<ServiceLoad> services;
  std::vector<EndedRun> ended;
  /// Sent only to the entry that owns the run, and at a low rate.
  std::vector<RunCheckpoint> checkpoints;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Announcement, message_version,
                                                vm, data_centre, rack, address,
                                                incarnation, now_ms, generation,
                                                ready, leaving, config,
                                                capacity, committed, used,
                                                services, ended, checkpoints)

/// Part of the configuration that a target needs.
struct ConfigUpdate {
  ConfigVersion version;
  /// True if `changes` is a full snapshot; objects missing from it are removed.
  bool whole = false;
  std::vector<ConfigChange> changes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigUpdate, version, whole,
                                                changes)

/// Fencing state of one VM, as of an entry's last read of the table.
struct FenceProof {
  /// Lowest generation that is not fenced.
  Generation generation;
  int64_t read_age_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FenceProof, generation,
                                                read_age_ms)

struct AnnounceAnswer {
  uint32_t message_version = kMessageVersion;
  EntryId entry;
  /// Empty until the entry has read the table.
  std::vector<FenceProof> proof;
  std::vector<ConfigUpdate> config;
  /// Addresses of all live entries.
  std::vector<std::string> entries;
  /// Ended runs that are committed and need not be reported again.
  std::vector<WorkerRun> acknowledged;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnnounceAnswer, message_version,
                                                entry, proof, config, entries,
                                                acknowledged)

struct StartItem {
  TaskId task;
  Epoch epoch;
  Generation generation;
  bool exclusive = true;
  ServiceId service;
  Resources claimed;
  int64_t work_ms = 0;
  std::string command;
  std::string checkpoint;

  WorkerRun run() const { return {task, epoch}; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartItem, task, epoch,
                                                generation, exclusive, service,
                                                claimed, work_ms, command,
                                                checkpoint)

/// An entry asks a target to run tasks that the table assigns to it.
struct StartRequest {
  uint32_t message_version = kMessageVersion;
  EntryId entry;
  Incarnation incarnation;
  /// The target's clock in the newest announcement that the entry had when
  /// it made this message.
  TargetTime as_of_ms;
  std::vector<StartItem> starts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartRequest, message_version,
                                                entry, incarnation, as_of_ms,
                                                starts)

enum class StartVerdict : uint8_t {
  /// Runs, or is being started.
  kAccepted,
  /// Has not run and never will under this epoch.
  kRefused,
  /// Undecided; ask again.
  kRetry,
  /// Ran and has ended; the outcome is in the announcements.
  kEnded,
};
NLOHMANN_JSON_SERIALIZE_ENUM(StartVerdict,
                             {{StartVerdict::kAccepted, "accepted"},
                              {StartVerdict::kRefused, "refused"},
                              {StartVerdict::kRetry, "retry"},
                              {StartVerdict::kEnded, "ended"}})

struct StartResult {
  WorkerRun run;
  StartVerdict verdict = StartVerdict::kRetry;
  std::string reason;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartResult, run, verdict,
                                                reason)

struct StartAnswer {
  uint32_t message_version = kMessageVersion;
  std::vector<StartResult> results;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartAnswer, message_version,
                                                results)

/// An entry asks a target to stop runs whose job was cancelled.
struct StopRequest {
  uint32_t message_version = kMessageVersion;
  EntryId entry;
  std::vector<WorkerRun> runs;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopRequest, message_version,
                                                entry, runs)

/// Sent by an entry after a lost link: asks for the state of a request and
/// prevents it from starting if it has not started yet.
struct WithdrawRequest {
  uint32_t message_version = kMessageVersion;
  RequestId request;
  Incarnation incarnation;
  /// The target's clock as known when the request got its id.
  TargetTime as_of_ms;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WithdrawRequest,
                                                message_version, request,
                                                incarnation, as_of_ms)

enum class WithdrawVerdict : uint8_t {
  /// Has not run and never will under this request id.
  kNeverRuns,
  kRunning,
  /// Ran; `status`, `headers` and `body` are its answer.
  kDone,
  /// Ran; its answer is no longer kept.
  kDoneWithoutAnswer,
  /// This process cannot tell.
  kUnknown,
};
NLOHMANN_JSON_SERIALIZE_ENUM(WithdrawVerdict,
                             {{WithdrawVerdict::kNeverRuns, "never_runs"},
                              {WithdrawVerdict::kRunning, "running"},
                              {WithdrawVerdict::kDone, "done"},
                              {WithdrawVerdict::kDoneWithoutAnswer,
                               "done_without_answer"},
                              {WithdrawVerdict::kUnknown, "unknown"}})

inline void to_json(nlohmann::json& out, const Header& it) {
  out = {it.name, it.value};
}
inline void from_json(const nlohmann::json& in, Header& it) {
  in.at(0).get_to(it.name);
  in.at(1).get_to(it.value);
}

struct WithdrawAnswer {
  uint32_t message_version = kMessageVersion;
  WithdrawVerdict verdict = WithdrawVerdict::kUnknown;
  int status = 0;
  Headers headers;
  std::string body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WithdrawAnswer, message_version,
                                                verdict, status, headers, body)

/// Asks the entry that owns a job to read its rows again.
struct JobHint {
  uint32_t message_version = kMessageVersion;
  JobId job;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobHint, message_version, job)

/// @return the message as CBOR.
template <typename T>
std::string EncodeMessage(const T& message) {
  const std::vector<uint8_t> bytes =
      nlohmann::json::to_cbor(nlohmann::json(message));
  return {bytes.begin(), bytes.end()};
}

/// Largest number of values in a message. Messages of the largest size that is
/// accepted have fewer, unless their values are of a byte or two.
inline constexpr size_t kMaxMessageValues = 262'144;

/// Decodes a CBOR message.
/// @param why set to the error if decoding fails.
template <typename T>
std::optional<T> DecodeMessage(const std::string& bytes, WireReason& why) {
  std::string error;
  const auto in = ParseCbor(bytes, error, kMaxMessageValues);
  if (!in || !in->is_object()) {
    why.Set(WireError::kDecode, in ? "not a CBOR map" : error);
    return std::nullopt;
  }
  try {
    T message = in->get<T>();
    if (message.message_version == kMessageVersion) return message;
    why.Set(WireError::kDecode, "message version " +
                                    std::to_string(message.message_version) +
                                    " is not known");
  } catch (const nlohmann::json::exception& exception) {
    why.Set(WireError::kDecode, exception.what());
  }
  return std::nullopt;
}

}  // namespace almondtally
