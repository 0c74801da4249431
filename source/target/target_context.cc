#include "target/target_context.h"

#include <utility>

namespace almondtally {

TargetContext::TargetContext(EventLoop& event_loop,
                             TargetSettings target_settings,
                             Worker worker_client)
    : loop(event_loop),
      settings(std::move(target_settings)),
      worker(std::move(worker_client)),
      http(event_loop, Duration(600'000)),
      links(event_loop),
      random(SeededFromSystem()) {
  // The incarnation stays below 2^63 so that every header and codec can
  // represent it.
  constexpr uint64_t kIncarnationMask = (uint64_t{1} << 62) - 1;
  tasks.incarnation = Incarnation((random() & kIncarnationMask) + 1);
  tasks.started_at = event_loop.now();
  for (const Address& entry : settings.entries) {
    entries[entry].is_seed = true;
  }
}

}  // namespace almondtally
