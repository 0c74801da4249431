#include "base/random.h"

#include <xxhash.h>

#include <cstdio>

namespace almondtally {

Random SeededFromSystem() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return Random(seed);
}

std::string RandomName(Random& random, const std::string& prefix) {
  char buf[17];
  std::snprintf(buf, sizeof buf, "%016llx",
                static_cast<unsigned long long>(random()));
  return prefix + buf;
}

uint64_t StableHash(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace almondtally
