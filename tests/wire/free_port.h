#pragma once

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace almondtally {

/// @return a loopback port that nothing listens on.
inline uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&sin), sizeof sin) == 0);
  socklen_t n = sizeof sin;
  getsockname(fd, reinterpret_cast<sockaddr*>(&sin), &n);
  close(fd);
  return ntohs(sin.sin_port);
}

}  // namespace almondtally
