#pragma once

#include <map>
#include <set>
#include <string>

#include "base/random.h"
#include "external/worker.h"
#include "metrics/metrics.h"
#include "peer/links.h"
#include "state/config.h"
#include "target/pressure.h"
#include "target/request_table.h"
#include "target/task_table.h"
#include "wire/http_client.h"
#include "wire/loop.h"

namespace almondtally {

/// Validated settings of a target process.
struct TargetSettings {
  VmId vm;
  DataCentreId data_centre;
  RackId rack;
  Address listen;
  Address advertise;
  Address worker;
  std::vector<Address> entries;
  Duration announce_every{2'400};
  Duration drain_limit{30'000};
};

/// The configuration that this target applies.
struct TargetConfig {
  ConfigVersion version;
  std::map<ServiceId, ServiceConfig> services;
  bool draining = false;
};

/// One entry to which this target sends announcements.
struct EntryContact {
  EntryId id;
  bool is_seed = false;
  bool in_flight = false;
  MonotonicTime next_announce{};
  MonotonicTime last_answer{};
};

/// All state of a target process.
struct TargetContext {
  TargetContext(EventLoop& loop, TargetSettings settings, Worker worker);

  EventLoop& loop;
  TargetSettings settings;
  Worker worker;
  HttpClient http;
  PeerLinks links;
  Metrics metrics;
  Random random;
  TargetConfig config;
  TaskTable tasks;
  RequestTable requests;
  PressureLimits pressure_limits;
  PressureState pressure;
  std::map<Address, EntryContact> entries;
  bool listing_in_flight = false;
  /// Whether the target was ready when announcements were last considered.
  bool was_ready = false;
  bool leaving = false;
  MonotonicTime leaving_since{};
};

}  // namespace almondtally
