#include "wire/loop.h"

#include <algorithm>
#include <csignal>

#include "wire/h2o_include.h"

namespace almondtally {
namespace {

constexpr int32_t kMaxWaitMs = 100;

}  // namespace

namespace detail {

/// Runs the loop's timers from a callback of h2o's loop. If they ran outside of
/// it, a socket that a timer writes to and then closes would be freed while it
/// is still in h2o's list of pending callbacks.
struct TimerHook {
  h2o_timeout_t zero_timeout{};
  h2o_timeout_entry_t entry{};
  EventLoop* loop = nullptr;
};

namespace {

void OnTimerHook(h2o_timeout_entry_t* entry) {
  auto* hook = H2O_STRUCT_FROM_MEMBER(TimerHook, entry, entry);
  hook->loop->RunDueTimers();
}

}  // namespace
}  // namespace detail

EventLoop::EventLoop() = default;

// h2o's loop cannot be destroyed while sockets are linked to it. It is leaked
// on purpose, since the process exits right after.
EventLoop::~EventLoop() = default;

st_h2o_evloop_t* EventLoop::native() {
  if (native_ != nullptr) return native_;
  // A peer that closes its connection during a write must not terminate the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  native_ = h2o_evloop_create();
  hook_ = new detail::TimerHook;
  hook_->loop = this;
  hook_->entry.cb = detail::OnTimerHook;
  h2o_timeout_init(native_, &hook_->zero_timeout, 0);
  return native_;
}

TimerId EventLoop::RunAfter(Duration delay, std::function<void()> fn) {
  const TimerId id = next_id_++;
  const MonotonicTime due = now() + delay;
  timers_.emplace(std::make_pair(due, id), std::move(fn));
  due_times_.emplace(id, due);
  return id;
}

void EventLoop::RunEvery(Duration period, std::function<void()> fn) {
  RunAfter(period, [this, period, fn = std::move(fn)] {
    fn();
    RunEvery(period, fn);
  });
}

void EventLoop::Cancel(TimerId timer) {
  const auto it = due_times_.find(timer);
  if (it == due_times_.end()) return;
  timers_.erase({it->second, timer});
  due_times_.erase(it);
}

void EventLoop::Run() {
  while (!stopped_) {
    const int32_t wait = MillisToNextTimer();
    if (wait == 0) {
      // h2o timeouts use the wall clock. After the clock is set back, the
      // previous entry is still linked and would not fire until the clock
      // reaches the old time again.
      h2o_timeout_unlink(&hook_->entry);
      h2o_timeout_link(native(), &hook_->zero_timeout, &hook_->entry);
    }
    h2o_evloop_run(native(), wait);
  }
}

void EventLoop::RunDueTimers() {
  const MonotonicTime until = now();
  while (!timers_.empty() && timers_.begin()->first.first <= until) {
    auto node = timers_.extract(timers_.begin());
    due_times_.erase(node.key().second);
    node.mapped()();
  }
}

int32_t EventLoop::MillisToNextTimer() const {
  if (timers_.empty()) return kMaxWaitMs;
  const auto wait = timers_.begin()->first.first - now();
  return static_cast<int32_t>(std::clamp<int64_t>(wait.count(), 0, kMaxWaitMs));
}

}  // namespace almondtally
