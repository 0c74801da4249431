#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "settings/setting.h"

namespace almondtally {

/// Answer of an entry's admin API.
struct AdminAnswer {
  /// HTTP status; 0 if there was no answer.
  int status = 0;
  nlohmann::json body;
  /// Error text if there was no answer.
  std::string error;

  bool ok() const { return status >= 200 && status < 300; }
};

/// Calls the admin API of one entry and blocks until the answer arrives.
/// @param body sent as JSON unless it is null.
AdminAnswer CallAdmin(const Address& entry, const std::string& method,
                      const std::string& path, const nlohmann::json& body);

}  // namespace almondtally
