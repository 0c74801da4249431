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

/// How long keyed requests and their answers are kept, for callers that repeat
/// an idempotency key.
constexpr Duration kKeyedRetention{900'000};
/// How long other requests are kept, for entries whose link was lost.
constexpr Duration kUnkeyedRetention{60'000};
/// Answers with larger bodies are not kept.
constexpr size_t kMaxStoredAnswerBytes = 64 << 10;

/// Adaptive concurrency limit of one executor, never above the declared number
/// of slots. It tracks the mean answer time at each concurrency level n and
/// moves towards the level with the greatest power n / time^2 (throughput over
/// time; Kleinrock, "Power and deterministic rules of thumb for probabilistic
/// problems in computer communications", 1979). A slowdown with an outside
/// cause raises the times of all levels alike and does not shift the optimum.
struct AdaptiveLimit {
  /// Starts low, so that the capacity of the executor is approached from below.
  int64_t limit = 4;
  /// Mean answer time in ms at each level; 0 where there are no samples.
  std::vector<double> mean_ms;
  /// Answers since the last adjustment.
  int64_t answers = 0;
  /// Greatest number of concurrent requests since the last adjustment.
  int64_t peak_in_use = 0;
};

/// Adds the answer time of one request and, after enough answers, adjusts the
/// limit.
/// @param in_use number of concurrent requests, including this one.
void UpdateAdaptiveLimit(AdaptiveLimit& limit, Duration took, int64_t in_use,
                         int64_t declared);

/// @return the current limit, at least 1 and at most `declared`.
int64_t CurrentLimit(const AdaptiveLimit& limit, int64_t declared);

enum class RequestState : uint8_t { kQueued, kRunning, kDone, kWithdrawn };

/// State of one request that this target received.
struct RequestRecord {
  RequestState state = RequestState::kQueued;
  /// Whether the record is kept for the longer retention time of keyed
  /// requests.
  bool keyed = false;
  /// When the request entered its current state.
  MonotonicTime state_since{};
  MonotonicTime deadline{};
  /// For a finished request: whether it ran, as far as this process knows.
  RequestOutcome outcome = RequestOutcome::kRan;
  std::optional<HttpResponse> answer;
};

/// Slots and queue of one service on this VM.
struct ServiceQueue {
  int64_t declared_slots = 1;
  int64_t declared_queue = 0;
  AdaptiveLimit adaptive;
  int64_t in_use = 0;
  std::deque<RequestId> waiting;
};

/// All requests of one VM, as plain data.
struct RequestTable {
  std::map<ServiceId, ServiceQueue> services;
  std::map<RequestId, RequestRecord> records;
  bool draining = false;
};

enum class AdmitVerdict : uint8_t {
  kRun,
  kWait,
  /// The request has not run and will not run.
  kRefused,
  /// The same request is in progress or finished; see its record.
  kKnown,
  /// The request may have run before: its record may already be dropped, or
  /// there are too many records to add one.
  kUnknown,
};

/// The parts of an incoming request that admission needs.
struct RequestArrival {
  ServiceId service;
  RequestId request;
  bool keyed = false;
  Duration deadline{};
  /// Clock of this process in the latest announcement that the entry had
  /// received when it assigned the request id.
  MonotonicTime as_of{};
};

struct AdmitResult {
  AdmitVerdict verdict = AdmitVerdict::kRefused;
  std::string reason;
};

/// Decides whether an incoming request runs, waits or is refused.
AdmitResult AdmitRequest(RequestTable& table, MonotonicTime now,
                         const RequestArrival& arrival);

/// Finishes a running request and frees its slot.
/// @param outcome whether the executor ran it.
/// @param answer the answer to keep for repeats, if any.
void FinishRequest(RequestTable& table, MonotonicTime now,
                   const ServiceId& service, const RequestId& request,
                   RequestOutcome outcome, std::optional<HttpResponse> answer);

/// Gives a free slot to the next queued request.
/// @return that request, or nothing if no slot is free or the queue is empty.
std::optional<RequestId> DequeueRequest(RequestTable& table, MonotonicTime now,
                                        const ServiceId& service);

/// Withdraws a request that has not started.
/// @param as_of as in `RequestArrival`.
/// @return the state of the request; `kNeverRuns` is final.
WithdrawVerdict Withdraw(RequestTable& table, MonotonicTime now,
                         const RequestId& request, MonotonicTime as_of);

/// Withdraws the queued requests whose deadline has passed.
/// @return those requests.
std::vector<RequestId> ExpireQueuedRequests(RequestTable& table,
                                            MonotonicTime now);

/// Drops records that are past their retention time.
void RunMaintenance(RequestTable& table, MonotonicTime now);

/// @return the load of each service, for announcements.
std::vector<ServiceLoad> CollectServiceLoads(const RequestTable& table);

/// @return the number of queued and running requests.
int64_t OpenRequests(const RequestTable& table);

}  // namespace almondtally
