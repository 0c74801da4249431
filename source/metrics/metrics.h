#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "base/clock.h"

namespace almondtally {

/// Metrics of one process, exported at /metrics.
class Metrics {
 public:
  Metrics();

  /// Counts a finished request and records its latency.
  void CountRequest(const std::string& service, const std::string& outcome,
                    Duration latency);
  void CountRefusal(const std::string& reason);
  void CountRetry();
  void CountBadInput();
  void CountTaskEvent(const std::string& event);

  /// Records how long a planning pass held the event loop.
  void ObservePlanningPass(Duration duration);

  void SetGauge(const std::string& name, double value);

  /// @return all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Histogram& planning_pass_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& events_;
  prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace almondtally
