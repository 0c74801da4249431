#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <utility>

#include "base/clock.h"

namespace almondtally {

/// Why a request was refused, or a connection closed, before its request was
/// served.
enum class IntakeEvent : uint8_t {
  /// Answered with 503: there is no room for the request.
  kNoRoom,
  /// Answered with 413: the body is larger than allowed.
  kBodyTooLarge,
  /// Answered with 431: the head is larger than allowed.
  kHeadTooLarge,
  /// Answered with 400: not HTTP.
  kMalformed,
  /// A request that made no progress was given up for another one.
  kEvicted,
  /// A connection without a request was closed for a new one.
  kConnectionEvicted,
  /// A new connection was closed, since all others are being served.
  kConnectionRefused,
  /// A begun request did not arrive in time.
  kArrivalTimeout,
  /// An answer was not read in time.
  kAnswerUnread,
  kCount,
};

/// @return the event's name for logs and metrics, such as "no_room".
std::string_view ToString(IntakeEvent event);

/// Bounds of what all listeners of a process hold for their callers.
struct IntakeLimits {
  /// Sum in bytes of requests, unread answers and connection state.
  size_t max_bytes = size_t{256} << 20;
};

class IntakeAccount;

/// Counts the bytes that the listeners of a process hold, and decides which
/// request is given up when there is no room for another one. Does no I/O.
///
/// Load pattern: many large requests arrive at once, and most of them stop
/// short of their end, while ordinary small requests go on. A small request
/// takes the place of the large one that has made no progress for longest. A
/// large request takes only the place of stalled ones, and never the last
/// quarter of the room; otherwise it is refused before its body is read, so
/// that those before it can be completed. The last eighth of the room is for
/// the smallest requests, while many others wait for their answers.
class IntakeBudget {
 public:
  explicit IntakeBudget(IntakeLimits limits) : limits_(limits) {}
  IntakeBudget(const IntakeBudget&) = delete;
  IntakeBudget& operator=(const IntakeBudget&) = delete;

  /// Requests of at most this size may use all the room.
  static constexpr size_t kOrdinaryBytes = 20 << 10;
  /// Requests of at most this size are small.
  static constexpr size_t kSmallBytes = 64 << 10;
  /// A request that arrives has stalled if it made no progress for this time.
  static constexpr Duration kStalledAfter{1'000};
  /// Number of bytes that count as progress. Fewer do so only together.
  static constexpr size_t kProgressBytes = 4 << 10;

  size_t bytes() const { return bytes_; }
  const IntakeLimits& limits() const { return limits_; }

  /// Counts an event for the metrics.
  void CountEvent(IntakeEvent event) { ++events_[static_cast<size_t>(event)]; }
  uint64_t events(IntakeEvent event) const {
    return events_[static_cast<size_t>(event)];
  }

 private:
  friend class IntakeAccount;

  size_t RoomFor(size_t bytes) const;
  bool MakeRoom(IntakeAccount& account, size_t bytes, MonotonicTime now);
  IntakeAccount* FindVictim(const IntakeAccount& account, bool small,
                            MonotonicTime now);

  IntakeLimits limits_;
  size_t bytes_ = 0;
  /// Requests that are arriving, ordered by their last progress.
  std::list<IntakeAccount*> arriving_;
  std::array<uint64_t, static_cast<size_t>(IntakeEvent::kCount)> events_{};
};

/// What one connection or stream holds of the budget. Released by the
/// destructor.
class IntakeAccount {
 public:
  /// @param evict called when the request is given up for another one. It
  /// must release what the account holds, and call no function of the budget
  /// for another account.
  IntakeAccount(IntakeBudget& budget, std::function<void()> evict)
      : budget_(budget), evict_(std::move(evict)) {}
  ~IntakeAccount();
  IntakeAccount(const IntakeAccount&) = delete;
  IntakeAccount& operator=(const IntakeAccount&) = delete;

  /// Sets what the account holds. More may be refused, less never is.
  /// @return false if there is no room; the account then holds what it held.
  bool Hold(size_t bytes, MonotonicTime now);
  /// The request began to arrive: from now on it may be given up.
  void BeginArrival(MonotonicTime now);
  /// More bytes of the arriving request have been received.
  void AddProgress(size_t bytes, MonotonicTime now);
  /// The request is complete, or has ended: it is not given up any more.
  void EndArrival();

  size_t bytes() const { return bytes_; }
  bool arriving() const { return arriving_; }
  /// @return when the arriving request last made progress.
  MonotonicTime last_progress() const { return last_progress_; }

 private:
  friend class IntakeBudget;

  IntakeBudget& budget_;
  std::function<void()> evict_;
  size_t bytes_ = 0;
  bool arriving_ = false;
  MonotonicTime last_progress_{};
  size_t bytes_since_progress_ = 0;
  std::list<IntakeAccount*>::iterator place_;
};

}  // namespace almondtally
