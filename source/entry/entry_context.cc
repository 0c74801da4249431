#include "entry/entry_context.h"

#include <utility>

namespace almondtally {
namespace {

constexpr Duration kIoTimeout{10'000};
constexpr Duration kTableTimeout{2'000};

}  // namespace

EntryContext::EntryContext(Loop& it, EntrySettings its_settings)
    : loop(it),
      settings(std::move(its_settings)),
      random(SeededFromSystem()),
      http(it, kIoTimeout),
      table(MakeHttpTable(http, settings.platform, kTableTimeout,
                          table_counters)),
      config(table, it.clock()),
      links(it) {
  retries.hundredths = routing.retry_reserve * 100;
}

BoardView ViewOf(EntryContext& context) {
  return {context.vms, context.config.config(), context.loop.now()};
}

}  // namespace almondtally
