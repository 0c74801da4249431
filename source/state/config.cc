#include "state/config.h"

#include <set>

#include "base/untrusted_json.h"

namespace almondtally {
namespace {

using nlohmann::json;

template <typename T>
std::optional<T> ParseValue(const std::string& text) {
  const json input = ParseJson(text);
  if (!input.is_object()) return std::nullopt;
  try {
    return input.get<T>();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

template <typename T>
std::optional<T> FindValue(const Config& config, ConfigKind kind,
                           const std::string& name) {
  const auto it = config.objects.find({kind, name});
  if (it == config.objects.end()) return std::nullopt;
  return ParseValue<T>(it->second.value);
}

/// Rejects unknown fields, so that a misspelled field name is an error instead
/// of silently leaving the field at its default.
bool HasOnlyKnownFields(const json& input, const json& allowed,
                        ConfigReason& why) {
  for (const auto& [key, value] : input.items()) {
    if (!allowed.contains(key)) {
      std::string message = "unknown field \"";
      message.append(key).append("\"; known are:");
      for (const auto& [name, unused] : allowed.items()) {
        message.append(" ").append(name);
      }
      why.Set(ConfigError::kUnknownField, message);
      return false;
    }
    if (allowed[key].is_object() && value.is_object() &&
        !HasOnlyKnownFields(value, allowed[key], why)) {
      return false;
    }
  }
  return true;
}

bool ValidateRange(const char* field, int64_t value, int64_t min, int64_t max,
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

bool ValidateResources(const char* field, const Resources& resources,
                       ConfigReason& why) {
  const std::string prefix(field);
  return ValidateRange((prefix + ".cpu").c_str(), resources.cpu.value, 0,
                       kMaxMilliCpu, why) &&
         ValidateRange((prefix + ".memory").c_str(), resources.memory.value, 0,
                       kMaxMebibytes, why) &&
         ValidateRange((prefix + ".accelerators").c_str(),
                       resources.accelerators.value, 0, kMaxAccelerators, why);
}

bool Validate(const TeamConfig& team, ConfigReason& why) {
  return ValidateResources("quota", team.quota, why) &&
         ValidateRange("weight", team.weight, 1, 10'000, why);
}

bool Validate(const ServiceConfig& service, ConfigReason& why) {
  if (service.team.empty()) {
    why.Set(ConfigError::kBadValue, "team: a service needs a team");
    return false;
  }
  return ValidateResources("each", service.each, why) &&
         ValidateRange("executors", service.executors, 0, 10'000, why) &&
         ValidateRange("slots", service.slots, 1, 10'000, why) &&
         ValidateRange("queue", service.queue, 0, 10'000, why) &&
         ValidateRange("deadline_ms", service.deadline_ms, 1, 600'000, why);
}

bool Validate(const VmConfig&, ConfigReason&) { return true; }
bool Validate(const FenceConfig&, ConfigReason&) { return true; }

template <typename T>
std::optional<std::string> ValidateAs(const std::string& text,
                                      ConfigReason& why) {
  const json input = ParseJson(text);
  if (!input.is_object()) {
    why.Set(ConfigError::kBadJson, "the value is not a JSON object");
    return std::nullopt;
  }
  if (!HasOnlyKnownFields(input, json(T{}), why)) return std::nullopt;
  T value;
  try {
    value = input.get<T>();
  } catch (const json::exception& error) {
    why.Set(ConfigError::kBadValue, error.what());
    return std::nullopt;
  }
  if (!Validate(value, why)) return std::nullopt;
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

std::optional<std::string> ValidateConfigValue(ConfigKind kind,
                                               const std::string& name,
                                               const std::string& value,
                                               ConfigReason& why) {
  if (name.empty()) {
    why.Set(ConfigError::kBadValue, "the object needs a name");
    return std::nullopt;
  }
  switch (kind) {
    case ConfigKind::kTeam:
      return ValidateAs<TeamConfig>(value, why);
    case ConfigKind::kService:
      return ValidateAs<ServiceConfig>(value, why);
    case ConfigKind::kVm:
      return ValidateAs<VmConfig>(value, why);
    case ConfigKind::kFence:
      return ValidateAs<FenceConfig>(value, why);
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
  std::vector<ServiceId> services;
  for (const auto& [key, object] : config.objects) {
    if (key.kind == ConfigKind::kService) services.emplace_back(key.name);
  }
  return services;
}

Generation CurrentGeneration(const Config& config, const VmId& vm) {
  const auto fence =
      FindValue<FenceConfig>(config, ConfigKind::kFence, vm.value);
  return Generation(fence ? fence->generation.value + 1 : 1);
}

bool IsDraining(const Config& config, const VmId& vm) {
  const auto vm_config = FindValue<VmConfig>(config, ConfigKind::kVm, vm.value);
  return vm_config && vm_config->draining;
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
  const json input = ParseJson(text);
  try {
    Config config;
    input.at("version").get_to(config.version);
    for (const json& object : input.at("objects")) {
      const ConfigKey key{object.at("kind").get<ConfigKind>(),
                          object.at("name").get<std::string>()};
      config.objects[key] = {object.at("version").get<ConfigVersion>(),
                             object.at("value").get<std::string>()};
    }
    return config;
  } catch (const json::exception& error) {
    why.Set(ConfigError::kBadJson, error.what());
    return std::nullopt;
  }
}

}  // namespace almondtally
