#include "target/request_table.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace almondtally {
namespace {

/// Records are kept this much longer than messages about them are believed.
constexpr Duration kMemoryMargin{5'000};
constexpr size_t kMaxRecords = 200'000;
/// Answers this many times slower than usual mean that the VM is pressed.
constexpr double kSlowFactor = 2.0;
/// Smaller differences are noise.
constexpr double kNoiseMs = 5.0;
constexpr double kCut = 0.8;
constexpr double kRaise = 1.0;
constexpr double kForget = 0.01;
/// Answers in a window.
constexpr size_t kWindow = 16;

double MedianOf(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<int64_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
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
  limit.window_ms.push_back(static_cast<double>(took.count()));
  const bool is_full = static_cast<double>(in_use) + 1.0 >= limit.limit;
  limit.was_full = limit.was_full || is_full;
  if (limit.window_ms.size() < kWindow) return;
  const double median = MedianOf(std::exchange(limit.window_ms, {}));
  const bool was_full = std::exchange(limit.was_full, false);
  const double bound = static_cast<double>(std::max<int64_t>(1, declared));
  limit.limit = std::clamp(limit.limit, 1.0, bound);
  if (limit.usual_ms == 0 || median < limit.usual_ms) {
    limit.usual_ms = median;
  } else {
    limit.usual_ms += (median - limit.usual_ms) * kForget;
  }
  const bool is_slow = median > limit.usual_ms * kSlowFactor + kNoiseMs;
  if (is_slow) {
    limit.limit = std::max(1.0, limit.limit * kCut);
  } else if (was_full) {
    limit.limit = std::min(bound, limit.limit + kRaise);
  }
}

int64_t CurrentLimit(const AdaptiveLimit& limit, int64_t declared) {
  const auto whole = static_cast<int64_t>(std::floor(limit.limit));
  return std::clamp<int64_t>(whole, 1, std::max<int64_t>(1, declared));
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

std::optional<RequestId> TakeWaiting(RequestTable& table,
                                     const ServiceId& service) {
  const auto it = table.services.find(service);
  if (it == table.services.end()) return std::nullopt;
  ServiceQueue& queue = it->second;
  const int64_t limit = CurrentLimit(queue.adaptive, queue.declared_slots);
  if (queue.in_use >= limit || queue.waiting.empty()) return std::nullopt;
  const RequestId request = queue.waiting.front();
  queue.waiting.pop_front();
  table.records[request].state = RequestState::kRunning;
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
