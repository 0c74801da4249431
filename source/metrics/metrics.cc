#include "metrics/metrics.h"

#include <prometheus/text_serializer.h>

namespace almondtally {
namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

constexpr double kMillisPerSecond = 1'000.0;

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      latency_(prometheus::BuildHistogram()
                   .Name("almondtally_request_seconds")
                   .Help("time from a caller's request to the end of its "
                         "answer")
                   .Register(*registry_)),
      planning_pass_(prometheus::BuildHistogram()
                         .Name("almondtally_planning_pass_seconds")
                         .Help("time for which a planning pass held the event "
                               "loop")
                         .Register(*registry_)
                         .Add({}, kLatencySeconds)),
      requests_(prometheus::BuildCounter()
                    .Name("almondtally_requests_total")
                    .Help("callers' requests by service and outcome")
                    .Register(*registry_)),
      refusals_(prometheus::BuildCounter()
                    .Name("almondtally_refusals_total")
                    .Help("refused requests by reason")
                    .Register(*registry_)),
      events_(prometheus::BuildCounter()
                  .Name("almondtally_events_total")
                  .Help("retries, bad input, and what happened to tasks")
                  .Register(*registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("almondtally_state")
                  .Help("present state of this process by name")
                  .Register(*registry_)) {}

void Metrics::CountRequest(const std::string& service,
                           const std::string& outcome, Duration latency) {
  requests_.Add({{"service", service}, {"outcome", outcome}}).Increment();
  latency_.Add({{"service", service}}, kLatencySeconds)
      .Observe(static_cast<double>(latency.count()) / kMillisPerSecond);
}

void Metrics::CountRefusal(const std::string& reason) {
  refusals_.Add({{"reason", reason}}).Increment();
}

void Metrics::CountRetry() { events_.Add({{"event", "retry"}}).Increment(); }

void Metrics::CountBadInput() {
  events_.Add({{"event", "bad_input"}}).Increment();
}

void Metrics::CountTaskEvent(const std::string& event) {
  events_.Add({{"event", event}}).Increment();
}

void Metrics::ObservePlanningPass(Duration duration) {
  planning_pass_.Observe(static_cast<double>(duration.count()) /
                         kMillisPerSecond);
}

void Metrics::SetGauge(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace almondtally
