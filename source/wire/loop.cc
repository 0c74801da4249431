#include "wire/loop.h"

#include <algorithm>
#include <csignal>

#include "wire/h2o_include.h"

namespace almondtally {
namespace {

constexpr int32_t kMaxSleepMs = 100;

}  // namespace

namespace detail {

/// Calls the loop's own timers from within h2o's loop. Outside of it, a socket
/// that is written to and then closed would be freed while h2o still has it
/// in its list of pending callbacks.
struct TimerHook {
  h2o_timeout_t at_once{};
  h2o_timeout_entry_t entry{};
  Loop* loop = nullptr;
};

namespace {

void OnTimerHook(h2o_timeout_entry_t* entry) {
  auto* hook = H2O_STRUCT_FROM_MEMBER(TimerHook, entry, entry);
  hook->loop->RunDueTimers();
}

}  // namespace
}  // namespace detail

Loop::Loop() = default;

// h2o's loop cannot be destroyed while sockets are linked to it; the process
// ends right after, so the loop is left to the operating system.
Loop::~Loop() = default;

st_h2o_evloop_t* Loop::native() {
  if (native_ != nullptr) return native_;
  // A peer that closes while we write must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  native_ = h2o_evloop_create();
  hook_ = new detail::TimerHook;
  hook_->loop = this;
  hook_->entry.cb = detail::OnTimerHook;
  h2o_timeout_init(native_, &hook_->at_once, 0);
  return native_;
}

TimerId Loop::After(Duration delay, std::function<void()> fn) {
  const TimerId id = next_id_++;
  const MonotonicTime due = now() + delay;
  timers_.emplace(std::make_pair(due, id), std::move(fn));
  due_.emplace(id, due);
  return id;
}

void Loop::Every(Duration period, std::function<void()> fn) {
  After(period, [this, period, fn = std::move(fn)] {
    fn();
    Every(period, fn);
  });
}

void Loop::Cancel(TimerId timer) {
  const auto it = due_.find(timer);
  if (it == due_.end()) return;
  timers_.erase({it->second, timer});
  due_.erase(it);
}

void Loop::Run() {
  while (!stopped_) {
    const int32_t wait = MillisToNextTimer();
    if (wait == 0) {
      // h2o reads the time of day: after a step back the last one is still
      // linked, and would wait until that time comes again.
      h2o_timeout_unlink(&hook_->entry);
      h2o_timeout_link(native(), &hook_->at_once, &hook_->entry);
    }
    h2o_evloop_run(native(), wait);
  }
}

void Loop::RunDueTimers() {
  const MonotonicTime until = now();
  while (!timers_.empty() && timers_.begin()->first.first <= until) {
    auto node = timers_.extract(timers_.begin());
    due_.erase(node.key().second);
    node.mapped()();
  }
}

int32_t Loop::MillisToNextTimer() const {
  if (timers_.empty()) return kMaxSleepMs;
  const auto wait = timers_.begin()->first.first - now();
  return static_cast<int32_t>(
      std::clamp<int64_t>(wait.count(), 0, kMaxSleepMs));
}

}  // namespace almondtally
