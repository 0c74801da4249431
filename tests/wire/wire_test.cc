#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>

#include "wire/http_client.h"
#include "wire/http_server.h"
#include "wire/peer_link.h"

namespace almondtally {
namespace {

constexpr Duration kTimeout{5'000};

/// @return a port of loopback that nothing listens on.
uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&sin), sizeof sin) == 0);
  socklen_t n = sizeof sin;
  getsockname(fd, reinterpret_cast<sockaddr*>(&sin), &n);
  close(fd);
  return ntohs(sin.sin_port);
}

/// Answers with the body, as many times as the path says, in pieces.
void Echo(Loop& loop, const Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.path == "/silent") return;
  if (request.path == "/cut") {
    exchange.Begin(200, {});
    exchange.Write("part");
    exchange.OnDrained([exchange] { exchange.Abort(); });
    return;
  }
  if (request.path == "/late") {
    loop.After(Duration(50), [exchange] { exchange.Answer(200, {}, "late"); });
    return;
  }
  exchange.Answer(200, {{"x-method", request.method}}, request.body);
}

struct Fixture {
  Loop loop;
  Address address{"127.0.0.1", FreePort()};
  HttpServer server{
      loop, {}, [this](const Exchange& exchange) { Echo(loop, exchange); }};
  HttpClient client{loop, kTimeout};
  PeerLink link{loop, address};

  Fixture() {
    WireReason why;
    REQUIRE(server.Listen(address, why));
  }

  /// Runs until `count` answers have come.
  template <typename Start>
  void Run(int count, Start start) {
    left = count;
    start();
    const TimerId timer = loop.After(Duration(20'000), [this] { loop.Stop(); });
    loop.Run();
    loop.Cancel(timer);
    CHECK(left == 0);
  }

  CallHooks Collect(const WholeAnswerFn& fn) {
    return CollectWhole(64 << 20, [this, fn](auto answer, CallEnd end) {
      fn(std::move(answer), end);
      if (--left == 0) loop.Stop();
    });
  }

  int left = 0;
};

TEST_CASE("many streams of one link get each its own whole answer") {
  Fixture it;
  constexpr int kCalls = 200;
  it.Run(kCalls, [&] {
    for (int i = 0; i < kCalls; ++i) {
      // Some larger than a frame and than a window, some late.
      std::string body(static_cast<size_t>(i) * 3'000, 'a');
      body += std::to_string(i);
      const bool late = i % 7 == 0;
      const std::string expected = late ? "late" : body;
      HttpRequest request{"POST", late ? "/late" : "/echo", {}, body};
      it.link.Start(std::move(request), kTimeout,
                    it.Collect([expected](const auto& answer, CallEnd) {
                      REQUIRE(answer);
                      CHECK(answer->body == expected);
                    }));
    }
  });
}

TEST_CASE("an answer that is cut is never taken for a whole one") {
  Fixture it;
  it.Run(2, [&] {
    const auto is_cut = [](const auto& answer, CallEnd end) {
      CHECK_FALSE(answer);
      CHECK(end.error == WireError::kLinkLost);
      CHECK(end.sent == Sent::kMaybe);
    };
    it.link.Start({"GET", "/cut", {}, ""}, kTimeout, it.Collect(is_cut));
    it.client.Start(it.address, {"GET", "/cut", {}, ""}, false, kTimeout,
                    it.Collect(is_cut));
  });
}

TEST_CASE("a call that nobody listens to was surely not sent") {
  Fixture it;
  const Address nobody{"127.0.0.1", FreePort()};
  PeerLink dead(it.loop, nobody);
  it.Run(2, [&] {
    const auto not_sent = [](const auto& answer, CallEnd end) {
      CHECK_FALSE(answer);
      CHECK(end.error == WireError::kConnect);
      CHECK(end.sent == Sent::kNo);
    };
    dead.Start({"GET", "/x", {}, ""}, kTimeout, it.Collect(not_sent));
    it.client.Start(nobody, {"GET", "/x", {}, ""}, true, kTimeout,
                    it.Collect(not_sent));
  });
}

TEST_CASE("a call without an answer ends at its timeout as maybe sent") {
  Fixture it;
  it.Run(2, [&] {
    const auto timed_out = [](const auto& answer, CallEnd end) {
      CHECK_FALSE(answer);
      CHECK(end.error == WireError::kTimeout);
      CHECK(end.sent == Sent::kMaybe);
    };
    it.link.Start({"GET", "/silent", {}, ""}, Duration(100),
                  it.Collect(timed_out));
    it.client.Start(it.address, {"GET", "/silent", {}, ""}, true, Duration(100),
                    it.Collect(timed_out));
  });
}

TEST_CASE("a cancelled call says nothing and harms no other") {
  Fixture it;
  it.Run(2, [&] {
    const auto fail = [](const auto&, CallEnd) { FAIL("cancelled"); };
    auto on_link = it.link.Start({"GET", "/silent", {}, ""}, kTimeout,
                                 CollectWhole(10, fail));
    auto on_client = it.client.Start(it.address, {"GET", "/silent", {}, ""},
                                     true, kTimeout, CollectWhole(10, fail));
    it.loop.After(Duration(50), [on_link, on_client] {
      on_link->Cancel();
      on_client->Cancel();
    });
    const auto answered = [](const auto& answer, CallEnd) { CHECK(answer); };
    it.loop.After(Duration(100), [&it, answered] {
      it.link.Start({"POST", "/echo", {}, "x"}, kTimeout, it.Collect(answered));
      it.client.Start(it.address, {"POST", "/echo", {}, "x"}, true, kTimeout,
                      it.Collect(answered));
    });
  });
}

TEST_CASE("a link opens again after its connection was lost") {
  Fixture it;
  it.Run(2, [&] {
    it.link.Start({"GET", "/cut", {}, ""}, kTimeout,
                  it.Collect([](const auto&, CallEnd) {}));
    it.loop.After(Duration(50), [&it] {
      it.link.Start({"POST", "/echo", {}, "again"}, kTimeout,
                    it.Collect([](const auto& answer, CallEnd) {
                      REQUIRE(answer);
                      CHECK(answer->body == "again");
                    }));
    });
  });
}

TEST_CASE("timers run in order and can be cancelled") {
  Loop loop;
  std::string order;
  loop.After(Duration(20), [&] { order += "b"; });
  const TimerId timer = loop.After(Duration(10), [&] { order += "x"; });
  loop.After(Duration(5), [&] { order += "a"; });
  loop.Cancel(timer);
  loop.After(Duration(30), [&] { loop.Stop(); });
  loop.Run();
  CHECK(order == "ab");
}

}  // namespace
}  // namespace almondtally
