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

/// @return a loopback port that nothing listens on.
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

/// Echoes the request body. Some paths simulate a fault instead: "/silent"
/// sends no response, "/cut" aborts after part of the body, "/late" responds
/// after 50 ms.
void HandleRequest(EventLoop& loop, const Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.path == "/silent") return;
  if (request.path == "/cut") {
    exchange.Begin(200, {});
    exchange.Write("part");
    exchange.OnDrained([exchange] { exchange.Abort(); });
    return;
  }
  if (request.path == "/late") {
    loop.RunAfter(Duration(50),
                  [exchange] { exchange.Answer(200, {}, "late"); });
    return;
  }
  exchange.Answer(200, {{"x-method", request.method}}, request.body);
}

struct WireFixture {
  EventLoop loop;
  Address address{"127.0.0.1", FreePort()};
  HttpServer server{loop, {}, [this](const Exchange& exchange) {
                      HandleRequest(loop, exchange);
                    }};
  HttpClient client{loop, kTimeout};
  PeerLink link{loop, address};

  WireFixture() {
    WireReason why;
    REQUIRE(server.Listen(address, why));
  }

  /// Runs the loop until `count` calls have ended.
  template <typename Start>
  void Run(int count, Start start) {
    pending_calls = count;
    start();
    const TimerId timer =
        loop.RunAfter(Duration(20'000), [this] { loop.Stop(); });
    loop.Run();
    loop.Cancel(timer);
    CHECK(pending_calls == 0);
  }

  CallHooks Collect(const HttpResponseCallback& fn) {
    return CollectResponse(64 << 20, [this, fn](auto response, CallStatus end) {
      fn(std::move(response), end);
      if (--pending_calls == 0) loop.Stop();
    });
  }

  int pending_calls = 0;
};

TEST_CASE(
    "concurrent streams on one link each get their own complete response") {
  WireFixture fixture;
  constexpr int kCalls = 200;
  fixture.Run(kCalls, [&] {
    for (int i = 0; i < kCalls; ++i) {
      // Some bodies exceed an HTTP/2 frame or flow-control window; some
      // responses are delayed.
      std::string body(static_cast<size_t>(i) * 3'000, 'a');
      body += std::to_string(i);
      const bool late = i % 7 == 0;
      const std::string expected = late ? "late" : body;
      HttpRequest request{"POST", late ? "/late" : "/echo", {}, body};
      fixture.link.Start(
          std::move(request), kTimeout,
          fixture.Collect([expected](const auto& response, CallStatus) {
            REQUIRE(response);
            CHECK(response->body == expected);
          }));
    }
  });
}

TEST_CASE("a truncated response is never reported as complete") {
  WireFixture fixture;
  fixture.Run(2, [&] {
    const auto expect_truncated = [](const auto& response, CallStatus end) {
      CHECK_FALSE(response);
      CHECK(end.error == WireError::kLinkLost);
      CHECK(end.sent == SendStatus::kMaybe);
    };
    fixture.link.Start({"GET", "/cut", {}, ""}, kTimeout,
                       fixture.Collect(expect_truncated));
    fixture.client.Start(fixture.address, {"GET", "/cut", {}, ""}, false,
                         kTimeout, fixture.Collect(expect_truncated));
  });
}

TEST_CASE("a call to a port without a listener is reported as not sent") {
  WireFixture fixture;
  const Address unused_address{"127.0.0.1", FreePort()};
  PeerLink unconnected(fixture.loop, unused_address);
  fixture.Run(2, [&] {
    const auto expect_not_sent = [](const auto& response, CallStatus end) {
      CHECK_FALSE(response);
      CHECK(end.error == WireError::kConnect);
      CHECK(end.sent == SendStatus::kNo);
    };
    unconnected.Start({"GET", "/x", {}, ""}, kTimeout,
                      fixture.Collect(expect_not_sent));
    fixture.client.Start(unused_address, {"GET", "/x", {}, ""}, true, kTimeout,
                         fixture.Collect(expect_not_sent));
  });
}

TEST_CASE("a call without a response times out and is reported as maybe sent") {
  WireFixture fixture;
  fixture.Run(2, [&] {
    const auto expect_timeout = [](const auto& response, CallStatus end) {
      CHECK_FALSE(response);
      CHECK(end.error == WireError::kTimeout);
      CHECK(end.sent == SendStatus::kMaybe);
    };
    fixture.link.Start({"GET", "/silent", {}, ""}, Duration(100),
                       fixture.Collect(expect_timeout));
    fixture.client.Start(fixture.address, {"GET", "/silent", {}, ""}, true,
                         Duration(100), fixture.Collect(expect_timeout));
  });
}

TEST_CASE("a cancelled call runs no callback and does not affect other calls") {
  WireFixture fixture;
  fixture.Run(2, [&] {
    const auto unexpected = [](const auto&, CallStatus) {
      FAIL("callback of a cancelled call");
    };
    auto on_link = fixture.link.Start({"GET", "/silent", {}, ""}, kTimeout,
                                      CollectResponse(10, unexpected));
    auto on_client =
        fixture.client.Start(fixture.address, {"GET", "/silent", {}, ""}, true,
                             kTimeout, CollectResponse(10, unexpected));
    fixture.loop.RunAfter(Duration(50), [on_link, on_client] {
      on_link->Cancel();
      on_client->Cancel();
    });
    const auto expect_response = [](const auto& response, CallStatus) {
      CHECK(response);
    };
    fixture.loop.RunAfter(Duration(100), [&fixture, expect_response] {
      fixture.link.Start({"POST", "/echo", {}, "x"}, kTimeout,
                         fixture.Collect(expect_response));
      fixture.client.Start(fixture.address, {"POST", "/echo", {}, "x"}, true,
                           kTimeout, fixture.Collect(expect_response));
    });
  });
}

TEST_CASE("a link reconnects after its connection was lost") {
  WireFixture fixture;
  fixture.Run(2, [&] {
    fixture.link.Start({"GET", "/cut", {}, ""}, kTimeout,
                       fixture.Collect([](const auto&, CallStatus) {}));
    fixture.loop.RunAfter(Duration(50), [&fixture] {
      fixture.link.Start({"POST", "/echo", {}, "again"}, kTimeout,
                         fixture.Collect([](const auto& response, CallStatus) {
                           REQUIRE(response);
                           CHECK(response->body == "again");
                         }));
    });
  });
}

TEST_CASE("timers run in order and can be cancelled") {
  EventLoop loop;
  std::string order;
  loop.RunAfter(Duration(20), [&] { order += "b"; });
  const TimerId timer = loop.RunAfter(Duration(10), [&] { order += "x"; });
  loop.RunAfter(Duration(5), [&] { order += "a"; });
  loop.Cancel(timer);
  loop.RunAfter(Duration(30), [&] { loop.Stop(); });
  loop.Run();
  CHECK(order == "ab");
}

}  // namespace
}  // namespace almondtally
