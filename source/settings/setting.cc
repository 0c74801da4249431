#include "settings/setting.h"

#include <arpa/inet.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cassert>
#include <charconv>
#include <cstdlib>
#include <sstream>

namespace almondtally {
namespace {

namespace po = boost::program_options;

std::optional<int64_t> ParseNumber(const std::string& text) {
  int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || rest != end) return std::nullopt;
  return n;
}

std::optional<double> ParseFactor(const std::string& text) {
  double n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || rest != end) return std::nullopt;
  return n;
}

bool IsName(const std::string& text) {
  constexpr size_t kMaxNameLength = 64;
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, separator)) parts.push_back(part);
  return parts;
}

std::string DescribeAllowedValues(const SettingInfo& info) {
  switch (info.kind) {
    case SettingKind::kText:
      return "any text";
    case SettingKind::kName:
      return "1 to 64 letters, digits, '-', '_' or '.'";
    case SettingKind::kNumber:
    case SettingKind::kMillis: {
      const std::string unit =
          info.kind == SettingKind::kMillis ? " (milliseconds)" : "";
      return "a whole number from " + std::to_string(info.min) + " to " +
             std::to_string(info.max) + unit;
    }
    case SettingKind::kFactor:
      return "a number from " + std::to_string(info.min) + " to " +
             std::to_string(info.max);
    case SettingKind::kAddress:
      return "an IPv4 address and a port, such as 10.0.0.1:7000";
    case SettingKind::kAddressList:
      return "addresses such as 10.0.0.1:7000, separated by commas";
    case SettingKind::kFlag:
      return "true or false";
  }
  return "";
}

bool IsValidValue(const SettingInfo& info, const std::string& text) {
  switch (info.kind) {
    case SettingKind::kText:
      return true;
    case SettingKind::kName:
      return IsName(text);
    case SettingKind::kNumber:
    case SettingKind::kMillis: {
      const auto n = ParseNumber(text);
      return n && *n >= info.min && *n <= info.max;
    }
    case SettingKind::kFactor: {
      const auto n = ParseFactor(text);
      return n && *n >= static_cast<double>(info.min) &&
             *n <= static_cast<double>(info.max);
    }
    case SettingKind::kAddress:
      return ParseAddress(text).has_value();
    case SettingKind::kAddressList: {
      const auto parts = Split(text, ',');
      return !parts.empty() &&
             std::all_of(parts.begin(), parts.end(),
                         [](const auto& p) { return ParseAddress(p); });
    }
    case SettingKind::kFlag:
      return text == "true" || text == "false";
  }
  return false;
}

po::options_description MakeOptions(const std::vector<SettingInfo>& infos) {
  po::options_description options;
  for (const SettingInfo& info : infos) {
    auto* value = po::value<std::string>();
    if (info.kind == SettingKind::kFlag) value->implicit_value("true");
    options.add_options()(info.flag.c_str(), value, info.help.c_str());
  }
  options.add_options()("help,h", "show this help");
  return options;
}

std::optional<po::parsed_options> Parse(const std::vector<SettingInfo>& infos,
                                        const std::vector<std::string>& args,
                                        std::vector<std::string>& positional,
                                        SettingsReason& why) {
  const po::options_description options = MakeOptions(infos);
  try {
    po::parsed_options parsed =
        po::command_line_parser(args).options(options).run();
    for (const auto& option : parsed.options) {
      if (option.position_key < 0) continue;
      positional.insert(positional.end(), option.value.begin(),
                        option.value.end());
    }
    return parsed;
  } catch (const po::error& error) {
    why.Set(SettingsError::kUnknownFlag, error.what());
    return std::nullopt;
  }
}

/// Looks up a setting: command line first, then environment, then default.
std::optional<std::string> LookUpValue(const po::parsed_options& parsed,
                                       const SettingInfo& info) {
  std::optional<std::string> text;
  for (const auto& option : parsed.options) {
    if (option.string_key != info.flag) continue;
    text = option.value.empty() ? "true" : option.value.front();
  }
  if (text) return text;
  const char* variable = std::getenv(EnvironmentVariable(info.flag).c_str());
  if (variable != nullptr) return std::string(variable);
  if (!info.default_value.empty()) return info.default_value;
  return std::nullopt;
}

}  // namespace

std::string ToString(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

std::optional<Address> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const std::string host = text.substr(0, colon);
  in_addr ip{};
  if (inet_pton(AF_INET, host.c_str(), &ip) != 1) return std::nullopt;
  const auto port = ParseNumber(text.substr(colon + 1));
  if (!port || *port < 1 || *port > UINT16_MAX) return std::nullopt;
  return Address{host, static_cast<uint16_t>(*port)};
}

std::string EnvironmentVariable(const std::string& flag) {
  std::string name = "ALMONDTALLY_";
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

std::string HelpText(const std::vector<SettingInfo>& infos) {
  std::ostringstream out;
  for (const SettingInfo& info : infos) {
    out << "  --" << info.flag << "\n      " << info.help << "\n      "
        << DescribeAllowedValues(info) << "; variable "
        << EnvironmentVariable(info.flag);
    if (info.required) out << "; required";
    if (!info.default_value.empty()) out << "; default " << info.default_value;
    out << "\n";
  }
  return out.str();
}

std::optional<Settings> Settings::Read(const std::vector<SettingInfo>& infos,
                                       const std::vector<std::string>& args,
                                       SettingsReason& why) {
  Settings settings;
  const auto parsed = Parse(infos, args, settings.positional_, why);
  if (!parsed) return std::nullopt;
  for (const auto& option : parsed->options) {
    if (option.string_key != "help") continue;
    why.Set(SettingsError::kHelpRequested, HelpText(infos));
    return std::nullopt;
  }
  for (const SettingInfo& info : infos) {
    const auto text = LookUpValue(*parsed, info);
    if (!text && info.required) {
      why.Set(SettingsError::kMissing,
              "--" + info.flag + " (or " + EnvironmentVariable(info.flag) +
                  ") is required: " + DescribeAllowedValues(info));
      return std::nullopt;
    }
    if (text && !IsValidValue(info, *text)) {
      why.Set(SettingsError::kInvalidValue, "--" + info.flag + ": \"" + *text +
                                                "\" is not allowed; give " +
                                                DescribeAllowedValues(info));
      return std::nullopt;
    }
    settings.values_.push_back({info.flag, text.value_or("")});
  }
  return settings;
}

const std::string& Settings::Text(const std::string& flag) const {
  for (const Value& value : values_) {
    if (value.flag == flag) return value.text;
  }
  assert(false && "undeclared setting");
  static const std::string empty;
  return empty;
}

int64_t Settings::Number(const std::string& flag) const {
  return ParseNumber(Text(flag)).value_or(0);
}

double Settings::Factor(const std::string& flag) const {
  return ParseFactor(Text(flag)).value_or(0);
}

Duration Settings::Millis(const std::string& flag) const {
  return Duration(Number(flag));
}

bool Settings::Flag(const std::string& flag) const {
  return Text(flag) == "true";
}

Address Settings::AddressOf(const std::string& flag) const {
  return ParseAddress(Text(flag)).value_or(Address{});
}

std::vector<Address> Settings::Addresses(const std::string& flag) const {
  std::vector<Address> all;
  for (const std::string& part : Split(Text(flag), ',')) {
    if (const auto address = ParseAddress(part)) all.push_back(*address);
  }
  return all;
}

}  // namespace almondtally
