#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/random.h"
#include "external/http_table.h"
#include "metrics/metrics.h"
#include "peer/links.h"
#include "placement/job_board.h"
#include "placement/vm_table.h"
#include "routing/target_view.h"
#include "state/config_log.h"
#include "wire/http_client.h"
#include "wire/loop.h"

namespace almondtally {

/// Checked settings of an entry process.
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

/// Another entry, as its row in the table shows it.
struct EntryPeer {
  EntryId id;
  Address address;
  RowVersion row;
  /// When the row was last seen to have changed.
  MonotonicTime changed_at{};
  bool lost = false;
};

/// Everything an entry process holds; all of it can be rebuilt from
/// announcements and the table.
struct EntryContext {
  EntryContext(Loop& loop, EntrySettings settings);

  Loop& loop;
  EntrySettings settings;
  Random random;
  HttpClient http;
  TableCounters table_counters;
  Table table;
  ConfigLog config;
  Links links;
  Metrics metrics;
  VmTable vms;
  JobBoard board;
  std::map<ServiceId, ServiceTargets> targets;
  RoutingParams routing;
  RetryBudget retries;
  std::map<EntryId, EntryPeer> peers;
  /// Reports whose job is not on this board and must be looked up.
  std::set<JobId> unknown_jobs;
  /// Jobs that the table was seen not to have, and when.
  std::map<JobId, MonotonicTime> absent_jobs;
  bool draining = false;
  MonotonicTime draining_since{};
};

/// @return the board's view of the surroundings.
BoardView ViewOf(EntryContext& context);

}  // namespace almondtally
