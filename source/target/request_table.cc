#include "target/request_table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace almondtally {
namespace {

/// Records outlive, by this margin, the age at which messages about them are no
/// longer trusted.
constexpr Duration kRetentionMargin{5'000};
constexpr size_t kMaxRecords = 200'000;
constexpr int64_t kAnswersPerStep = 16;
/// Weight of a new answer in the moving average of its level.
constexpr double kMeanWeight = 0.02;
/// Factor by which the power of a lower level must be greater before the limit
/// is lowered.
constexpr double kMinPowerGain = 1.2;

/// Maps a number of concurrent requests to its level. Low levels cover a single
/// number each; higher ones cover several, so that large limits do not need
/// many answers for each number.
size_t LevelOf(int64_t in_use) {
  constexpr int64_t kSingleLevels = 24;
  constexpr int64_t kWideLevelSize = 8;
  if (in_use < kSingleLevels) {
    return static_cast<size_t>(std::max<int64_t>(0, in_use));
  }
  return static_cast<size_t>(kSingleLevels +
                             (in_use - kSingleLevels) / kWideLevelSize);
}

/// Power at `in_use` concurrent requests. A level without samples takes the
/// time of the nearest lower level that has some, or else of the nearest higher
/// one.
double PowerAt(const AdaptiveLimit& limit, int64_t in_use) {
  if (in_use < 1) return 0;
  const auto& means = limit.mean_ms;
  const size_t level = std::min(LevelOf(in_use), means.size() - 1);
  size_t seen = level;
  while (seen > 0 && means[seen] == 0) --seen;
  if (means[seen] == 0) seen = level;
  while (seen + 1 < means.size() && means[seen] == 0) ++seen;
  const double ms = std::max(1.0, means[seen]);
  return static_cast<double>(in_use) / (ms * ms);
}

Duration RetentionOf(bool keyed) {
  return keyed ? kKeyedRetention : kUnkeyedRetention;
}

AdmitResult Refuse(std::string reason) {
  return {AdmitVerdict::kRefused, std::move(reason)};
}

/// Checks whether the service has a slot or room in its queue for the request.
/// Changes nothing.
AdmitResult CheckCapacity(const RequestTable& table,
                          const RequestArrival& arrival) {
  const auto it = table.services.find(arrival.service);
  if (it == table.services.end()) return Refuse("the service is not here");
  if (table.draining) return Refuse("the target is draining");
  if (arrival.deadline <= Duration(0)) return Refuse("its deadline has passed");
  const ServiceQueue& queue = it->second;
  const int64_t limit = CurrentLimit(queue.adaptive, queue.declared_slots);
  if (queue.in_use < limit && queue.waiting.empty()) {
    return {AdmitVerdict::kRun, "slot free"};
  }
  const auto waiting = static_cast<int64_t>(queue.waiting.size());
  if (waiting < queue.declared_queue) return {AdmitVerdict::kWait, "queued"};
  return Refuse("all slots and the queue are full");
}

}  // namespace

void UpdateAdaptiveLimit(AdaptiveLimit& limit, Duration took, int64_t in_use,
                         int64_t declared) {
  const size_t level = LevelOf(in_use);
  if (limit.mean_ms.size() <= level) limit.mean_ms.resize(level + 1);
  const double ms = std::max(1.0, static_cast<double>(took.count()));
  double& mean = limit.mean_ms[level];
  mean = mean == 0 ? ms : mean + (ms - mean) * kMeanWeight;
  limit.peak_in_use = std::max(limit.peak_in_use, in_use);
  if (++limit.answers < kAnswersPerStep) return;
  limit.answers = 0;
  const bool was_full = std::exchange(limit.peak_in_use, 0) >= limit.limit;
  const int64_t now = CurrentLimit(limit, declared);
  const int64_t step = std::max<int64_t>(1, now / 16);
  const double here = PowerAt(limit, now);
  // The comparison is with a level well below the limit, so that noise is
  // unlikely to lower the limit.
  const int64_t below = now - std::max<int64_t>(1, now / 4);
  if (PowerAt(limit, below) > here * kMinPowerGain) {
    limit.limit = std::max<int64_t>(1, now - step);
  } else if (was_full && PowerAt(limit, now + step) > here) {
    limit.limit = std::min(declared, now + step);
  }
}

int64_t CurrentLimit(const AdaptiveLimit& limit, int64_t declared) {
  return std::clamp<int64_t>(limit.limit, 1, std::max<int64_t>(1, declared));
}

AdmitResult AdmitRequest(RequestTable& table, MonotonicTime now,
                         const RequestArrival& arrival) {
  const RequestId& request = arrival.request;
  if (const auto it = table.records.find(request); it != table.records.end()) {
    if (it->second.state == RequestState::kWithdrawn) {
      return Refuse("withdrawn before it started");
    }
    return {AdmitVerdict::kKnown, "seen before"};
  }
  if (now - arrival.as_of > RetentionOf(arrival.keyed) - kRetentionMargin) {
    return {AdmitVerdict::kUnknown, "too old to tell whether it ran"};
  }
  // Dropping a record early could let a request with a repeated key run twice.
  if (table.records.size() >= kMaxRecords) {
    return {AdmitVerdict::kUnknown, "too many requests are remembered"};
  }
  AdmitResult result = CheckCapacity(table, arrival);
  RequestRecord record;
  record.keyed = arrival.keyed;
  record.state_since = now;
  record.deadline = now + arrival.deadline;
  switch (result.verdict) {
    case AdmitVerdict::kRun:
      ++table.services[arrival.service].in_use;
      record.state = RequestState::kRunning;
      break;
    case AdmitVerdict::kWait:
      table.services[arrival.service].waiting.push_back(request);
      record.state = RequestState::kQueued;
      break;
    default:
      // Another entry may send the same keyed request; once refused for one
      // entry, it must not run for another.
      if (!arrival.keyed) return result;
      record.state = RequestState::kWithdrawn;
      break;
  }
  table.records[request] = std::move(record);
  return result;
}

void FinishRequest(RequestTable& table, MonotonicTime now,
                   const ServiceId& service, const RequestId& request,
                   RequestOutcome outcome, std::optional<HttpResponse> answer) {
  const auto it = table.records.find(request);
  if (it == table.records.end()) return;
  if (it->second.state != RequestState::kRunning) return;
  const bool never_ran = outcome == RequestOutcome::kNotRun;
  it->second.state = never_ran ? RequestState::kWithdrawn : RequestState::kDone;
  it->second.outcome = outcome;
  it->second.answer = std::move(answer);
  const auto queue = table.services.find(service);
  if (queue == table.services.end()) return;
  UpdateAdaptiveLimit(queue->second.adaptive, now - it->second.state_since,
                      queue->second.in_use, queue->second.declared_slots);
  --queue->second.in_use;
  it->second.state_since = now;
}

std::optional<RequestId> DequeueRequest(RequestTable& table, MonotonicTime now,
                                        const ServiceId& service) {
  const auto it = table.services.find(service);
  if (it == table.services.end()) return std::nullopt;
  ServiceQueue& queue = it->second;
  const int64_t limit = CurrentLimit(queue.adaptive, queue.declared_slots);
  if (queue.in_use >= limit || queue.waiting.empty()) return std::nullopt;
  const RequestId request = queue.waiting.front();
  queue.waiting.pop_front();
  RequestRecord& record = table.records[request];
  record.state = RequestState::kRunning;
  // Time spent in the queue does not count as the executor's answer time.
  record.state_since = now;
  ++queue.in_use;
  return request;
}

WithdrawVerdict Withdraw(RequestTable& table, MonotonicTime now,
                         const RequestId& request, MonotonicTime as_of) {
  const auto it = table.records.find(request);
  if (it == table.records.end()) {
    if (now - as_of > kUnkeyedRetention - kRetentionMargin) {
      return WithdrawVerdict::kUnknown;
    }
    RequestRecord tombstone;
    tombstone.state = RequestState::kWithdrawn;
    tombstone.keyed = true;
    tombstone.state_since = now;
    table.records[request] = std::move(tombstone);
    return WithdrawVerdict::kNeverRuns;
  }
  RequestRecord& record = it->second;
  switch (record.state) {
    case RequestState::kWithdrawn:
      return WithdrawVerdict::kNeverRuns;
    case RequestState::kRunning:
      return WithdrawVerdict::kRunning;
    case RequestState::kDone:
      return record.answer ? WithdrawVerdict::kDone
                           : WithdrawVerdict::kDoneWithoutAnswer;
    case RequestState::kQueued:
      break;
  }
  record.state = RequestState::kWithdrawn;
  record.keyed = true;
  record.state_since = now;
  for (auto& [service, queue] : table.services) {
    std::erase(queue.waiting, request);
  }
  return WithdrawVerdict::kNeverRuns;
}

std::vector<RequestId> ExpireQueuedRequests(RequestTable& table,
                                            MonotonicTime now) {
  std::vector<RequestId> expired;
  for (auto& [service, queue] : table.services) {
    for (const RequestId& request : queue.waiting) {
      if (table.records[request].deadline <= now) expired.push_back(request);
    }
  }
  for (const RequestId& request : expired) {
    Withdraw(table, now, request, now);
  }
  return expired;
}

void RunMaintenance(RequestTable& table, MonotonicTime now) {
  std::erase_if(table.records, [&](const auto& it) {
    const RequestRecord& record = it.second;
    const bool over = record.state == RequestState::kDone ||
                      record.state == RequestState::kWithdrawn;
    return over && now - record.state_since > RetentionOf(record.keyed);
  });
}

std::vector<ServiceLoad> CollectServiceLoads(const RequestTable& table) {
  std::vector<ServiceLoad> loads;
  for (const auto& [service, queue] : table.services) {
    ServiceLoad load;
    load.service = service;
    load.limit = CurrentLimit(queue.adaptive, queue.declared_slots);
    load.in_use = queue.in_use;
    load.queued = static_cast<int64_t>(queue.waiting.size());
    loads.push_back(std::move(load));
  }
  return loads;
}

int64_t OpenRequests(const RequestTable& table) {
  int64_t open = 0;
  for (const auto& [service, queue] : table.services) {
    open += queue.in_use + static_cast<int64_t>(queue.waiting.size());
  }
  return open;
}

}  // namespace almondtally
