#pragma once

#include <map>
#include <string>
#include <vector>

#include "sched/job.h"

namespace almondtally::sched {

/// The host and path under which callers reach a queue.
struct QueueRoute {
  QueueId queue;
  std::string host;
  std::string path_prefix;
  /// Time limit of a request; 0 for no limit.
  int64_t timeout_ms = 0;
  QueueTerms terms;
};

/// The queue configuration as set by operators.
struct QueueConfig {
  ConfigVersion version;
  std::vector<QueueRoute> routes;
};

/// @return the route with the same host and the longest matching path prefix;
/// null if there is none.
const QueueRoute* FindRoute(const QueueConfig& config, const std::string& host,
                            const std::string& path);

/// @return the terms of all queues, by queue id.
std::map<QueueId, QueueTerms> TermsByQueue(const QueueConfig& config);

}  // namespace almondtally::sched
