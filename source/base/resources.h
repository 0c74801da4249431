#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "base/ids.h"

namespace almondtally {

/// Thousandths of a processor.
using MilliCpu = StrongNumber<struct MilliCpuTag, int64_t>;
/// Memory in MiB.
using Mebibytes = StrongNumber<struct MebibytesTag, int64_t>;
/// Whole accelerators.
using Accelerators = StrongNumber<struct AcceleratorsTag, int64_t>;

/// What a task claims or a VM has.
struct Resources {
  MilliCpu cpu;
  Mebibytes memory;
  Accelerators accelerators;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other) {
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
  }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources, cpu, memory,
                                                accelerators)

inline Resources operator+(Resources a, const Resources& b) { return a += b; }
inline Resources operator-(Resources a, const Resources& b) { return a -= b; }

/// @return true if every part of `need` is within `have`.
inline bool Fits(const Resources& need, const Resources& have) {
  return need.cpu <= have.cpu && need.memory <= have.memory &&
         need.accelerators <= have.accelerators;
}

}  // namespace almondtally
