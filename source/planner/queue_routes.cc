#include "planner/queue_routes.h"

namespace almondtally::sched {

const QueueRoute* FindRoute(const QueueConfig& config, const std::string& host,
                            const std::string& path) {
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : config.routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    const bool longer =
        best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &route;
  }
  return best;
}

std::map<QueueId, QueueTerms> TermsByQueue(const QueueConfig& config) {
  std::map<QueueId, QueueTerms> out;
  for (const QueueRoute& route : config.routes) {
    out[route.queue] = route.terms;
  }
  return out;
}

}  // namespace almondtally::sched
