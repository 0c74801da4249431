#include <doctest/doctest.h>

#include "agent/run_table.h"
#include "planner/gateway.h"
#include "planner/memory_store.h"
#include "planner/planner.h"

namespace almondtally::sched {
namespace {

const Address kAgent{"10.0.0.9", 7000};

/// Planners and one agent's run table under one paused clock; messages are
/// carried by function calls.
struct World {
  Loop loop;
  MemoryStore memory;
  Store store = memory.Make();
  Metrics metrics;
  RunTable agent;
  bool agent_reachable = true;
  std::map<Address, Planner*> planners;

  /// Highest fencing number that the worker has seen, and its runs.
  uint64_t worker_fencing = 0;
  std::vector<WorkerRun> worker_runs;

  World() {
    Pause(loop.clock_for_tests());
    memory.Apply({{},
                  {{{table::kAgents, "shard-0", "vm"},
                    EncodeRow(AgentRow{ToString(kAgent), {}})}},
                  {}});
    StartAgent(3);
  }

  void StartAgent(uint64_t life) {
    agent = {};
    agent.life = AgentLife(life);
    agent.started_at = loop.now();
    WorkerHello hello;
    hello.worker.id = WorkerId("w");
    hello.worker.service = ServiceId("pool");
    hello.worker.capacity = {MilliCpu(8'000), Mebibytes(8'000),
                             Accelerators(0)};
    ApplyWorkerHello(agent, loop.now(), hello);
  }

  void Renew() {
    const auto call = BeginRenewal(agent, loop.now());
    if (!call) return;
    if (call->call.fencing < worker_fencing) {
      return HandleRenewalFailure(agent, loop.now(), *call,
                                  {CallOutcome::kFenced, "fence"});
    }
    worker_fencing = call->call.fencing;
    WorkerListing listing;
    listing.clock_ms = loop.now().time_since_epoch().count();
    listing.running = worker_runs;
    ApplyWorkerListing(agent, loop.now(), *call, listing);
  }

  void Advance(Duration by) {
    for (Duration gone{0}; gone < by; gone += Duration(5)) {
      almondtally::Advance(loop.clock_for_tests(), Duration(5));
      loop.RunDueTimers();
    }
  }

  /// Carries messages of one planner's process.
  void Connect(Links& links, bool& alive) {
    links.SetTransport([this, &alive](const Address& to, const char* path,
                                      const std::string& bytes, Duration,
                                      const Links::BytesFn& fn) {
      loop.After(Duration(5), [this, &alive, to, path, bytes, fn] {
        if (!alive) return;
        if (std::string(path) == path::kSync) return Sync(bytes, fn);
        const auto it = planners.find(to);
        WireReason why;
        const auto call = DecodeMessage<JobCall>(bytes, why);
        if (it == planners.end()) {
          return fn(std::nullopt, {WireError::kConnect, "gone"});
        }
        it->second->Handle(*call, [fn](const JobAnswer& answer) {
          fn(EncodeMessage(answer), {});
        });
      });
    });
  }

  void Sync(const std::string& bytes, const Links::BytesFn& fn) {
    WireReason why;
    const auto request = DecodeMessage<SyncRequest>(bytes, why);
    if (!agent_reachable) {
      return fn(std::nullopt, {WireError::kTimeout, "cut"});
    }
    ApplySyncRequest(agent, loop.now(), *request);
    for (const StartCall& call : BeginStartCalls(agent, loop.now())) {
      worker_runs.push_back({call.start.task, call.start.run, "", 100, -1});
      FinishStartCall(agent, loop.now(), call, {});
    }
    Renew();
    fn(EncodeMessage(MakeReport(agent, loop.now(), *request)), {});
  }
};

struct Entry {
  Links links;
  bool alive = true;
  Planner planner;
  Gateway gateway;

  Entry(World& world, const std::string& name, const Address& at)
      : links(world.loop),
        planner(world.loop, links, world.store, world.metrics,
                {EntryId(name), at, Duration(0), Duration(120'000)}),
        gateway(world.loop, links, planner) {
    world.Connect(links, alive);
    world.planners[at] = &planner;
    planner.Start();
  }
};

JobCall Submit(const std::string& id) {
  JobCall call;
  call.verb = JobVerb::kSubmit;
  call.job = JobId(id);
  call.queue = QueueId("q");
  call.spec.id = JobId(id);
  call.spec.queue = call.queue;
  call.spec.steps.resize(1);
  call.spec.steps[0].each = {MilliCpu(1'000), Mebibytes(10), Accelerators(0)};
  call.terms.service = ServiceId("pool");
  return call;
}

struct Answers {
  std::vector<JobAnswer> all;
  Planner::AnswerFn Fn() {
    return [this](const JobAnswer& answer) { all.push_back(answer); };
  }
};

const Address kFirst{"10.0.0.1", 7000};
const Address kSecond{"10.0.0.2", 7000};
constexpr Duration kPatience{3'000};

TEST_CASE("one entry plans, the other passes requests on") {
  World world;
  Entry a(world, "a", kFirst);
  Entry b(world, "b", kSecond);
  world.Advance(Duration(1'000));
  CHECK(a.planner.planning() != b.planner.planning());
  Answers answers;
  b.gateway.Call(Submit("j"), kPatience, answers.Fn());
  a.gateway.Call(Submit("j"), kPatience, answers.Fn());
  world.Advance(Duration(200));
  REQUIRE(answers.all.size() == 2);
  CHECK(answers.all[0].verdict == JobVerdict::kOk);
  CHECK(answers.all[1].verdict == JobVerdict::kOk);
  CHECK(world.agent.runs.size() == 1);
}

TEST_CASE("a job is accepted only once it is stored") {
  World world;
  Entry a(world, "a", kFirst);
  world.Advance(Duration(1'000));
  world.memory.next_error = PlatformError::kRefused;
  Answers answers;
  a.gateway.Call(Submit("j"), kPatience, answers.Fn());
  world.Advance(Duration(50));
  REQUIRE(answers.all.size() == 1);
  CHECK(answers.all[0].verdict == JobVerdict::kUnavailable);
  CHECK(answers.all[0].retry_after_ms > 0);
  world.memory.next_error = PlatformError::kNone;
  world.Advance(Duration(1'000));
  CHECK(world.memory.rows.count({table::kJobs, "shard-0", "j"}) == 0);
  CHECK(world.agent.runs.empty());
}

TEST_CASE("a commit without an answer is never called \"not run\"") {
  World world;
  Entry a(world, "a", kFirst);
  world.Advance(Duration(1'000));
  world.memory.next_error = PlatformError::kUnknown;
  Answers answers;
  a.gateway.Call(Submit("j"), kPatience, answers.Fn());
  world.Advance(Duration(300));
  CHECK(answers.all.empty());
  SUBCASE("the store returns: accepted") {
    world.memory.next_error = PlatformError::kNone;
    world.Advance(Duration(300));
    REQUIRE(answers.all.size() == 1);
    CHECK(answers.all[0].verdict == JobVerdict::kOk);
  }
  SUBCASE("it does not return in time: unknown") {
    world.Advance(kPatience);
    REQUIRE(answers.all.size() == 1);
    CHECK(answers.all[0].verdict == JobVerdict::kUnknown);
  }
}

TEST_CASE("another entry takes over from a planner that dies") {
  World world;
  auto a = std::make_unique<Entry>(world, "a", kFirst);
  world.Advance(Duration(1'000));
  Entry b(world, "b", kSecond);
  Answers answers;
  b.gateway.Call(Submit("j"), kPatience, answers.Fn());
  world.Advance(Duration(300));
  REQUIRE(world.agent.runs.size() == 1);
  a->alive = false;
  world.planners.erase(kFirst);
  a->planner.Retire();
  world.Advance(Duration(2'500));
  CHECK(b.planner.planning());
  // The run goes on; it is neither started again nor forgotten.
  CHECK(world.agent.runs.size() == 1);
  CHECK(world.agent.runs.begin()->second.order.run == RunNumber(1));
  JobCall read;
  read.job = JobId("j");
  b.gateway.Call(read, kPatience, answers.Fn());
  world.Advance(Duration(100));
  REQUIRE(answers.all.size() == 2);
  CHECK(answers.all[1].state == JobState::kRunning);
}

// Trace: maraval inc-4a2b. A draining entry refused its callers for 4 s, since
// the next planner was at an address that it had never heard.
TEST_CASE("an entry that drains still learns who plans") {
  World world;
  Entry a(world, "a", kFirst);
  world.Advance(Duration(1'000));
  Answers answers;
  a.gateway.Call(Submit("j"), kPatience, answers.Fn());
  world.Advance(Duration(300));
  a.planner.Retire();
  world.Advance(Duration(500));
  Entry b(world, "b", kSecond);
  world.Advance(Duration(2'500));
  REQUIRE(b.planner.planning());
  CHECK_FALSE(a.planner.planning());
  JobCall read;
  read.job = JobId("j");
  a.gateway.Call(read, kPatience, answers.Fn());
  world.Advance(Duration(300));
  REQUIRE(answers.all.size() == 2);
  CHECK(answers.all[1].state == JobState::kRunning);
}

TEST_CASE("an agent that restarts goes on where it was") {
  World world;
  Entry a(world, "a", kFirst);
  world.Advance(Duration(1'000));
  Answers answers;
  a.gateway.Call(Submit("j"), kPatience, answers.Fn());
  world.Advance(Duration(300));
  REQUIRE(world.agent.runs.size() == 1);
  world.StartAgent(4);
  world.Advance(Duration(700));
  CHECK(world.agent.settled);
  REQUIRE(world.agent.runs.size() == 1);
  CHECK(world.agent.runs.begin()->second.order.run == RunNumber(1));
  CHECK(world.agent.lease_until > world.loop.now());
}

TEST_CASE("a planner that an agent no longer obeys steps down") {
  World world;
  Entry a(world, "a", kFirst);
  world.Advance(Duration(1'000));
  REQUIRE(a.planner.planning());
  world.memory.next_error = PlatformError::kUnknown;
  SyncRequest newer;
  newer.epoch = PlannerEpoch(9);
  newer.planner_address = ToString(kSecond);
  ApplySyncRequest(world.agent, world.loop.now(), newer);
  world.Advance(Duration(700));
  CHECK_FALSE(a.planner.planning());
  REQUIRE(a.planner.owner());
  CHECK(a.planner.owner()->address == kSecond);
}

TEST_CASE("a cancelled job is stopped and its state recorded") {
  World world;
  Entry a(world, "a", kFirst);
  world.Advance(Duration(1'000));
  Answers answers;
  a.gateway.Call(Submit("j"), kPatience, answers.Fn());
  world.Advance(Duration(200));
  JobCall cancel;
  cancel.verb = JobVerb::kCancel;
  cancel.job = JobId("j");
  a.gateway.Call(cancel, kPatience, answers.Fn());
  world.Advance(Duration(200));
  REQUIRE(answers.all.size() == 2);
  CHECK(answers.all[1].verdict == JobVerdict::kOk);
  CHECK(world.memory.rows.count({table::kProgress, "shard-0", "j"}) == 1);
  CHECK(world.agent.runs.begin()->second.stop_requested);
}

TEST_CASE("an unknown job is unknown") {
  World world;
  Entry a(world, "a", kFirst);
  world.Advance(Duration(1'000));
  Answers answers;
  JobCall read;
  read.job = JobId("nobody");
  a.gateway.Call(read, kPatience, answers.Fn());
  CHECK(answers.all.at(0).verdict == JobVerdict::kUnknownJob);
}

}  // namespace
}  // namespace almondtally::sched
