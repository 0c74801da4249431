#pragma once

#include "external/worker.h"
#include "wire/http_client.h"

namespace almondtally {

/// Creates a client of the worker of one VM over HTTP.
/// @param client must outlive the worker.
Worker MakeHttpWorker(HttpClient& client, Address worker, Duration timeout);

}  // namespace almondtally
