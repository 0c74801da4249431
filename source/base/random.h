#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace almondtally {

using Random = std::mt19937_64;

/// @return a generator seeded from the operating system's entropy source.
Random SeededFromSystem();

/// @return `prefix` followed by 16 random hexadecimal digits.
std::string RandomName(Random& random, const std::string& prefix);

/// @return a 64-bit hash (XXH64) that is the same in every process.
uint64_t StableHash(const std::string& text);

}  // namespace almondtally
