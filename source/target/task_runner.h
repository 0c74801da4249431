#pragma once

#include "target/target_context.h"

namespace almondtally {

/// Asks the worker for its list, then weighs pressure. Call a few times a
/// second.
void PollWorker(TargetContext& context);

/// Sends the starts, stops and renewals that are due. Call each tick.
void RunTaskSystems(TargetContext& context);

/// Moves the leases of running tasks. Call about once a second.
void RenewLeases(TargetContext& context);

/// Checkpoints and ends all batch runs, for a planned stop.
void EvictAll(TargetContext& context, const std::string& reason);

/// Answers a start message of an entry.
StartAnswer HandleStart(TargetContext& context, const StartRequest& request);

/// Answers a stop message of an entry.
StartAnswer HandleStop(TargetContext& context, const StopRequest& request);

}  // namespace almondtally
