#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/resources.h"

namespace almondtally {

/// Kinds of configuration objects.
enum class ConfigKind : uint8_t { kTeam, kService, kVm, kFence };
NLOHMANN_JSON_SERIALIZE_ENUM(ConfigKind, {{ConfigKind::kTeam, "team"},
                                          {ConfigKind::kService, "service"},
                                          {ConfigKind::kVm, "vm"},
                                          {ConfigKind::kFence, "fence"}})

/// A team's quota and share of the capacity.
struct TeamConfig {
  Resources quota;
  /// Relative share of the capacity when teams compete for it.
  int64_t weight = 100;
  bool may_submit_urgent = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TeamConfig, quota, weight,
                                                may_submit_urgent)

/// A latency-critical service.
struct ServiceConfig {
  TeamId team;
  int64_t executors = 1;
  /// Resources reserved for one executor.
  Resources each;
  /// Declared number of concurrent requests that one executor can handle.
  int64_t slots = 8;
  /// Maximum number of requests that wait in the queue of one target.
  int64_t queue = 16;
  /// Default deadline in ms, for requests whose caller sets none.
  int64_t deadline_ms = 10'000;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceConfig, team, executors,
                                                each, slots, queue, deadline_ms)

/// Operator settings of one VM.
struct VmConfig {
  bool draining = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmConfig, draining)

/// The highest fenced generation of one VM.
struct FenceConfig {
  Generation generation;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FenceConfig, generation)

enum class ConfigError : uint8_t {
  kNone,
  kBadJson,
  kBadValue,
  kUnknownField,
  kConflict,
  /// The platform's table could not be read or written.
  kUnavailable,
};
using ConfigReason = Reason<ConfigError>;

/// One committed change. An empty value deletes the object.
struct ConfigChange {
  ConfigVersion version;
  ChangeId id;
  ConfigKind kind = ConfigKind::kTeam;
  std::string name;
  std::string value;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigChange, version, id, kind,
                                                name, value)

/// Identifies a configuration object.
struct ConfigKey {
  ConfigKind kind = ConfigKind::kTeam;
  std::string name;

  auto operator<=>(const ConfigKey&) const = default;
};

/// A configuration object and the version of its last change.
struct ConfigObject {
  ConfigVersion version;
  std::string value;
};

/// The configuration that one process has applied.
struct Config {
  ConfigVersion version;
  std::map<ConfigKey, ConfigObject> objects;
};

/// Applies the next change.
/// @return false, with `config` unchanged, if the version of `change` is not
/// the current version plus one.
bool Apply(Config& config, const ConfigChange& change);

/// Validates the JSON value of an object as submitted by an operator.
/// @return the value with all defaults filled in, or empty with the invalid
/// field in `why`.
std::optional<std::string> ValidateConfigValue(ConfigKind kind,
                                               const std::string& name,
                                               const std::string& value,
                                               ConfigReason& why);

std::optional<TeamConfig> FindTeam(const Config& config, const TeamId& team);
std::optional<ServiceConfig> FindService(const Config& config,
                                         const ServiceId& service);
std::vector<ServiceId> Services(const Config& config);
/// @return the lowest generation of `vm` that is not fenced; 1 if `vm` was
/// never fenced.
Generation CurrentGeneration(const Config& config, const VmId& vm);
bool IsDraining(const Config& config, const VmId& vm);

/// Serializes the whole configuration as JSON.
std::string EncodeSnapshot(const Config& config);
std::optional<Config> DecodeSnapshot(const std::string& text,
                                     ConfigReason& why);

}  // namespace almondtally
