#pragma once

#include "target/target_context.h"

namespace almondtally {

/// Fetches the worker's task list, then reacts to resource pressure. Call a few
/// times a second.
void PollWorker(TargetContext& context);

/// Sends the starts and stops that are due, and evicts runs while the VM is
/// draining. Call on every tick.
void AdvanceTasks(TargetContext& context);

/// Extends the leases of running tasks. Call about once a second.
void RenewLeases(TargetContext& context);

/// Checkpoints and stops all batch runs for a planned shutdown, and executors
/// once no request is open.
void EvictAll(TargetContext& context, const std::string& reason);

/// Handles a start message from an entry.
StartAnswer HandleStart(TargetContext& context, const StartRequest& request);

/// Handles a stop message from an entry.
StartAnswer HandleStop(TargetContext& context, const StopRequest& request);

}  // namespace almondtally
