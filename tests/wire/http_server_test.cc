#include "wire/http_server.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace almondtally {
namespace {

constexpr Duration kPoll{5};
constexpr std::chrono::milliseconds kBetweenPieces{20};

/// A server that echoes bodies. "/late" answers after 30 ms, "/stream" in two
/// parts, "/kept" after it has replaced the body in the budget.
struct Fixture {
  std::unique_ptr<EventLoop> loop;
  Address address{"127.0.0.1", 0};
  ServerLimits limits;
  /// When the server shuts down while its caller talks; zero for never.
  Duration shutdown_after{0};
  std::vector<HttpRequest> requests;
  std::unique_ptr<HttpServer> server;

  void Start() {
    server = nullptr;
    loop = std::make_unique<EventLoop>();
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in sin{};
    sin.sin_family = AF_INET;
    sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&sin), sizeof sin) == 0);
    socklen_t n = sizeof sin;
    getsockname(fd, reinterpret_cast<sockaddr*>(&sin), &n);
    close(fd);
    address.port = ntohs(sin.sin_port);
    server = std::make_unique<HttpServer>(
        *loop, limits, [this](const Exchange& exchange) { Handle(exchange); });
    WireReason why;
    REQUIRE(server->Listen(address, why));
  }

  void Handle(const Exchange& exchange) {
    requests.push_back(exchange.request());
    const std::string& path = exchange.request().path;
    if (path == "/late") {
      loop->RunAfter(Duration(30),
                     [exchange] { exchange.Answer(200, {}, "late"); });
    } else if (path == "/stream") {
      exchange.Begin(200, {});
      exchange.Write("one");
      exchange.OnDrained([exchange] {
        if (exchange.closed()) return;
        exchange.Write("two");
        exchange.End();
      });
    } else if (path == "/kept") {
      const bool kept =
          exchange.KeepOnly(limits.budget->limits().max_bytes * 2);
      exchange.Answer(kept ? 200 : 503, {}, "");
    } else {
      exchange.Answer(200, {{"x-path", path}}, exchange.request().body);
    }
  }

  /// Starts a server and sends it pieces on one connection, and its end.
  /// @return all that the server sends until it closes.
  std::string Talk(const std::vector<std::string>& pieces) {
    Start();
    if (shutdown_after != Duration(0))
      loop->RunAfter(shutdown_after, [this] { server->Shutdown(); });
    std::string out;
    std::atomic<bool> done = false;
    std::thread caller([&] {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in sin{};
      sin.sin_family = AF_INET;
      sin.sin_port = htons(address.port);
      sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      if (connect(fd, reinterpret_cast<sockaddr*>(&sin), sizeof sin) == 0) {
        for (const std::string& it : pieces) {
          (void)!send(fd, it.data(), it.size(), MSG_NOSIGNAL);
          std::this_thread::sleep_for(kBetweenPieces);
        }
        shutdown(fd, SHUT_WR);
        std::array<char, 4096> buf{};
        for (ssize_t n = 0; (n = read(fd, buf.data(), buf.size())) > 0;)
          out.append(buf.data(), static_cast<size_t>(n));
      }
      close(fd);
      done = true;
    });
    const TimerId limit =
        loop->RunAfter(Duration(20'000), [] { FAIL("the server hangs"); });
    std::function<void()> poll = [&] {
      if (done) return loop->Stop();
      loop->RunAfter(kPoll, poll);
    };
    poll();
    loop->Run();
    caller.join();
    loop->Cancel(limit);
    return out;
  }
};

size_t Count(const std::string& text, const std::string& part) {
  size_t n = 0;
  for (size_t at = 0; (at = text.find(part, at)) != std::string::npos; ++at)
    ++n;
  return n;
}

TEST_CASE("requests follow each other on a connection") {
  Fixture fixture;
  std::string out;
  SUBCASE("sent at once") {
    out =
        fixture.Talk({"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                      "\r\nabcGET /late HTTP/1.1\r\n\r\nHEAD /b HTTP/1.1\r\n"
                      "\r\nDELETE /c HTTP/1.1\r\n\r\n"});
  }
  SUBCASE("in pieces") {
    out = fixture.Talk({"POST /a HT", "TP/1.1\r\nHost: h\r\nContent-Length: ",
                        "3\r\n\r\nab", "cGET /late HTTP/1.1\r\n\r", "\nHEAD ",
                        "/b HTTP/1.1\r\n\r\nDELETE /c HTTP/1.1\r\n\r\n"});
  }
  REQUIRE(fixture.requests.size() == 4);
  CHECK(fixture.requests[0].body == "abc");
  CHECK(fixture.requests[0].authority == "h");
  CHECK(fixture.requests[2].method == "HEAD");
  CHECK(Count(out, "HTTP/1.1 200 ") == 4);
  CHECK(out.find("late") < out.find("x-path: /b"));
  CHECK(fixture.server->open_exchanges() == 0);
}

TEST_CASE("a chunked request is decoded, and a streamed response is chunked") {
  Fixture fixture;
  const std::string out =
      fixture.Talk({"POST /stream HTTP/1.1\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n3\r\nabc\r\n",
                    "2\r\nde\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"});
  REQUIRE(fixture.requests.size() == 2);
  CHECK(fixture.requests[0].body == "abcde");
  CHECK(out.find("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n") != std::string::npos);
  CHECK(Count(out, "HTTP/1.1 200 ") == 2);
}

TEST_CASE("HTTP/1.0 and \"close\" end the connection after the response") {
  Fixture fixture;
  std::string head;
  SUBCASE("close") { head = "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n"; }
  SUBCASE("HTTP/1.0") { head = "GET /a HTTP/1.0\r\n\r\n"; }
  SUBCASE("HTTP/1.0, streamed") { head = "GET /stream HTTP/1.0\r\n\r\n"; }
  const std::string out = fixture.Talk({head + "GET /b HTTP/1.1\r\n\r\n"});
  CHECK(fixture.requests.size() == 1);
  CHECK(Count(out, "connection: close") == 1);
  CHECK(out.find("chunked") == std::string::npos);
}

TEST_CASE("a caller that waits to send its body is told to, or is refused") {
  Fixture fixture;
  fixture.limits.max_body = 1'000;
  const std::string head = "POST /a HTTP/1.1\r\nExpect: 100-continue\r\n";
  std::string out = fixture.Talk({head + "Content-Length: 3\r\n\r\n", "abc"});
  CHECK(out.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "));
  out = fixture.Talk({head + "Content-Length: 1001\r\n\r\n", "abc"});
  CHECK(out.starts_with("HTTP/1.1 413 "));
  CHECK(fixture.requests.size() == 1);
}

TEST_CASE("what is over a limit is refused before it is read") {
  Fixture fixture;
  fixture.limits.max_body = 100'000;
  fixture.limits.max_head = 2'000;
  fixture.limits.budget = std::make_shared<IntakeBudget>(IntakeLimits{80'000});
  const auto post = [](const std::string& fields) {
    return "POST /a HTTP/1.1\r\n" + fields + "\r\n\r\n";
  };
  CHECK(fixture.Talk({post("Content-Length: 9999999999")})
            .starts_with("HTTP/1.1 413 "));
  const std::string no_room = fixture.Talk({post("Content-Length: 90000")});
  CHECK(no_room.starts_with("HTTP/1.1 503 "));
  CHECK(no_room.find("retry-after: 1\r\n") != std::string::npos);
  CHECK(fixture.Talk({post("A: " + std::string(3'000, 'x'))})
            .starts_with("HTTP/1.1 431 "));
  CHECK(fixture.Talk({"GET /a HTTP/1.1\r\nA: ", std::string(3'000, 'x')})
            .starts_with("HTTP/1.1 431 "));
  CHECK(fixture.Talk({"nonsense\r\n\r\n"}).starts_with("HTTP/1.1 400 "));
  CHECK(fixture
            .Talk({post("Transfer-Encoding: chunked"),
                   "20000\r\n" + std::string(0x20000, 'x')})
            .starts_with("HTTP/1.1 503 "));
  CHECK(fixture.requests.empty());
  CHECK(fixture.limits.budget->bytes() == 0);
}

TEST_CASE("a handler is told when there is no room for what it keeps") {
  Fixture fixture;
  fixture.limits.budget = std::make_shared<IntakeBudget>(IntakeLimits{80'000});
  CHECK(fixture.Talk({"GET /kept HTTP/1.1\r\n\r\n"})
            .starts_with("HTTP/1.1 503 "));
  CHECK(fixture.limits.budget->bytes() == 0);
}

TEST_CASE("requests that follow one being served are dropped without room") {
  Fixture fixture;
  fixture.limits.budget = std::make_shared<IntakeBudget>(IntakeLimits{20'000});
  const std::string out = fixture.Talk(
      {"GET /late HTTP/1.1\r\n\r\nPOST /a HTTP/1.1\r\nContent-Length: "
       "18000\r\n\r\n" +
       std::string(18'000, 'x')});
  CHECK(fixture.requests.size() == 1);
  CHECK(Count(out, "HTTP/1.1 200 ") == 1);
  CHECK(Count(out, "connection: close") == 1);
  CHECK(fixture.limits.budget->bytes() == 0);
}

TEST_CASE("requests in progress are answered after a shutdown") {
  Fixture fixture;
  fixture.shutdown_after = Duration(40);
  const std::string out = fixture.Talk(
      {"GET /a HTTP/1.1\r\n\r\n", "", "", "GET /late HTTP/1.1\r\n\r\n"});
  CHECK(fixture.requests.size() == 2);
  CHECK(Count(out, "connection: keep-alive") == 1);
  CHECK(Count(out, "connection: close") == 1);
}

}  // namespace
}  // namespace almondtally
