#include "peer/messages.h"

#include <doctest/doctest.h>

#include <random>

#include "peer/request_headers.h"

namespace almondtally {
namespace {

Announcement SampleAnnounce() {
  Announcement announce;
  announce.vm = VmId("vm-1");
  announce.incarnation = Incarnation(7);
  announce.services = {{ServiceId("s"), 8, 3, 1}};
  announce.ended = {
      {{{JobId("j"), 4}, Epoch(2)}, RunOutcome::kEvicted, "c", "why"}};
  return announce;
}

TEST_CASE("a message is unchanged by encoding and decoding") {
  WireReason why;
  const auto read =
      DecodeMessage<Announcement>(EncodeMessage(SampleAnnounce()), why);
  REQUIRE(read);
  CHECK(read->vm == VmId("vm-1"));
  CHECK(read->services[0].limit == 8);
  CHECK(read->ended[0].outcome == RunOutcome::kEvicted);
  CHECK(read->ended[0].run.task.index == 4);
}

TEST_CASE("a message of another version is rejected with its version") {
  Announcement announce = SampleAnnounce();
  announce.message_version = 2;
  WireReason why;
  CHECK_FALSE(DecodeMessage<Announcement>(EncodeMessage(announce), why));
  CHECK(why.text == "message version 2 is not known");
}

// Regression test: a peer's message of nested arrays ended the process.
TEST_CASE("a deeply nested message is rejected") {
  constexpr size_t kMessageBytes = 1'000'000;
  constexpr char kArrayOfOne = '\x81';
  WireReason why;
  CHECK_FALSE(DecodeMessage<Announcement>(
      std::string(kMessageBytes, kArrayOfOne), why));
  CHECK(why.code == WireError::kDecode);
  CHECK(why.text == "nested more than 64 levels");
}

TEST_CASE("decoding of mutated messages succeeds or fails with an error") {
  const std::string good = EncodeMessage(SampleAnnounce());
  std::mt19937_64 random(3);
  size_t refused = 0;
  constexpr int kRounds = 20'000;
  for (int i = 0; i < kRounds; ++i) {
    std::string bytes = good;
    const size_t changes = 1 + random() % 4;
    for (size_t k = 0; k < changes; ++k) {
      const size_t at = random() % bytes.size();
      switch (random() % 3) {
        case 0:
          bytes[at] = static_cast<char>(random());
          break;
        case 1:
          bytes.erase(at, 1 + random() % 8);
          break;
        default:
          bytes.insert(at, 1, static_cast<char>(random()));
      }
      if (bytes.empty()) bytes = "x";
    }
    WireReason why;
    if (DecodeMessage<Announcement>(bytes, why)) continue;
    ++refused;
    CHECK(why.code == WireError::kDecode);
  }
  CHECK(refused > kRounds / 4);
}

TEST_CASE("service paths are split, other paths are rejected") {
  const auto path = SplitServicePath("/svc/sorteggio/lots/7?x=1");
  REQUIRE(path);
  CHECK(path->service == ServiceId("sorteggio"));
  CHECK(path->rest == "/lots/7?x=1");
  CHECK(SplitServicePath("/svc/s")->rest == "/");
  CHECK(SplitServicePath("/svc/s?x=1")->rest == "/?x=1");
  CHECK_FALSE(SplitServicePath("/svc/"));
  CHECK_FALSE(SplitServicePath("/svc//x"));
  CHECK_FALSE(SplitServicePath("/other"));
}

TEST_CASE("hop-by-hop and x-almondtally headers are not forwarded") {
  const Headers out = EndToEndHeaders({{"connection", "close"},
                                       {"x-almondtally-keyed", "1"},
                                       {"idempotency-key", "k"},
                                       {"accept", "*/*"}});
  REQUIRE(out.size() == 2);
  CHECK(out[0].name == "idempotency-key");
}

TEST_CASE("a refusal's reason cannot inject header lines") {
  const Headers headers =
      RefusalHeaders(RequestOutcome::kNotRun, "a\r\nx: y", RequestId("r"));
  CHECK(*FindHeader(headers, header::kReason) == "a  x: y");
  CHECK(*FindHeader(headers, header::kOutcome) == "not_run");
}

}  // namespace
}  // namespace almondtally
