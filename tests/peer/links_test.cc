#include "peer/links.h"

#include <doctest/doctest.h>

namespace almondtally {
namespace {

/// Nothing listens there: the reserved port of the discard service.
const Address kNobody{"127.0.0.1", 9};
constexpr Duration kTimeout{2'000};

TEST_CASE("a link may be dropped, and used again, as its calls end with it") {
  Loop loop;
  Links links(loop);
  int ended = 0;
  const auto on_end = [&](const std::optional<WholeAnswer>& answer, CallEnd) {
    CHECK_FALSE(answer);
    ++ended;
    links.Drop(kNobody);
    if (ended == 1) links.To(kNobody);
    if (ended == 3) loop.Stop();
  };
  // The only link of the table: dropping it empties the table.
  for (int i = 0; i < 3; ++i) {
    links.To(kNobody).Start({"GET", "/", {}, ""}, kTimeout,
                            CollectWhole(1, on_end));
  }
  loop.After(kTimeout, [&] { loop.Stop(); });
  loop.Run();
  CHECK(ended == 3);
}

}  // namespace
}  // namespace almondtally
