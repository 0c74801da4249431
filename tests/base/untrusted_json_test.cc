#include "base/untrusted_json.h"

#include <doctest/doctest.h>

namespace almondtally {
namespace {

constexpr size_t kDeep = 1'000'000;
constexpr char kCborArrayOfOne = '\x81';
constexpr char kCborMapOfOne = '\xa1';
constexpr char kCborEndlessArray = '\x9f';
constexpr char kCborNull = '\xf6';

std::string NestedJson(int depth) {
  const auto n = static_cast<size_t>(depth);
  return std::string(n, '[') + std::string(n, ']');
}

std::string NestedCbor(int depth) {
  return std::string(static_cast<size_t>(depth), kCborArrayOfOne) + kCborNull;
}

TEST_CASE("values are parsed up to the largest depth") {
  std::string why;
  CHECK_FALSE(ParseJson(NestedJson(kMaxJsonDepth)).is_discarded());
  CHECK(ParseJson(NestedJson(kMaxJsonDepth + 1)).is_discarded());
  CHECK(ParseCbor(NestedCbor(kMaxJsonDepth), why));
  CHECK_FALSE(ParseCbor(NestedCbor(kMaxJsonDepth + 1), why));
  CHECK(why == "nested more than 64 levels");
}

TEST_CASE("depth is counted along one path, not over the whole value") {
  std::string text = "[";
  for (int i = 0; i < 10 * kMaxJsonDepth; ++i) text += "{},[],";
  text += "1]";
  CHECK(ParseJson(text).size() == 20 * kMaxJsonDepth + 1);
}

TEST_CASE("parsed values equal those of the library") {
  const nlohmann::json value = {{"a", {1, -2, 2.5, "x", nullptr, true}},
                                {"b", {{"c", nlohmann::json::array()}}}};
  std::string why;
  CHECK(ParseJson(value.dump()) == value);
  const auto bytes = nlohmann::json::to_cbor(value);
  CHECK(ParseCbor({bytes.begin(), bytes.end()}, why) == value);
}

// Regression test: decoding recursed without limit and ended the process.
TEST_CASE("a deeply nested value is an error") {
  std::string why;
  CHECK_FALSE(ParseCbor(std::string(kDeep, kCborArrayOfOne), why));
  CHECK_FALSE(ParseCbor(std::string(kDeep, kCborEndlessArray), why));
  std::string maps;
  for (size_t i = 0; i < kDeep; ++i) {
    maps += kCborMapOfOne;
    maps += "\x61k";
  }
  CHECK_FALSE(ParseCbor(maps, why));
  CHECK(ParseJson(std::string(kDeep, '[')).is_discarded());
}

TEST_CASE("incomplete and oversized values are errors") {
  std::string why;
  for (const std::string& bytes :
       {std::string(), std::string("\x81"), std::string("\x61"),
        std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
        std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
        std::string("\xbb\xff\xff\xff\xff\xff\xff\xff\xff", 9),
        std::string("\x01\x01", 2)}) {
    why.clear();
    CHECK_FALSE(ParseCbor(bytes, why));
    CHECK_FALSE(why.empty());
  }
  CHECK(ParseJson("").is_discarded());
  CHECK(ParseJson("{").is_discarded());
  CHECK(ParseJson("1 2").is_discarded());
}

TEST_CASE("a value with too many parts is an error") {
  std::string why;
  CHECK_FALSE(ParseJson("[1,{\"a\":2}]", 5).is_discarded());
  CHECK(ParseJson("[1,{\"a\":2}]", 4).is_discarded());
  const std::string bytes = "\x82\x01\xa1\x61\x61\x02";
  CHECK(ParseCbor(bytes, why, 5));
  CHECK_FALSE(ParseCbor(bytes, why, 4));
  CHECK(why == "too many values");
}

}  // namespace
}  // namespace almondtally
