#include "external/store.h"

#include <memory>
#include <utility>

namespace almondtally {
namespace {

struct PagedRead {
  Store store;
  std::string table;
  std::string partition;
  StoreRows result;
  Store::ReadFn fn;
};

void ReadPage(const std::shared_ptr<PagedRead>& read, const std::string& from) {
  read->store.read(
      read->table, read->partition, from,
      [read](std::optional<StoreRows> page, const PlatformReason& why) {
        if (!page) return read->fn(std::nullopt, why);
        // Changes that later pages miss follow the version of the first one.
        if (read->result.version.value == 0)
          read->result.version = page->version;
        const bool more = page->more && !page->rows.empty();
        const std::string last_key =
            page->rows.empty() ? std::string() : page->rows.back().at.key;
        for (StoreRow& row : page->rows) {
          read->result.rows.push_back(std::move(row));
        }
        if (!more) return read->fn(std::move(read->result), {});
        // Resume at the smallest key after `last_key`.
        ReadPage(read, last_key + std::string(1, '\x01'));
      });
}

}  // namespace

void ReadAllRows(const Store& store, const std::string& table,
                 const std::string& partition, Store::ReadFn fn) {
  auto read = std::make_shared<PagedRead>();
  read->store = store;
  read->table = table;
  read->partition = partition;
  read->fn = std::move(fn);
  ReadPage(read, "");
}

}  // namespace almondtally
