#include "peer/links.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "wire/free_port.h"
#include "wire/http_server.h"

namespace almondtally {
namespace {

/// Nothing listens on the discard port, so connections are refused.
const Address kUnusedAddress{"127.0.0.1", 9};
constexpr Duration kTimeout{2'000};

TEST_CASE(
    "a link may be dropped and reopened from the callbacks of its failing "
    "calls") {
  EventLoop loop;
  PeerLinks links(loop);
  int ended = 0;
  const auto on_end = [&](const std::optional<HttpResponse>& answer,
                          CallStatus) {
    CHECK_FALSE(answer);
    ++ended;
    links.Drop(kUnusedAddress);
    if (ended == 1) links.To(kUnusedAddress);
    if (ended == 3) loop.Stop();
  };
  // This is the only link, so dropping it empties the map.
  for (int i = 0; i < 3; ++i) {
    links.To(kUnusedAddress)
        .Start({"GET", "/", {}, ""}, kTimeout, CollectResponse(1, on_end));
  }
  loop.RunAfter(kTimeout, [&] { loop.Stop(); });
  loop.Run();
  CHECK(ended == 3);
}

TEST_CASE("a link may be dropped from the callback of a call that timed out") {
  // On the timeout a frame is written to the connection that the callback
  // closes.
  EventLoop loop;
  WireReason why;
  const Address address{"127.0.0.1", FreePort()};
  HttpServer server(loop, {}, [](const Exchange& exchange) {
    static std::vector<Exchange> kept;
    kept.push_back(exchange);
  });
  REQUIRE(server.Listen(address, why));
  PeerLinks links(loop);
  constexpr int kRounds = 40;
  int ended = 0;
  std::function<void()> next = [&] {
    links.To(address).Start(
        {"GET", "/", {}, ""}, Duration(15),
        CollectResponse(
            1, [&](const std::optional<HttpResponse>& answer, CallStatus) {
              CHECK_FALSE(answer);
              links.Drop(address);
              if (++ended == kRounds) return loop.Stop();
              next();
            }));
  };
  next();
  loop.RunAfter(kTimeout, [&] { loop.Stop(); });
  loop.Run();
  CHECK(ended == kRounds);
}

}  // namespace
}  // namespace almondtally
