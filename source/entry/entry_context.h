#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/random.h"
#include "external/http_table.h"
#include "metrics/metrics.h"
#include "peer/links.h"
#include "placement/job_table.h"
#include "placement/vm_table.h"
#include "routing/target_view.h"
#include "state/config_log.h"
#include "wire/http_client.h"
#include "wire/loop.h"

namespace almondtally {

/// Validated settings of an entry process.
struct EntrySettings {
  EntryId id;
  DataCentreId data_centre;
  Address listen;
  Address advertise;
  Address platform;
  size_t max_body = 1 << 20;
  int64_t max_requests = 2'000;
  Duration drain_limit{30'000};
};

/// Another entry, as read from its row in the table.
struct EntryPeer {
  EntryId id;
  Address address;
  RowVersion row;
  /// When the row was last seen to have changed.
  MonotonicTime changed_at{};
  bool lost = false;
};

/// State of an entry process. All of it can be rebuilt from announcements and
/// the table.
struct EntryContext {
  EntryContext(EventLoop& loop, EntrySettings settings);

  EventLoop& loop;
  EntrySettings settings;
  Random random;
  HttpClient http;
  TableCounters table_counters;
  Table table;
  ConfigLog config;
  PeerLinks links;
  Metrics metrics;
  VmTable vms;
  JobTable board;
  std::map<ServiceId, ServiceTargets> targets;
  RoutingParams routing;
  RetryBudget retries;
  std::map<EntryId, EntryPeer> peers;
  /// Jobs of reported runs that are not on this board and must be looked up.
  std::set<JobId> unknown_jobs;
  /// Jobs not found in the table, and when that was observed.
  std::map<JobId, MonotonicTime> absent_jobs;
  bool draining = false;
  MonotonicTime draining_since{};
};

/// @return the inputs of the job board's functions.
PlacementContext MakeBoardView(EntryContext& context);

}  // namespace almondtally
