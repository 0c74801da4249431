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

/// A team and what it may claim in all.
struct TeamConfig {
  Resources quota;
  /// Share of the machines relative to other teams when all want more.
  int64_t weight = 100;
  bool may_submit_urgent = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TeamConfig, quota, weight,
                                                may_submit_urgent)

/// A latency-critical service.
struct ServiceConfig {
  TeamId team;
  int64_t executors = 1;
  Resources each;
  /// Requests at once that one executor takes, as declared.
  int64_t slots = 8;
  /// Requests that may wait at one target.
  int64_t queue = 16;
  /// Time a request may take when its caller names no deadline, in ms.
  int64_t deadline_ms = 10'000;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServiceConfig, team, executors,
                                                each, slots, queue, deadline_ms)

/// What operators ask of one VM.
struct VmConfig {
  bool draining = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VmConfig, draining)

/// Highest fenced generation of one VM.
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
  /// The table could not be used.
  kUnavailable,
};
using ConfigReason = Reason<ConfigError>;

/// One accepted change. An empty value removes the object.
struct ConfigChange {
  ConfigVersion version;
  ChangeId id;
  ConfigKind kind = ConfigKind::kTeam;
  std::string name;
  std::string value;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigChange, version, id, kind,
                                                name, value)

/// Names a configuration object.
struct ConfigKey {
  ConfigKind kind = ConfigKind::kTeam;
  std::string name;

  auto operator<=>(const ConfigKey&) const = default;
};

/// A configuration object with the version that last changed it.
struct ConfigObject {
  ConfigVersion version;
  std::string value;
};

/// A configuration as one process has it in force.
struct Config {
  ConfigVersion version;
  std::map<ConfigKey, ConfigObject> objects;
};

/// Applies the next change.
/// @return false, leaving `config` as it is, unless the change is exactly the
/// successor of the version in force.
bool Apply(Config& config, const ConfigChange& change);

/// Checks the value of an object as an operator gave it.
/// @return the value in normal form, or empty with the field at fault.
std::optional<std::string> CheckValue(ConfigKind kind, const std::string& name,
                                      const std::string& value,
                                      ConfigReason& why);

std::optional<TeamConfig> FindTeam(const Config& config, const TeamId& team);
std::optional<ServiceConfig> FindService(const Config& config,
                                         const ServiceId& service);
std::vector<ServiceId> Services(const Config& config);
/// @return the lowest generation of `vm` that is not fenced.
Generation CurrentGeneration(const Config& config, const VmId& vm);
bool IsDraining(const Config& config, const VmId& vm);

/// Everything in force, as one text.
std::string EncodeSnapshot(const Config& config);
std::optional<Config> DecodeSnapshot(const std::string& text,
                                     ConfigReason& why);

}  // namespace almondtally
