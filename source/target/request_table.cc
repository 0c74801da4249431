#include "target/request_table.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace almondtally {
namespace {

/// Records are kept this much longer than messages about them are believed.
constexpr Duration kMemoryMargin{5'000};
constexpr size_t kMaxRecords = 200'000;
constexpr int64_t kAnswersPerStep = 16;
/// Weight of one answer in the mean of its level.
constexpr double kWeight = 0.02;
/// A lower level must promise this much more before it is taken.
constexpr double kWorthwhile = 1.2;

/// Levels are single requests at first and grow wider, so that large limits
/// do not need many answers at each.
size_t LevelOf(int64_t in_use) {
  constexpr int64_t kSingleLevels = 24;
  constexpr int64_t kWide = 8;
  if (in_use < kSingleLevels) {
    return static_cast<size_t>(std::max<int64_t>(0, in_use));
  }
  return static_cast<size_t>(kSingleLevels + (in_use - kSingleLevels) / kWide);
}

/// Power at `in_use` requests at once. Where nothing was seen yet the time is
/// taken to be that of the nearest lower level, or else of the nearest higher.
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

Duration MemoryOf(bool keyed) { return keyed ? kKeyedAge : kUnkeyedAge; }

AdmitResult Refuse(std::string reason) {
  return {AdmitVerdict::kRefused, std::move(reason)};
}

/// Whether there is room, without changing anything.
AdmitResult Judge(const RequestTable& table, const RequestArrival& arrival) {
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

void Observe(AdaptiveLimit& limit, Duration took, int64_t in_use,
             int64_t declared) {
  const size_t level = LevelOf(in_use);
  if (limit.mean_ms.size() <= level) limit.mean_ms.resize(level + 1);
  const double ms = std::max(1.0, static_cast<double>(took.count()));
  double& mean = limit.mean_ms[level];
  mean = mean == 0 ? ms : mean + (ms - mean) * kWeight;
  limit.most = std::max(limit.most, in_use);
  if (++limit.answers < kAnswersPerStep) return;
  limit.answers = 0;
  const bool was_full = std::exchange(limit.most, 0) >= limit.limit;
  const int64_t now = CurrentLimit(limit, declared);
  const int64_t step = std::max<int64_t>(1, now / 16);
  const double here = PowerAt(limit, now);
  // Compared with a level well below, a false alarm by chance is unlikely.
  const int64_t below = now - std::max<int64_t>(1, now / 4);
  if (PowerAt(limit, below) > here * kWorthwhile) {
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
  if (now - arrival.as_of > MemoryOf(arrival.keyed) - kMemoryMargin) {
    return {AdmitVerdict::kUnknown, "too old to tell whether it ran"};
  }
  // Forgetting a record early could let a repeated key run twice.
  if (table.records.size() >= kMaxRecords) {
    return {AdmitVerdict::kUnknown, "too many requests are remembered"};
  }
  AdmitResult result = Judge(table, arrival);
  RequestRecord record;
  record.keyed = arrival.keyed;
  record.since = now;
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
      // Another entry may send the same keyed request; what was refused to
      // one must not run for the other.
      if (!arrival.keyed) return result;
      record.state = RequestState::kWithdrawn;
      break;
  }
  table.records[request] = std::move(record);
  return result;
}

void FinishRequest(RequestTable& table, MonotonicTime now,
                   const ServiceId& service, const RequestId& request,
                   Outcome outcome, std::optional<WholeAnswer> answer) {
  const auto it = table.records.find(request);
  if (it == table.records.end()) return;
  if (it->second.state != RequestState::kRunning) return;
  const bool never_ran = outcome == Outcome::kNotRun;
  it->second.state = never_ran ? RequestState::kWithdrawn : RequestState::kDone;
  it->second.outcome = outcome;
  it->second.answer = std::move(answer);
  const auto queue = table.services.find(service);
  if (queue == table.services.end()) return;
  Observe(queue->second.adaptive, now - it->second.since, queue->second.in_use,
          queue->second.declared_slots);
  --queue->second.in_use;
  it->second.since = now;
}

std::optional<RequestId> TakeWaiting(RequestTable& table, MonotonicTime now,
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
  // The wait is not the executor's time.
  record.since = now;
  ++queue.in_use;
  return request;
}

WithdrawVerdict Withdraw(RequestTable& table, MonotonicTime now,
                         const RequestId& request, MonotonicTime as_of) {
  const auto it = table.records.find(request);
  if (it == table.records.end()) {
    if (now - as_of > kUnkeyedAge - kMemoryMargin) {
      return WithdrawVerdict::kUnknown;
    }
    RequestRecord tombstone;
    tombstone.state = RequestState::kWithdrawn;
    tombstone.keyed = true;
    tombstone.since = now;
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
  record.since = now;
  for (auto& [service, queue] : table.services) {
    std::erase(queue.waiting, request);
  }
  return WithdrawVerdict::kNeverRuns;
}

std::vector<RequestId> ExpireWaiting(RequestTable& table, MonotonicTime now) {
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

void Tidy(RequestTable& table, MonotonicTime now) {
  std::erase_if(table.records, [&](const auto& it) {
    const RequestRecord& record = it.second;
    const bool over = record.state == RequestState::kDone ||
                      record.state == RequestState::kWithdrawn;
    return over && now - record.since > MemoryOf(record.keyed);
  });
}

std::vector<ServiceLoad> Loads(const RequestTable& table) {
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
