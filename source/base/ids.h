#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace almondtally {

/// A string identifier with a distinct C++ type for each kind of object, so
/// that identifiers of different kinds cannot be mixed up.
/// @tparam Tag an otherwise unused type that distinguishes the kinds.
template <typename Tag>
struct StrongId {
  std::string value;

  StrongId() = default;
  explicit StrongId(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  auto operator<=>(const StrongId&) const = default;
};

template <typename Tag>
void to_json(nlohmann::json& out, const StrongId<Tag>& id) {
  out = id.value;
}

template <typename Tag>
void from_json(const nlohmann::json& in, StrongId<Tag>& id) {
  in.get_to(id.value);
}

/// An integer with a distinct C++ type for each quantity or unit.
/// @tparam Tag an otherwise unused type that distinguishes the kinds.
template <typename Tag, typename Rep>
struct StrongNumber {
  Rep value{};

  StrongNumber() = default;
  explicit constexpr StrongNumber(Rep number) : value(number) {}

  auto operator<=>(const StrongNumber&) const = default;
  StrongNumber operator+(StrongNumber other) const {
    return StrongNumber(value + other.value);
  }
  StrongNumber operator-(StrongNumber other) const {
    return StrongNumber(value - other.value);
  }
  StrongNumber& operator+=(StrongNumber other) {
    value += other.value;
    return *this;
  }
  StrongNumber& operator-=(StrongNumber other) {
    value -= other.value;
    return *this;
  }
};

template <typename Tag, typename Rep>
void to_json(nlohmann::json& out, const StrongNumber<Tag, Rep>& number) {
  out = number.value;
}

template <typename Tag, typename Rep>
void from_json(const nlohmann::json& in, StrongNumber<Tag, Rep>& number) {
  in.get_to(number.value);
}

using VmId = StrongId<struct VmTag>;
using EntryId = StrongId<struct EntryTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using RackId = StrongId<struct RackTag>;
using TeamId = StrongId<struct TeamTag>;
using ServiceId = StrongId<struct ServiceTag>;
using JobId = StrongId<struct JobTag>;
using RequestId = StrongId<struct RequestTag>;
using ChangeId = StrongId<struct ChangeTag>;

/// Number of placements of one task; increases with each and never decreases.
using Epoch = StrongNumber<struct EpochTag, uint64_t>;
/// Number of fences of one VM; increases with each and never decreases.
using Generation = StrongNumber<struct GenerationTag, uint64_t>;
/// Number of accepted configuration changes.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, uint64_t>;
/// Version of one table row; 0 if the row does not exist.
using RowVersion = StrongNumber<struct RowVersionTag, uint64_t>;

/// Identifies one task of a job.
struct TaskId {
  JobId job;
  uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskId, job, index)

/// @return "job/index", as used in logs and in the worker interface.
inline std::string ToString(const TaskId& task) {
  return task.job.value + "/" + std::to_string(task.index);
}

}  // namespace almondtally

template <typename Tag>
struct std::hash<almondtally::StrongId<Tag>> {
  size_t operator()(const almondtally::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};
