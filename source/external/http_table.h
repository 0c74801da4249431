#pragma once

#include <memory>

#include "external/table.h"
#include "wire/http_client.h"

namespace almondtally {

/// Creates a client of the platform's table over HTTP.
/// @param client must outlive the table.
/// @param counters updated by each call; must outlive the table.
Table MakeHttpTable(HttpClient& client, Address platform, Duration timeout,
                    TableCounters& counters);

}  // namespace almondtally
