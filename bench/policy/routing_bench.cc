// Drives the real routing decision and the real per-target limit with
// open-loop arrivals and a small model of executors whose service time grows
// while a noisy batch task shares their VM. Prints one CSV line a run.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <queue>
#include <string>
#include <vector>

#include "routing/target_view.h"
#include "settings/setting.h"
#include "target/request_table.h"

namespace almondtally {
namespace {

const ServiceId kService{"sorteggio"};
constexpr int64_t kBearable = 8;

/// One policy to be compared: the product, a baseline or an ablation.
struct Policy {
  std::string name;
  enum class Choice {
    kProduct,
    kRandom,
    kRoundRobin,
    kLeastConnections
  } choice;
  bool adaptive = true;
  bool local_first = true;
  bool budget = true;
};

/// One deployment of the brief, or the target size.
struct Deployment {
  std::string name;
  size_t targets = 10;
  double between_ms = 5;
  double arrivals_per_s = 700;
};

struct Trouble {
  std::string name;
  bool noisy = false;
  int64_t declared = kBearable;
};

struct SimTarget {
  VmId vm;
  DataCentreId data_centre;
  RequestTable requests;
  Incarnation incarnation;
};

struct SimRequest {
  double arrived_ms = 0;
  size_t at = 0;
  std::vector<VmId> tried;
  bool counted = false;
};

struct Event {
  double at_ms;
  enum class Kind { kArrive, kReach, kDone, kAnswered, kAnnounce } kind;
  size_t request = 0;
  size_t target = 0;
  bool operator<(const Event& other) const { return at_ms > other.at_ms; }
};

struct Result {
  std::vector<double> latencies_ms;
  int64_t refused = 0;
};

MonotonicTime At(double ms) {
  return MonotonicTime(Duration(1'000'000 + static_cast<int64_t>(ms)));
}

class Simulation {
 public:
  Simulation(Policy policy, Deployment deployment, Trouble trouble,
             uint64_t seed)
      : policy_(std::move(policy)),
        deployment_(std::move(deployment)),
        trouble_(std::move(trouble)),
        arrivals_(seed),
        service_(seed + 1),
        choice_(seed + 2) {
    budget_.hundredths = 1'000;
    for (size_t i = 0; i < deployment_.targets; ++i) AddTarget(i);
    if (!policy_.local_first) params_.remote_penalty = 0;
  }

  Result Run(double seconds) {
    end_ms_ = seconds * 1'000;
    Push({0, Event::Kind::kArrive});
    for (size_t i = 0; i < targets_.size(); ++i) {
      Push({0.1 * static_cast<double>(i), Event::Kind::kAnnounce, 0, i});
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ms_ = event.at_ms;
      Handle(event);
    }
    return std::move(result_);
  }

 private:
  void AddTarget(size_t i) {
    SimTarget target;
    target.vm = VmId("vm-" + std::to_string(i));
    target.data_centre = DataCentreId("dc-" + std::to_string(i % 3));
    ServiceQueue& queue = target.requests.services[kService];
    queue.declared_slots = trouble_.declared;
    queue.declared_queue = 16;
    if (!policy_.adaptive) {
      queue.adaptive.limit = trouble_.declared;
    }
    Announcement announce;
    announce.vm = target.vm;
    announce.data_centre = target.data_centre;
    UpdateTargetLoad(view_, announce, CollectServiceLoads(target.requests)[0],
                     At(-10'000));
    targets_.push_back(std::move(target));
  }

  TargetLoad& View(size_t i) { return *FindTarget(view_, targets_[i].vm); }

  void Push(Event event) { events_.push(event); }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Event::Kind::kArrive:
        return Arrive();
      case Event::Kind::kReach:
        return Reach(event.request, event.target);
      case Event::Kind::kDone:
        return Done(event.request, event.target);
      case Event::Kind::kAnswered:
        return Answered(event.request, event.target);
      case Event::Kind::kAnnounce:
        return AnnounceLoad(event.target);
    }
  }

  void Arrive() {
    if (now_ms_ >= end_ms_) return;
    std::exponential_distribution<double> gap(deployment_.arrivals_per_s /
                                              1'000);
    Push({now_ms_ + gap(arrivals_), Event::Kind::kArrive});
    SimRequest request;
    request.arrived_ms = now_ms_;
    requests_.push_back(request);
    AddRetryCredit(budget_, params_);
    Route(requests_.size() - 1);
  }

  std::optional<size_t> Choose(const SimRequest& request) {
    std::vector<size_t> open;
    for (size_t i = 0; i < targets_.size(); ++i) {
      const bool tried = std::find(request.tried.begin(), request.tried.end(),
                                   targets_[i].vm) != request.tried.end();
      if (!tried) open.push_back(i);
    }
    if (open.empty()) return std::nullopt;
    std::uniform_int_distribution<size_t> draw(0, open.size() - 1);
    switch (policy_.choice) {
      case Policy::Choice::kRandom:
        return open[draw(choice_)];
      case Policy::Choice::kRoundRobin:
        return open[next_++ % open.size()];
      case Policy::Choice::kLeastConnections:
        return *std::min_element(open.begin(), open.end(), [&](auto a, auto b) {
          return View(a).in_flight < View(b).in_flight;
        });
      case Policy::Choice::kProduct:
        break;
    }
    std::string why;
    const auto choice = ChooseTarget(view_, DataCentreId("dc-0"), request.tried,
                                     params_, At(now_ms_), choice_, why);
    if (!choice) return std::nullopt;
    for (size_t i = 0; i < targets_.size(); ++i) {
      if (targets_[i].vm == choice->vm) return i;
    }
    return std::nullopt;
  }

  double Hop(size_t target) const {
    const bool local = targets_[target].data_centre == DataCentreId("dc-0");
    return local ? 0.2 : deployment_.between_ms;
  }

  void Route(size_t id) {
    const auto target = Choose(requests_[id]);
    if (!target) {
      ++result_.refused;
      return;
    }
    ++View(*target).in_flight;
    Push({now_ms_ + Hop(*target), Event::Kind::kReach, id, *target});
  }

  void Reach(size_t id, size_t at) {
    SimTarget& target = targets_[at];
    RequestArrival arrival{kService, RequestId(Name(id)), false,
                           Duration(5'000), At(now_ms_)};
    const auto verdict =
        AdmitRequest(target.requests, At(now_ms_), arrival).verdict;
    if (verdict == AdmitVerdict::kRun) return StartWork(id, at);
    if (verdict == AdmitVerdict::kWait) return;
    --View(at).in_flight;
    requests_[id].tried.push_back(target.vm);
    const bool again =
        policy_.budget ? requests_[id].tried.size() < 4 && TryTakeRetry(budget_)
                       : requests_[id].tried.size() < 10;
    if (!again) {
      ++result_.refused;
      return;
    }
    Route(id);
  }

  std::string Name(size_t id) const {
    return std::to_string(id) + "/" +
           std::to_string(requests_[id].tried.size());
  }

  /// Time on the executor: more at once than it bears makes all slower, and
  /// so does a noisy neighbour, which visits each VM in turn.
  double WorkMs(size_t at) {
    std::lognormal_distribution<double> draw(std::log(18.0), 0.5);
    const auto in_use =
        static_cast<double>(targets_[at].requests.services[kService].in_use);
    const double crowd =
        std::max(1.0, std::pow(in_use / static_cast<double>(kBearable), 1.5));
    const auto turn = static_cast<size_t>(now_ms_ / 4'000) % targets_.size();
    const bool pressed =
        trouble_.noisy && (at + targets_.size() - turn) % targets_.size() <
                              std::max<size_t>(1, targets_.size() / 4);
    return draw(service_) * crowd * (pressed ? 4.0 : 1.0);
  }

  void StartWork(size_t id, size_t at) {
    Push({now_ms_ + WorkMs(at), Event::Kind::kDone, id, at});
  }

  void Done(size_t id, size_t at) {
    SimTarget& target = targets_[at];
    FinishRequest(target.requests, At(now_ms_), kService, RequestId(Name(id)),
                  RequestOutcome::kRan, {});
    if (!policy_.adaptive) {
      ServiceQueue& queue = target.requests.services[kService];
      queue.adaptive.limit = trouble_.declared;
    }
    Push({now_ms_ + Hop(at), Event::Kind::kAnswered, id, at});
    while (const auto next =
               DequeueRequest(target.requests, At(now_ms_), kService)) {
      StartWork(std::stoul(next->value), at);
    }
  }

  void Answered(size_t id, size_t at) {
    TargetLoad& load = View(at);
    --load.in_flight;
    // Load rides on answers.
    const auto loads = CollectServiceLoads(targets_[at].requests);
    load.limit = loads[0].limit;
    load.announced = loads[0].in_use + loads[0].queued;
    load.in_flight_at_announce = load.in_flight;
    const double took = now_ms_ - requests_[id].arrived_ms;
    RecordLatency(load, Duration(static_cast<int64_t>(took)));
    result_.latencies_ms.push_back(took);
  }

  void AnnounceLoad(size_t at) {
    if (now_ms_ < end_ms_) {
      Push({now_ms_ + 2'000, Event::Kind::kAnnounce, 0, at});
    }
    Announcement announce;
    announce.vm = targets_[at].vm;
    announce.data_centre = targets_[at].data_centre;
    UpdateTargetLoad(view_, announce,
                     CollectServiceLoads(targets_[at].requests)[0],
                     At(now_ms_));
    RunMaintenance(targets_[at].requests, At(now_ms_));
  }

  Policy policy_;
  Deployment deployment_;
  Trouble trouble_;
  RoutingParams params_;
  Random arrivals_;
  Random service_;
  Random choice_;
  RetryBudget budget_;
  ServiceTargets view_;
  std::vector<SimTarget> targets_;
  std::vector<SimRequest> requests_;
  std::priority_queue<Event> events_;
  Result result_;
  size_t next_ = 0;
  double now_ms_ = 0;
  double end_ms_ = 0;
};

double Percentile(std::vector<double>& values, double part) {
  if (values.empty()) return 0;
  const auto at =
      static_cast<size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<int64_t>(at),
                   values.end());
  return values[at];
}

int Main(const std::vector<std::string>& args) {
  using enum SettingKind;
  const std::vector<SettingInfo> infos = {
      {"seeds", kNumber, "10", false, 1, 1'000, "number of seeds"},
      {"seconds", kNumber, "60", false, 1, 3'600, "simulated seconds"}};
  SettingsReason why;
  const auto settings = Settings::Read(infos, args, why);
  if (!settings) {
    std::fprintf(stderr, "%s\n", why.text.c_str());
    return 2;
  }
  using Choice = Policy::Choice;
  const std::vector<Policy> policies = {
      {"product", Choice::kProduct},
      {"no-adaptive-limit", Choice::kProduct, false},
      {"no-local-first", Choice::kProduct, true, false},
      {"unlimited-retries", Choice::kProduct, true, true, false},
      {"random", Choice::kRandom, false, false, false},
      {"round-robin", Choice::kRoundRobin, false, false, false},
      {"least-connections", Choice::kLeastConnections, false, false, false}};
  // The load is 60% of what the executors bear.
  const std::vector<Deployment> deployments = {{"legnami", 10, 5, 2'300},
                                               {"maraval", 10, 4, 2'300}};
  const std::vector<Trouble> troubles = {{"calm"},
                                         {"noisy", true},
                                         {"declared-10x", false, 80},
                                         {"noisy-declared-10x", true, 80}};
  std::printf(
      "deployment,trouble,policy,seed,p50_ms,p99_ms,answered,refused\n");
  for (const Deployment& deployment : deployments) {
    for (const Trouble& trouble : troubles) {
      for (const Policy& policy : policies) {
        for (int64_t seed = 1; seed <= settings->Number("seeds"); ++seed) {
          Simulation run(policy, deployment, trouble,
                         static_cast<uint64_t>(seed) * 1'000);
          Result result =
              run.Run(static_cast<double>(settings->Number("seconds")));
          std::printf("%s,%s,%s,%lld,%.2f,%.2f,%zu,%lld\n",
                      deployment.name.c_str(), trouble.name.c_str(),
                      policy.name.c_str(), static_cast<long long>(seed),
                      Percentile(result.latencies_ms, 0.5),
                      Percentile(result.latencies_ms, 0.99),
                      result.latencies_ms.size(),
                      static_cast<long long>(result.refused));
        }
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace almondtally

int main(int argc, char** argv) {
  return almondtally::Main({argv + 1, argv + argc});
}
