#include "entry/entry_context.h"

#include <utility>

namespace almondtally {
namespace {

constexpr Duration kIoTimeout{10'000};
constexpr Duration kTableTimeout{2'000};

}  // namespace

EntryContext::EntryContext(EventLoop& event_loop, EntrySettings entry_settings)
    : loop(event_loop),
      settings(std::move(entry_settings)),
      random(SeededFromSystem()),
      http(event_loop, kIoTimeout),
      table(MakeHttpTable(http, settings.platform, kTableTimeout,
                          table_counters)),
      config(table, event_loop.clock()),
      links(event_loop) {
  retries.hundredths = routing.retry_reserve * 100;
}

PlacementContext MakeBoardView(EntryContext& context) {
  return {context.vms, context.config.config(), context.loop.now()};
}

}  // namespace almondtally
