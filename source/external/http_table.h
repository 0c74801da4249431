#pragma once

#include <memory>

#include "external/table.h"
#include "wire/http_client.h"

namespace almondtally {

/// The table service by its HTTP interface.
/// @param counters grows with each call; must outlive the table.
/// @param client must outlive the table.
Table MakeHttpTable(HttpClient& client, Address platform, Duration timeout,
                    TableCounters& counters);

}  // namespace almondtally
