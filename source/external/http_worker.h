#pragma once

#include "external/worker.h"
#include "wire/http_client.h"

namespace almondtally {

/// The worker of one VM by its HTTP interface.
/// @param client must outlive the worker.
Worker MakeHttpWorker(HttpClient& client, Address worker, Duration timeout);

}  // namespace almondtally
