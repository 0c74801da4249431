#include "external/store.h"

#include <memory>
#include <utility>

namespace almondtally {
namespace {

struct ReadState {
  Store store;
  std::string table;
  std::string partition;
  StoreRows all;
  Store::ReadFn fn;
};

void ReadPage(const std::shared_ptr<ReadState>& state,
              const std::string& from) {
  state->store.read(
      state->table, state->partition, from,
      [state](std::optional<StoreRows> page, const PlatformReason& why) {
        if (!page) return state->fn(std::nullopt, why);
        state->all.version = page->version;
        const bool more = page->more && !page->rows.empty();
        const std::string last =
            page->rows.empty() ? std::string() : page->rows.back().at.key;
        for (StoreRow& row : page->rows) {
          state->all.rows.push_back(std::move(row));
        }
        if (!more) return state->fn(std::move(state->all), {});
        // The smallest key after `last`.
        ReadPage(state, last + std::string(1, '\x01'));
      });
}

}  // namespace

void ReadAll(const Store& store, const std::string& table,
             const std::string& partition, Store::ReadFn fn) {
  auto state = std::make_shared<ReadState>();
  state->store = store;
  state->table = table;
  state->partition = partition;
  state->fn = std::move(fn);
  ReadPage(state, "");
}

}  // namespace almondtally
