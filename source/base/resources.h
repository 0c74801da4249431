#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "base/ids.h"

namespace almondtally {

/// CPU time in thousandths of a processor.
using MilliCpu = StrongNumber<struct MilliCpuTag, int64_t>;
/// Memory in MiB.
using Mebibytes = StrongNumber<struct MebibytesTag, int64_t>;
/// Number of accelerators.
using Accelerators = StrongNumber<struct AcceleratorsTag, int64_t>;

/// Resources that a task claims or a VM provides.
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

/// @return true if no component of `required` exceeds that of `available`.
inline bool Fits(const Resources& required, const Resources& available) {
  return required.cpu <= available.cpu && required.memory <= available.memory &&
         required.accelerators <= available.accelerators;
}

}  // namespace almondtally
