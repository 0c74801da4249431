#include <doctest/doctest.h>

#include "platform/config_feed.h"
#include "platform/job_requests.h"
#include "platform/json_text.h"
#include "platform/worker_hello.h"

namespace almondtally::platform {
namespace {

const Address kWorker{"10.0.0.9", 8165};
const ServiceId kService{"huvo11a"};

HttpRequest Heartbeat(const std::string& body) {
  return {"POST", "/Instances.Heartbeat/i-1", {}, body};
}

std::string GoodBeat(const std::string& more = "") {
  return R"({"backend":"huvo11a","address":"10.0.0.9:8165","state":"ready",)"
         R"("capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],)"
         R"("born":1000)" +
         more + "}";
}

TEST_CASE("a heartbeat names the worker, its room and its rack") {
  const auto notice = ReadNotice(Heartbeat(GoodBeat()), kWorker, kService);
  REQUIRE(notice);
  CHECK(notice->hello.worker.id == sched::WorkerId("i-1"));
  CHECK(notice->hello.worker.capacity.cpu == MilliCpu(16'000));
  CHECK(notice->hello.worker.rack == RackId("r1-3"));
  CHECK(notice->hello.born_ms == 1'000);
  CHECK_FALSE(notice->hello.worker.draining);
}

TEST_CASE("garbage names no worker") {
  const std::string good = GoodBeat();
  for (const std::string& body :
       {std::string(), std::string("\xff\xfe"), std::string("[1]"),
        good.substr(0, good.size() / 2), std::string("{}"),
        std::string(R"({"backend":"huvo11a","state":7})")}) {
    CHECK_FALSE(ReadNotice(Heartbeat(body), kWorker, kService));
  }
  std::string other = good;
  other.replace(other.find("ready"), 5, "sober");
  CHECK_FALSE(ReadNotice(Heartbeat(other), kWorker, kService));
  CHECK_FALSE(ReadNotice(Heartbeat(good), kWorker, ServiceId("else")));
  CHECK_FALSE(ReadNotice(Heartbeat(good), {"10.0.0.8", 1}, kService));
}

sched::QueueConfig Config() {
  const auto config = ReadConfig(
      R"({"version":7,"routes":[
        {"name":"q1","host":"h.example","pathPrefix":"/a/","timeoutMs":3000,
         "backend":"huvo11a","priority":2,"maxAttempts":4,"stretch":1.5,
         "targetLatencyMs":300},
        {"name":"q2","host":"h.example","pathPrefix":"/a/b/",
         "backend":"huvo11a"}]})");
  REQUIRE(config);
  return *config;
}

TEST_CASE("a configuration is decoded into routes and terms") {
  const auto config = Config();
  CHECK(config.version == ConfigVersion(7));
  REQUIRE(config.routes.size() == 2);
  CHECK(config.routes[0].terms.priority == 2);
  CHECK(config.routes[0].terms.stretch == doctest::Approx(1.5));
  CHECK_FALSE(ReadConfig("not json"));
  CHECK_FALSE(ReadConfig("{}"));
}

std::optional<JobRequest> Read(HttpRequest request, RequestFault& fault) {
  request.authority = "h.example:80";
  std::string reason;
  fault = RequestFault::kNone;
  return ReadJobRequest(Config(), request, fault, reason);
}

constexpr const char* kJob = "0123456789abcdef";

TEST_CASE("the longest prefix selects the queue") {
  RequestFault fault;
  const auto job = Read({"GET", std::string("/a/b/") + kJob, {}, ""}, fault);
  REQUIRE(job);
  CHECK(job->call.queue == sched::QueueId("q2"));
  CHECK(job->call.verb == sched::JobVerb::kRead);
  const auto count = Read({"GET", "/a/", {}, ""}, fault);
  REQUIRE(count);
  CHECK(count->call.verb == sched::JobVerb::kCount);
  CHECK_FALSE(Read({"GET", "/none/", {}, ""}, fault));
  CHECK(fault == RequestFault::kNoRoute);
  CHECK_FALSE(Read({"GET", "/a/short", {}, ""}, fault));
  CHECK(fault == RequestFault::kMalformed);
}

TEST_CASE("a submitted job keeps every field") {
  RequestFault fault;
  const auto request =
      Read({"POST",
            std::string("/a/") + kJob,
            {{"x-deadline-ms", "1000"}},
            R"({"spec":"s","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,
         "estimateMs":900,"checkpointing":true,"gang":true,"sameRack":true,
         "requirements":"a","affinity":"r1","maxPerServer":2,
         "speculative":true,"image":"i","targetMs":18,"fills":true,
         "mayMiss":1},{"count":1,"after":[0],"longRunning":true}],
         "repeatCount":3,"firstRunMs":5,"intervalMs":6})"},
           fault);
  REQUIRE(request);
  const auto& spec = request->call.spec;
  CHECK(spec.payload == "s");
  CHECK(spec.occurrences == 3);
  REQUIRE(spec.steps.size() == 2);
  const auto& step = spec.steps[0];
  CHECK(step.each.accelerators == Accelerators(1));
  CHECK(step.checkpoints);
  CHECK(step.gang);
  CHECK(step.one_rack);
  CHECK(step.required_label == "a");
  CHECK(step.data_rack == "r1");
  CHECK(step.max_per_vm == 2);
  CHECK(step.copies_allowed);
  CHECK(step.tail_target_ms == 18);
  CHECK(step.filler);
  CHECK(step.disruption_limit == 1);
  CHECK(spec.steps[1].after == std::vector<uint32_t>{0});
  CHECK(spec.steps[1].lasting);
  CHECK(spec.steps[1].disruption_limit == -1);
  CHECK(request->patience == Duration(900));
}

TEST_CASE("bodies that are no job are refused with a reason") {
  for (const char* body : {"", "x", "{}", R"({"steps":[1]})"}) {
    RequestFault fault;
    CHECK_FALSE(Read({"POST", std::string("/a/") + kJob, {}, body}, fault));
    CHECK(fault == RequestFault::kMalformed);
  }
}

TEST_CASE("values of rows survive base64") {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\x01", 3)}) {
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  CHECK_FALSE(DecodeBase64("!"));
}

}  // namespace
}  // namespace almondtally::platform
