#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <map>
#include <string>
#include <thread>

#include "wire/free_port.h"
#include "wire/http_client.h"
#include "wire/http_server.h"
#include "wire/peer_link.h"

namespace almondtally {
namespace {

constexpr Duration kTimeout{5'000};

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

/// When a server closes a connection on which it has answered a request.
enum class CloseTime : uint8_t {
  kWhileIdle,
  /// As the next request arrives, without reading it.
  kBeforeReading,
  /// After the next request was read, without answering it.
  kBeforeAnswering,
};

/// Promises to keep its connections, answers the first request of the first one
/// and then closes that one. Answers one request on each further one.
class ClosingServer {
 public:
  explicit ClosingServer(CloseTime close_time)
      : listener_(socket(AF_INET, SOCK_STREAM, 0)), close_time_(close_time) {
    sockaddr_in sin{};
    sin.sin_family = AF_INET;
    sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&sin), sizeof sin) ==
            0);
    socklen_t n = sizeof sin;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&sin), &n);
    address_ = {"127.0.0.1", ntohs(sin.sin_port)};
    REQUIRE(listen(listener_, 8) == 0);
    thread_ = std::thread([this] { Serve(); });
  }
  ~ClosingServer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  ClosingServer(const ClosingServer&) = delete;
  ClosingServer& operator=(const ClosingServer&) = delete;

  const Address& address() const { return address_; }
  int connections() const { return connections_; }
  int requests_read() const { return requests_read_; }

 private:
  bool ReadRequest(int fd) {
    std::array<char, 4096> buf{};
    if (read(fd, buf.data(), buf.size()) <= 0) return false;
    ++requests_read_;
    return true;
  }

  static void AnswerRequest(int fd) {
    const std::string text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    REQUIRE(write(fd, text.data(), text.size()) ==
            static_cast<ssize_t>(text.size()));
  }

  void ServeFirst(int fd) {
    if (ReadRequest(fd)) AnswerRequest(fd);
    if (close_time_ != CloseTime::kWhileIdle) {
      pollfd it{fd, POLLIN, 0};
      poll(&it, 1, -1);
    }
    if (close_time_ == CloseTime::kBeforeAnswering) ReadRequest(fd);
    // Closing with unread bytes resets the connection.
    close(fd);
  }

  void Serve() {
    for (int fd = 0; (fd = accept(listener_, nullptr, nullptr)) >= 0;) {
      if (++connections_ == 1) {
        ServeFirst(fd);
        continue;
      }
      if (ReadRequest(fd)) AnswerRequest(fd);
      close(fd);
    }
  }

  int listener_;
  CloseTime close_time_;
  Address address_;
  std::atomic<int> connections_{0};
  std::atomic<int> requests_read_{0};
  std::thread thread_;
};

/// Result of a second call on a connection that its server has closed.
struct SecondCall {
  bool answered = false;
  CallStatus end;
  int connections = 0;
  int requests_read = 0;
};

SecondCall CallTwice(CloseTime close_time) {
  constexpr Duration kPause{50};
  SecondCall out;
  EventLoop loop;
  HttpClient client(loop, kTimeout);
  ClosingServer server(close_time);
  const auto call = [&](const HttpResponseCallback& fn) {
    client.Start(server.address(), {"POST", "/", {}, "body"}, true, kTimeout,
                 CollectResponse(1 << 20, fn));
  };
  call([&](const auto& first, CallStatus) {
    CHECK(first);
    loop.RunAfter(kPause, [&] {
      call([&](const auto& second, CallStatus end) {
        out.answered = second.has_value();
        out.end = end;
        loop.RunAfter(kPause, [&] { loop.Stop(); });
      });
    });
  });
  loop.Run();
  out.connections = server.connections();
  out.requests_read = server.requests_read();
  return out;
}

TEST_CASE("a call finds that its kept connection was closed while idle") {
  const SecondCall call = CallTwice(CloseTime::kWhileIdle);
  CHECK(call.answered);
  CHECK(call.connections == 2);
  CHECK(call.requests_read == 2);
}

TEST_CASE("a call on a connection that closes meanwhile is not sent again") {
  SecondCall call;
  int read = 0;
  SUBCASE("closed before the request was read") {
    call = CallTwice(CloseTime::kBeforeReading);
    read = 1;
  }
  SUBCASE("closed after the request was read") {
    call = CallTwice(CloseTime::kBeforeAnswering);
    read = 2;
  }
  CHECK_FALSE(call.answered);
  CHECK(call.end.error == WireError::kLinkLost);
  CHECK(call.end.sent == SendStatus::kMaybe);
  CHECK(call.connections == 1);
  CHECK(call.requests_read == read);
}

TEST_CASE("a call that times out does not harm another one in progress") {
  WireFixture fixture;
  constexpr Duration kShort{20};
  fixture.Run(2, [&] {
    const auto start = [&](const char* path, Duration timeout, const auto& fn) {
      fixture.client.Start(fixture.address, {"GET", path, {}, ""}, true,
                           timeout, fixture.Collect(fn));
    };
    start("/silent", kShort, [](const auto& response, CallStatus end) {
      CHECK_FALSE(response);
      CHECK(end.error == WireError::kTimeout);
    });
    start("/late", kTimeout, [](const auto& response, CallStatus) {
      REQUIRE(response);
      CHECK(response->body == "late");
    });
  });
}

/// @return the number of this process's connections to a port.
int CountConnectionsTo(uint16_t port) {
  constexpr int kMaxFd = 1'024;
  int n = 0;
  for (int fd = 0; fd < kMaxFd; ++fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    const int ec = getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size);
    if (ec == 0 && ntohs(peer.sin_port) == port) ++n;
  }
  return n;
}

// Each call without an answer left the idle connections of the pool open for
// 20 s, until the worker accepted no more.
TEST_CASE("idle connections are closed soon after a call went unanswered") {
  constexpr int kCalls = 5;
  WireFixture fixture;
  const auto start = [&](const char* path, Duration timeout) {
    fixture.client.Start(fixture.address, {"GET", path, {}, ""}, true, timeout,
                         CollectResponse(1 << 20, [](auto, CallStatus) {}));
  };
  for (int i = 0; i < kCalls; ++i) start("/late", kTimeout);
  fixture.loop.RunAfter(Duration(500), [&] {
    CHECK(CountConnectionsTo(fixture.address.port) == kCalls);
    start("/silent", Duration(50));
  });
  fixture.loop.RunAfter(Duration(3'000), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  CHECK(CountConnectionsTo(fixture.address.port) == 0);
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
