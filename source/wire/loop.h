#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"

struct st_h2o_evloop_t;

namespace almondtally {

namespace detail {
struct TimerHook;
}  // namespace detail

using TimerId = uint64_t;

/// The event loop of a process. Sockets are handled by h2o and timers use the
/// loop's own clock; everything runs on the calling thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  const Clock& clock() const { return clock_; }
  /// Lets tests pause and advance the clock.
  Clock& clock_for_tests() { return clock_; }
  MonotonicTime now() const { return Now(clock_); }
  /// @return h2o's event loop, created on first use.
  st_h2o_evloop_t* native();

  /// Calls `fn` once after `delay`.
  /// @return an id that cancels the timer.
  TimerId RunAfter(Duration delay, std::function<void()> fn);
  /// Calls `fn` every `period` for as long as the loop runs.
  void RunEvery(Duration period, std::function<void()> fn);
  /// Cancels a timer; does nothing if it has already run.
  void Cancel(TimerId timer);

  /// Runs until `Stop` is called.
  void Run();
  void Stop() { stopped_ = true; }

  /// Runs the timers that are due. Tests call it instead of `Run`.
  void RunDueTimers();

 private:
  int32_t MillisToNextTimer() const;

  Clock clock_;
  st_h2o_evloop_t* native_ = nullptr;
  /// Has the lifetime of `native_`, which is never destroyed.
  detail::TimerHook* hook_ = nullptr;
  bool stopped_ = false;
  TimerId next_id_ = 1;
  std::map<std::pair<MonotonicTime, TimerId>, std::function<void()>> timers_;
  std::map<TimerId, MonotonicTime> due_times_;
};

}  // namespace almondtally
