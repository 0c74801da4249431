#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "peer/messages.h"
#include "peer/request_headers.h"
#include "state/config.h"
#include "wire/http_types.h"

namespace almondtally {

/// How long keyed requests are remembered, with their answers, for callers
/// that repeat their idempotency key.
constexpr Duration kKeyedAge{900'000};
/// How long other requests are remembered for entries that lost their link.
constexpr Duration kUnkeyedAge{60'000};
/// Answers longer than this, in bytes, are not kept.
constexpr size_t kMaxKeptAnswer = 64 << 10;

/// Adjusts how many requests one executor gets at once, never above what was
/// declared. It keeps the mean answer time at each level of concurrency n and
/// moves towards the level with the greatest power n / time^2 (throughput over
/// time; Kleinrock, "Power and deterministic rules of thumb for probabilistic
/// problems in computer communications", 1979). A slowdown that comes from
/// elsewhere raises all levels alike and so leaves the best one where it was.
struct AdaptiveLimit {
  /// Starts low: what an executor bears is found from below.
  int64_t limit = 4;
  /// Mean answer time in ms at each level; 0 where nothing was seen.
  std::vector<double> mean_ms;
  /// Answers since the last step.
  int64_t answers = 0;
  /// Most requests at once since the last step.
  int64_t most = 0;
};

/// Takes over how long one request took.
/// @param in_use requests in progress while it ran.
void Observe(AdaptiveLimit& limit, Duration took, int64_t in_use,
             int64_t declared);

/// @return whole requests at once, at least 1 and at most `declared`.
int64_t CurrentLimit(const AdaptiveLimit& limit, int64_t declared);

enum class RequestState : uint8_t { kQueued, kRunning, kDone, kWithdrawn };

/// One request that reached this VM.
struct RequestRecord {
  RequestState state = RequestState::kQueued;
  /// Whether the answer must be kept for a repeated idempotency key.
  bool keyed = false;
  /// When it came to its present state.
  MonotonicTime since{};
  MonotonicTime deadline{};
  /// Once done: whether it ran, as far as this process can tell.
  Outcome outcome = Outcome::kRan;
  std::optional<WholeAnswer> answer;
};

/// Requests of one service at this VM.
struct ServiceQueue {
  int64_t declared_slots = 1;
  int64_t declared_queue = 0;
  AdaptiveLimit adaptive;
  int64_t in_use = 0;
  std::deque<RequestId> waiting;
};

/// Requests of one VM, as plain data.
struct RequestTable {
  std::map<ServiceId, ServiceQueue> services;
  std::map<RequestId, RequestRecord> records;
  bool draining = false;
};

enum class AdmitVerdict : uint8_t {
  kRun,
  kWait,
  /// Not run, and will not be.
  kRefused,
  /// The same request is in progress or done; see its record.
  kKnown,
  /// So old that it may have run before and been forgotten.
  kUnknown,
};

/// A request as it arrives at the target.
struct RequestArrival {
  ServiceId service;
  RequestId request;
  bool keyed = false;
  Duration deadline{};
  /// This process's clock in the newest announcement that the entry had when
  /// it gave the request its id.
  MonotonicTime as_of{};
};

struct AdmitResult {
  AdmitVerdict verdict = AdmitVerdict::kRefused;
  std::string reason;
};

/// Decides on a request that has arrived.
AdmitResult AdmitRequest(RequestTable& table, MonotonicTime now,
                         const RequestArrival& arrival);

/// Ends a request that had a slot.
/// @param outcome whether the executor ran it.
/// @param answer to be kept for those who ask again, if any.
void FinishRequest(RequestTable& table, MonotonicTime now,
                   const ServiceId& service, const RequestId& request,
                   Outcome outcome, std::optional<WholeAnswer> answer);

/// @return the next waiting request that now gets a slot, if any.
std::optional<RequestId> TakeWaiting(RequestTable& table, MonotonicTime now,
                                     const ServiceId& service);

/// Gives up on a request that has not started.
/// @param as_of as in the request's arrival.
/// @return what became of it; `kNeverRuns` is final.
WithdrawVerdict Withdraw(RequestTable& table, MonotonicTime now,
                         const RequestId& request, MonotonicTime as_of);

/// @return the waiting requests whose deadline has passed, now withdrawn.
std::vector<RequestId> ExpireWaiting(RequestTable& table, MonotonicTime now);

/// Drops records that are older than they need be kept.
void Tidy(RequestTable& table, MonotonicTime now);

/// @return load of each service, for announcements.
std::vector<ServiceLoad> Loads(const RequestTable& table);

/// @return requests waiting or running.
int64_t OpenRequests(const RequestTable& table);

}  // namespace almondtally
