#include "wire/http1_request.h"

#include <doctest/doctest.h>

#include <string>

namespace almondtally::detail {
namespace {

Http1HeadStatus Parse(std::string_view text, Http1Head& out) {
  return ParseHttp1Head(text, 0, out);
}

TEST_CASE("a head is parsed with its fields and framing") {
  Http1Head head;
  const std::string text =
      "POST /q/1?x HTTP/1.1\r\nHost: a.example:80\r\nContent-Length: 12\r\n"
      "X-Deadline-MS: 5\r\nExpect: 100-continue\r\n\r\nrest";
  REQUIRE(Parse(text, head) == Http1HeadStatus::kComplete);
  CHECK(head.size == text.size() - 4);
  CHECK(head.request.method == "POST");
  CHECK(head.request.path == "/q/1?x");
  CHECK(head.request.authority == "a.example:80");
  CHECK(head.content_length == 12);
  CHECK(head.expects_continue);
  CHECK(head.keep_alive);
  REQUIRE(head.request.headers.size() == 1);
  CHECK(*FindHeader(head.request.headers, "x-deadline-ms") == "5");
  REQUIRE(Parse("GET http://b/c HTTP/1.0\r\n\r\n", head) ==
          Http1HeadStatus::kComplete);
  CHECK(head.request.authority == "b");
  CHECK(head.request.path == "/c");
  CHECK_FALSE(head.keep_alive);
  REQUIRE(Parse("GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n", head) ==
          Http1HeadStatus::kComplete);
  CHECK_FALSE(head.keep_alive);
}

TEST_CASE("a head that two readers could understand differently is refused") {
  Http1Head head;
  for (const char* fields :
       {"Content-Length: 1\r\nContent-Length: 2\r\n", "Content-Length: -1\r\n",
        "Content-Length: +1\r\n", "Content-Length: 1, 1\r\n",
        "Content-Length: 99999999999999999999\r\n", "Content-Length:\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "A: b\r\n folded\r\n", ": b\r\n", "no colon\r\n"}) {
    CAPTURE(fields);
    CHECK(Parse("POST / HTTP/1.1\r\n" + std::string(fields) + "\r\n", head) ==
          Http1HeadStatus::kMalformed);
  }
  CHECK(Parse("PRI * HTTP/2.0\r\n\r\n", head) == Http1HeadStatus::kMalformed);
}

TEST_CASE("a head is partial until its empty line, however it is cut") {
  const std::string text = "GET /a HTTP/1.1\r\nHost: b\r\n\r\n";
  for (size_t n = 0; n < text.size(); ++n) {
    Http1Head head;
    CHECK(Parse(std::string_view(text).substr(0, n), head) ==
          Http1HeadStatus::kPartial);
    CHECK(ParseHttp1Head(text, n, head) == Http1HeadStatus::kComplete);
  }
}

/// @return the decoded body of chunked text that arrives in pieces.
Http1Body::Status Decode(std::string_view text, size_t piece, size_t max,
                         std::string& out, size_t& rest) {
  Http1Head head;
  head.chunked = true;
  Http1Body body(head, max);
  auto status = Http1Body::Status::kPartial;
  size_t at = 0;
  while (at < text.size() && status == Http1Body::Status::kPartial) {
    size_t consumed = 0;
    status = body.Append(text.substr(at, piece), consumed);
    at += consumed;
  }
  rest = text.size() - at;
  out = body.Take();
  return status;
}

TEST_CASE("a chunked body is decoded, however it is cut") {
  const std::string text =
      "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nT: x\r\n\r\n";
  for (size_t piece = 1; piece <= text.size() + 4; ++piece) {
    std::string body;
    size_t rest = 0;
    CHECK(Decode(text + "GET ", piece, 13, body, rest) ==
          Http1Body::Status::kComplete);
    CHECK(body == "abc0123456789");
    CHECK(rest == 4);
  }
}

TEST_CASE("a chunked body over the limit ends there") {
  std::string body;
  size_t rest = 0;
  const std::string chunk = "a\r\n0123456789\r\n";
  CHECK(Decode(chunk + chunk + "0\r\n\r\n", 8, 19, body, rest) ==
        Http1Body::Status::kTooLarge);
  CHECK(Decode("zz\r\n", 8, 19, body, rest) == Http1Body::Status::kMalformed);
  // Framing without content.
  const std::string endless = "1;" + std::string(100'000, 'x');
  CHECK(Decode(endless, 1'000, 1 << 20, body, rest) ==
        Http1Body::Status::kTooLarge);
}

TEST_CASE("a body of known length ends after it") {
  Http1Head head;
  head.content_length = 200'000;
  Http1Body body(head, 1 << 20);
  size_t consumed = 0;
  CHECK(body.Append(std::string(150'000, 'a'), consumed) ==
        Http1Body::Status::kPartial);
  CHECK(consumed == 150'000);
  CHECK(body.Append(std::string(60'000, 'b'), consumed) ==
        Http1Body::Status::kComplete);
  CHECK(consumed == 50'000);
  CHECK(body.Take().size() == 200'000);
}

}  // namespace
}  // namespace almondtally::detail
