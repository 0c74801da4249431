#pragma once

#include <map>
#include <string>
#include <vector>

#include "sched/job.h"

namespace almondtally::sched {

/// Where callers reach a queue.
struct QueueRoute {
  QueueId queue;
  std::string host;
  std::string path_prefix;
  /// Longest time that a request may take; 0 for no limit.
  int64_t timeout_ms = 0;
  QueueTerms terms;
};

/// The operators' configuration of queues.
struct QueueConfig {
  ConfigVersion version;
  std::vector<QueueRoute> routes;
};

/// Finds the route of a request: same host, longest prefix of the path.
/// @return null if there is none.
const QueueRoute* FindRoute(const QueueConfig& config, const std::string& host,
                            const std::string& path);

/// @return the terms of all queues by name.
std::map<QueueId, QueueTerms> TermsByQueue(const QueueConfig& config);

}  // namespace almondtally::sched
