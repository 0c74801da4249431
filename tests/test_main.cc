#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "base/log.h"

int main(int argc, char** argv) {
  almondtally::InitLog("test", almondtally::LogLevel::kOff);
  return doctest::Context(argc, argv).run();
}
