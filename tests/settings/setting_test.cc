#include "settings/setting.h"

#include <doctest/doctest.h>

#include <cstdlib>

namespace almondtally {
namespace {

std::vector<SettingInfo> SettingInfos() {
  using enum SettingKind;
  return {{"port-number", kNumber, "7", false, 1, 9, "a number"},
          {"listen", kAddress, "", true, 0, 0, "an address"},
          {"quiet", kFlag, "false", false, 0, 0, "a flag"}};
}

TEST_CASE("a flag overrides the variable, which overrides the default") {
  SettingsReason why;
  auto settings =
      Settings::Read(SettingInfos(), {"--listen", "127.0.0.1:80"}, why);
  REQUIRE(settings);
  CHECK(settings->Number("port-number") == 7);
  setenv("ALMONDTALLY_PORT_NUMBER", "8", 1);
  settings = Settings::Read(SettingInfos(), {"--listen", "127.0.0.1:80"}, why);
  CHECK(settings->Number("port-number") == 8);
  settings = Settings::Read(
      SettingInfos(),
      {"--listen", "127.0.0.1:80", "--port-number", "9", "--quiet"}, why);
  unsetenv("ALMONDTALLY_PORT_NUMBER");
  CHECK(settings->Number("port-number") == 9);
  CHECK(settings->Flag("quiet"));
}

TEST_CASE("an error names the flag, the value and the allowed values") {
  SettingsReason why;
  CHECK_FALSE(
      Settings::Read(SettingInfos(),
                     {"--listen", "127.0.0.1:80", "--port-number", "12"}, why));
  CHECK(why.code == SettingsError::kInvalidValue);
  CHECK(why.text ==
        "--port-number: \"12\" is not allowed; give a whole number from 1 to "
        "9");
  CHECK_FALSE(Settings::Read(SettingInfos(), {}, why));
  CHECK(why.code == SettingsError::kMissing);
  CHECK_FALSE(Settings::Read(SettingInfos(), {"--listne", "x"}, why));
  CHECK(why.code == SettingsError::kUnknownFlag);
}

TEST_CASE("a factor may have a fraction and is within its bounds") {
  const std::vector<SettingInfo> infos = {
      {"factor", SettingKind::kFactor, "1", false, 1, 100, "a factor"}};
  SettingsReason why;
  const auto settings = Settings::Read(infos, {"--factor", "1.5"}, why);
  REQUIRE(settings);
  CHECK(settings->Factor("factor") == doctest::Approx(1.5));
  for (const char* bad : {"", "x", "1.5x", "0.9", "101", "nan", "inf"}) {
    CHECK_FALSE_MESSAGE(Settings::Read(infos, {"--factor", bad}, why), bad);
    CHECK(why.code == SettingsError::kInvalidValue);
  }
}

TEST_CASE("addresses are IPv4 addresses with a port") {
  CHECK(ParseAddress("10.0.0.1:7000"));
  for (const char* bad :
       {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0:1", "host:1", "10.0.0.1:7 "}) {
    CHECK_FALSE_MESSAGE(ParseAddress(bad), bad);
  }
}

}  // namespace
}  // namespace almondtally
