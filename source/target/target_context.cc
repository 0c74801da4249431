#include "target/target_context.h"

#include <utility>

namespace almondtally {

TargetContext::TargetContext(Loop& it, TargetSettings its_settings,
                             Worker its_worker)
    : loop(it),
      settings(std::move(its_settings)),
      worker(std::move(its_worker)),
      http(it, Duration(600'000)),
      links(it),
      random(SeededFromSystem()) {
  // Kept below 2^63 so that every header and codec can carry it.
  constexpr uint64_t kIncarnationMask = (uint64_t{1} << 62) - 1;
  tasks.incarnation = Incarnation((random() & kIncarnationMask) + 1);
  tasks.started_at = it.now();
  for (const Address& entry : settings.entries) {
    entries[entry].is_seed = true;
  }
}

}  // namespace almondtally
