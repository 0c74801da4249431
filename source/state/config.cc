#include "state/config.h"

#include <set>

namespace almondtally {
namespace {

using nlohmann::json;

template <typename T>
std::optional<T> ReadValue(const std::string& text) {
  const json in = json::parse(text, nullptr, false);
  if (!in.is_object()) return std::nullopt;
  try {
    return in.get<T>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

template <typename T>
std::optional<T> FindValue(const Config& config, ConfigKind kind,
                           const std::string& name) {
  const auto it = config.objects.find({kind, name});
  if (it == config.objects.end()) return std::nullopt;
  return ReadValue<T>(it->second.value);
}

/// Refuses fields that the object does not have, so that a typing error is
/// not taken for a default.
bool HasOnlyKnownFields(const json& in, const json& known, ConfigReason& why) {
  for (const auto& [key, value] : in.items()) {
    if (!known.contains(key)) {
      std::string text = "unknown field \"";
      text.append(key).append("\"; known are:");
      for (const auto& [name, unused] : known.items()) {
        text.append(" ").append(name);
      }
      why.Set(ConfigError::kUnknownField, text);
      return false;
    }
    if (known[key].is_object() && value.is_object() &&
        !HasOnlyKnownFields(value, known[key], why)) {
      return false;
    }
  }
  return true;
}

bool InRange(const char* field, int64_t value, int64_t min, int64_t max,
             ConfigReason& why) {
  if (value >= min && value <= max) return true;
  why.Set(ConfigError::kBadValue,
          std::string(field) + ": " + std::to_string(value) +
              " is not allowed; give " + std::to_string(min) + " to " +
              std::to_string(max));
  return false;
}

constexpr int64_t kMaxMilliCpu = 100'000'000;
constexpr int64_t kMaxMebibytes = 1'000'000'000;
constexpr int64_t kMaxAccelerators = 1'000'000;

bool CheckResources(const char* field, const Resources& it, ConfigReason& why) {
  const std::string prefix(field);
  return InRange((prefix + ".cpu").c_str(), it.cpu.value, 0, kMaxMilliCpu,
                 why) &&
         InRange((prefix + ".memory").c_str(), it.memory.value, 0,
                 kMaxMebibytes, why) &&
         InRange((prefix + ".accelerators").c_str(), it.accelerators.value, 0,
                 kMaxAccelerators, why);
}

bool Check(const TeamConfig& it, ConfigReason& why) {
  return CheckResources("quota", it.quota, why) &&
         InRange("weight", it.weight, 1, 10'000, why);
}

bool Check(const ServiceConfig& it, ConfigReason& why) {
  if (it.team.empty()) {
    why.Set(ConfigError::kBadValue, "team: a service needs a team");
    return false;
  }
  return CheckResources("each", it.each, why) &&
         InRange("executors", it.executors, 0, 10'000, why) &&
         InRange("slots", it.slots, 1, 10'000, why) &&
         InRange("queue", it.queue, 0, 10'000, why) &&
         InRange("deadline_ms", it.deadline_ms, 1, 600'000, why);
}

bool Check(const VmConfig&, ConfigReason&) { return true; }
bool Check(const FenceConfig&, ConfigReason&) { return true; }

template <typename T>
std::optional<std::string> CheckAs(const std::string& text, ConfigReason& why) {
  const json in = json::parse(text, nullptr, false);
  if (!in.is_object()) {
    why.Set(ConfigError::kBadJson, "the value is not a JSON object");
    return std::nullopt;
  }
  if (!HasOnlyKnownFields(in, json(T{}), why)) return std::nullopt;
  T value;
  try {
    value = in.get<T>();
  } catch (const json::exception& error) {
    why.Set(ConfigError::kBadValue, error.what());
    return std::nullopt;
  }
  if (!Check(value, why)) return std::nullopt;
  return json(value).dump();
}

}  // namespace

bool Apply(Config& config, const ConfigChange& change) {
  if (change.version.value != config.version.value + 1) return false;
  config.version = change.version;
  const ConfigKey key{change.kind, change.name};
  if (change.value.empty()) {
    config.objects.erase(key);
  } else {
    config.objects[key] = {change.version, change.value};
  }
  return true;
}

std::optional<std::string> CheckValue(ConfigKind kind, const std::string& name,
                                      const std::string& value,
                                      ConfigReason& why) {
  if (name.empty()) {
    why.Set(ConfigError::kBadValue, "the object needs a name");
    return std::nullopt;
  }
  switch (kind) {
    case ConfigKind::kTeam:
      return CheckAs<TeamConfig>(value, why);
    case ConfigKind::kService:
      return CheckAs<ServiceConfig>(value, why);
    case ConfigKind::kVm:
      return CheckAs<VmConfig>(value, why);
    case ConfigKind::kFence:
      return CheckAs<FenceConfig>(value, why);
  }
  return std::nullopt;
}

std::optional<TeamConfig> FindTeam(const Config& config, const TeamId& team) {
  return FindValue<TeamConfig>(config, ConfigKind::kTeam, team.value);
}

std::optional<ServiceConfig> FindService(const Config& config,
                                         const ServiceId& service) {
  return FindValue<ServiceConfig>(config, ConfigKind::kService, service.value);
}

std::vector<ServiceId> Services(const Config& config) {
  std::vector<ServiceId> all;
  for (const auto& [key, object] : config.objects) {
    if (key.kind == ConfigKind::kService) all.emplace_back(key.name);
  }
  return all;
}

Generation CurrentGeneration(const Config& config, const VmId& vm) {
  const auto fence =
      FindValue<FenceConfig>(config, ConfigKind::kFence, vm.value);
  return Generation(fence ? fence->generation.value + 1 : 1);
}

bool IsDraining(const Config& config, const VmId& vm) {
  const auto it = FindValue<VmConfig>(config, ConfigKind::kVm, vm.value);
  return it && it->draining;
}

std::string EncodeSnapshot(const Config& config) {
  json objects = json::array();
  for (const auto& [key, object] : config.objects) {
    objects.push_back({{"kind", key.kind},
                       {"name", key.name},
                       {"version", object.version},
                       {"value", object.value}});
  }
  return json{{"version", config.version}, {"objects", objects}}.dump();
}

std::optional<Config> DecodeSnapshot(const std::string& text,
                                     ConfigReason& why) {
  const json in = json::parse(text, nullptr, false);
  try {
    Config config;
    in.at("version").get_to(config.version);
    for (const json& it : in.at("objects")) {
      const ConfigKey key{it.at("kind").get<ConfigKind>(),
                          it.at("name").get<std::string>()};
      config.objects[key] = {it.at("version").get<ConfigVersion>(),
                             it.at("value").get<std::string>()};
    }
    return config;
  } catch (const json::exception& error) {
    why.Set(ConfigError::kBadJson, error.what());
    return std::nullopt;
  }
}

}  // namespace almondtally
