#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/reason.h"

namespace almondtally {

/// Type of a setting's value; determines how its text is validated.
enum class SettingKind : uint8_t {
  kText,
  kName,
  kNumber,
  kMillis,
  /// A number that may have a fraction.
  kFactor,
  kAddress,
  kAddressList,
  kFlag,
};

/// Declaration of one setting: its flag, type, default and bounds.
struct SettingInfo {
  /// Long flag without dashes; the environment variable is derived from it.
  std::string flag;
  SettingKind kind = SettingKind::kText;
  /// Value used when neither flag nor variable is given; empty if required.
  std::string default_value;
  bool required = false;
  /// Bounds for numbers and durations, inclusive.
  int64_t min = 0;
  int64_t max = INT64_MAX;
  std::string help;
};

enum class SettingsError : uint8_t {
  kNone,
  kUnknownFlag,
  kMissing,
  kInvalidValue,
  kHelpRequested,
};

using SettingsReason = Reason<SettingsError>;

/// An IPv4 address and a port.
struct Address {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

/// @return "host:port".
std::string ToString(const Address& address);

/// Parses "IP:port" with an IPv4 address.
/// @return the address, or empty if the text is malformed.
std::optional<Address> ParseAddress(const std::string& text);

/// The settings of one process, each value validated against its
/// declaration.
class Settings {
 public:
  /// Looks up each setting in flags, then environment variables, then defaults.
  /// @param why names the invalid flag, its value and the allowed values.
  /// @return the settings, or empty.
  static std::optional<Settings> Read(const std::vector<SettingInfo>& infos,
                                      const std::vector<std::string>& args,
                                      SettingsReason& why);

  const std::string& Text(const std::string& flag) const;
  int64_t Number(const std::string& flag) const;
  double Factor(const std::string& flag) const;
  Duration Millis(const std::string& flag) const;
  bool Flag(const std::string& flag) const;
  Address AddressOf(const std::string& flag) const;
  std::vector<Address> Addresses(const std::string& flag) const;
  /// Positional arguments, in order.
  const std::vector<std::string>& Positional() const { return positional_; }

 private:
  struct Value {
    std::string flag;
    std::string text;
  };

  std::vector<Value> values_;
  std::vector<std::string> positional_;
};

/// @return the environment variable of a flag: ALMONDTALLY_ and the flag in
/// upper case.
std::string EnvironmentVariable(const std::string& flag);

/// @return help on each setting: meaning, allowed values, variable, default.
std::string HelpText(const std::vector<SettingInfo>& infos);

}  // namespace almondtally
