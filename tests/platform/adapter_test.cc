#include <doctest/doctest.h>

#include "platform/config_feed.h"
#include "platform/intake.h"
#include "platform/job_requests.h"
#include "platform/json_text.h"
#include "platform/worker_client.h"
#include "platform/worker_heartbeat.h"

namespace almondtally::platform {
namespace {

const Address kWorker{"10.0.0.9", 8165};
const ServiceId kService{"huvo11a"};

HttpRequest HeartbeatRequest(const std::string& body) {
  return {"POST", "/Instances.Heartbeat/i-1", {}, body};
}

std::string HeartbeatBody(const std::string& extra_fields = "") {
  return R"({"backend":"huvo11a","address":"10.0.0.9:8165","state":"ready",)"
         R"("capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],)"
         R"("born":1000)" +
         extra_fields + "}";
}

TEST_CASE("a heartbeat gives the worker's id, capacity and rack") {
  const auto message =
      DecodeWorkerMessage(HeartbeatRequest(HeartbeatBody()), kWorker, kService);
  REQUIRE(message);
  CHECK(message->heartbeat.worker.id == sched::WorkerId("i-1"));
  CHECK(message->heartbeat.worker.capacity.cpu == MilliCpu(16'000));
  CHECK(message->heartbeat.worker.rack == RackId("r1-3"));
  CHECK(message->heartbeat.born_ms == 1'000);
  CHECK_FALSE(message->heartbeat.worker.draining);
}

TEST_CASE("a heartbeat gives its sequence number, if it has one") {
  const auto sequence_of = [](const std::string& extra_fields) {
    const auto message = DecodeWorkerMessage(
        HeartbeatRequest(HeartbeatBody(extra_fields)), kWorker, kService);
    REQUIRE(message);
    return message->heartbeat.sequence;
  };
  CHECK(sequence_of(R"(,"sequence":4)") == std::optional<uint64_t>(4));
  CHECK_FALSE(sequence_of(""));
  CHECK_FALSE(sequence_of(R"(,"sequence":"4")"));
  CHECK_FALSE(sequence_of(R"(,"sequence":-4)"));
}

TEST_CASE("malformed and foreign heartbeats are rejected") {
  const std::string valid = HeartbeatBody();
  for (const std::string& body :
       {std::string(), std::string("\xff\xfe"), std::string("[1]"),
        valid.substr(0, valid.size() / 2), std::string("{}"),
        std::string(R"({"backend":"huvo11a","state":7})")}) {
    CHECK_FALSE(DecodeWorkerMessage(HeartbeatRequest(body), kWorker, kService));
  }
  std::string invalid_state = valid;
  invalid_state.replace(invalid_state.find("ready"), 5, "sober");
  CHECK_FALSE(
      DecodeWorkerMessage(HeartbeatRequest(invalid_state), kWorker, kService));
  CHECK_FALSE(
      DecodeWorkerMessage(HeartbeatRequest(valid), kWorker, ServiceId("else")));
  CHECK_FALSE(
      DecodeWorkerMessage(HeartbeatRequest(valid), {"10.0.0.8", 1}, kService));
}

std::optional<WorkerMessage> DecodeCapacityOf(const std::string& capacity) {
  std::string body = HeartbeatBody();
  const std::string valid = R"({"cpu":16000,"memMb":32768})";
  body.replace(body.find(valid), valid.size(), capacity);
  return DecodeWorkerMessage(HeartbeatRequest(body), kWorker, kService);
}

// Regression test: the heartbeat of a worker that had lost all its processors
// was rejected, and starts went on against the previous capacity.
TEST_CASE("a capacity that has shrunk to nothing is accepted") {
  for (const char* capacity :
       {R"({"cpu":0,"memMb":32768,"gpu":0})", R"({"cpu":16000,"memMb":0})",
        R"({"cpu":0,"memMb":0,"gpu":0})"}) {
    CHECK(DecodeCapacityOf(capacity));
  }
  const auto message = DecodeCapacityOf(R"({"cpu":0,"memMb":512})");
  REQUIRE(message);
  CHECK(message->heartbeat.worker.capacity ==
        Resources{MilliCpu(0), Mebibytes(512), Accelerators(0)});
}

// Regression test: numbers that no machine has, and accelerators of another
// type, were accepted as a capacity.
TEST_CASE("a capacity with missing, mistyped or absurd values is malformed") {
  for (const char* capacity :
       {"{}", "[]", "7", "null", R"({"cpu":16000})", R"({"memMb":32768})",
        R"({"cpu":"16000","memMb":32768})", R"({"cpu":null,"memMb":32768})",
        R"({"cpu":true,"memMb":32768})", R"({"cpu":-1,"memMb":32768})",
        R"({"cpu":-0.5,"memMb":32768})", R"({"cpu":16000,"memMb":-1})",
        R"({"cpu":16000,"memMb":32768,"gpu":-1})",
        R"({"cpu":16000,"memMb":32768,"gpu":"1"})",
        R"({"cpu":9223372036854775807,"memMb":32768})",
        R"({"cpu":18446744073709551615,"memMb":32768})",
        R"({"cpu":16000,"memMb":1e300})"}) {
    CAPTURE(std::string(capacity));
    CHECK_FALSE(DecodeCapacityOf(capacity));
  }
}

// Regression test: with a start time or a number that is too large, all later
// heartbeats of the worker were taken for older ones.
TEST_CASE("numbers out of range in a heartbeat are not believed") {
  const auto decode = [](const std::string& extra_fields) {
    return DecodeWorkerMessage(HeartbeatRequest(HeartbeatBody(extra_fields)),
                               kWorker, kService);
  };
  // The last field of a name counts.
  for (const char* born :
       {"1e300", "18446744073709551615", "9223372036854775807",
        "253402300800000", "-1", "-1e300", R"("1000")", "null", "[1]", "{}"}) {
    CAPTURE(std::string(born));
    CHECK_FALSE(decode(R"(,"born":)" + std::string(born)));
  }
  for (const char* sequence : {"1e300", "18446744073709551615",
                               "9223372036854775807", "-1e300", "[4]"}) {
    CAPTURE(std::string(sequence));
    const auto message = decode(R"(,"sequence":)" + std::string(sequence));
    REQUIRE(message);
    CHECK_FALSE(message->heartbeat.sequence);
  }
  for (const char* remaining : {"1e300", "18446744073709551615", "-5"}) {
    CAPTURE(std::string(remaining));
    const auto message = decode(R"(,"remainingMs":)" + std::string(remaining));
    REQUIRE(message);
    CHECK(message->heartbeat.worker.remaining_ms == 0);
  }
}

// Regression test: one odd entry ended the process that printed it, or hid all
// later ends of the worker.
TEST_CASE("odd entries in a worker's lists are skipped") {
  const std::string nested =
      std::string(100'000, '[') + std::string(100'000, ']');
  CHECK_FALSE(DecodeListing(R"({"clockMs":5,"running":[)" + nested +
                            R"(],"ended":[]})"));
  const auto listing = DecodeListing(
      R"({"clockMs":5,"born":1000,"running":[
        ["j.0.0.1",18446744073709551615,"",100],["j.0.0.2",1e300,"",100],
        ["j.0.0.3",-1,"",100],["j.0.0.4294967296",1,"",100],[[[[1]]]],7,
        ["j.0.0.4",1,"",1e300,-1e300]],
        "ended":[[18446744073709551615,"j.0.0.5",1,"done",""],
        [1e300,"j.0.0.5",1,"done",""],[3,"j.0.0.6",1e300,"done",""],
        [4,"j.0.0.7",1,"done",""]]})");
  REQUIRE(listing);
  REQUIRE(listing->running.size() == 1);
  CHECK(listing->running[0].task.index == 4);
  CHECK_FALSE(listing->complete);
  REQUIRE(listing->ended.size() == 1);
  CHECK(listing->ended[0].number == 4);
}

// Issue 42, TWICE: a run with an odd value was not in the list, and its task
// was started again 11 s after a takeover.
TEST_CASE("a running row with odd values is listed by task and run") {
  for (const char* row :
       {R"(["j.0.0.1",3])", R"(["j.0.0.1",3,null,null,null])",
        R"(["j.0.0.1",3,7,"50","1"])", R"(["j.0.0.1",3,[],{},[[]]])"}) {
    CAPTURE(std::string(row));
    const auto listing = DecodeListing(R"({"clockMs":5,"running":[)" +
                                       std::string(row) + R"(],"ended":[]})");
    REQUIRE(listing);
    CHECK(listing->complete);
    REQUIRE(listing->running.size() == 1);
    CHECK(listing->running[0].task.index == 1);
    CHECK(listing->running[0].run == sched::RunNumber(3));
    CHECK(listing->running[0].checkpoint.empty());
    CHECK(listing->running[0].measurement == -1);
  }
}

TEST_CASE("a list with the largest number of ends is not complete") {
  const auto is_complete = [](int ends) {
    std::string rows;
    for (int i = 1; i <= ends; ++i) {
      if (i > 1) rows += ',';
      rows += "[" + std::to_string(i) + R"(,"j.0.0.1",1,"done",""])";
    }
    const auto listing =
        DecodeListing(R"({"clockMs":5,"running":[],"ended":[)" + rows + "]}");
    REQUIRE(listing);
    return listing->complete;
  };
  CHECK(is_complete(0));
  CHECK(is_complete(499));
  CHECK_FALSE(is_complete(500));
}

TEST_CASE("lists with a clock or start time out of range are unreadable") {
  CHECK(DecodeListing(R"({"clockMs":5,"running":[],"ended":[]})"));
  for (const char* fields :
       {R"("clockMs":1e300)", R"("clockMs":18446744073709551615)",
        R"("clockMs":-1)", R"("clockMs":"5")", R"("born":1000)",
        R"("clockMs":5,"born":1e300)", R"("clockMs":5,"born":-1)"}) {
    CAPTURE(std::string(fields));
    CHECK_FALSE(DecodeListing("{" + std::string(fields) +
                              R"(,"running":[],"ended":[]})"));
  }
}

sched::QueueConfig Config() {
  const auto config = DecodeConfig(
      R"({"version":7,"routes":[
        {"name":"q1","host":"h.example","pathPrefix":"/a/","timeoutMs":3000,
         "backend":"huvo11a","priority":2,"maxAttempts":4,"stretch":1.5,
         "targetLatencyMs":300},
        {"name":"q2","host":"h.example","pathPrefix":"/a/b/",
         "backend":"huvo11a"}]})");
  REQUIRE(config);
  return *config;
}

TEST_CASE("a configuration is decoded into routes and queue terms") {
  const auto config = Config();
  CHECK(config.version == ConfigVersion(7));
  REQUIRE(config.routes.size() == 2);
  CHECK(config.routes[0].terms.priority == 2);
  CHECK(config.routes[0].terms.stretch == doctest::Approx(1.5));
  CHECK_FALSE(DecodeConfig("not json"));
  CHECK_FALSE(DecodeConfig("{}"));
}

// Regression test: after a version that is too large, all later ones seemed to
// be older.
TEST_CASE("a configuration whose version is out of range is rejected") {
  for (const char* version : {"18446744073709551615", "1e300", "-1", "\"7\""}) {
    CAPTURE(std::string(version));
    CHECK_FALSE(DecodeConfig(R"({"version":)" + std::string(version) +
                             R"(,"routes":[]})"));
  }
}

std::optional<JobRequest> Decode(HttpRequest request, RequestError& error) {
  request.authority = "h.example:80";
  std::string reason;
  error = RequestError::kNone;
  return DecodeJobRequest(Config(), request, error, reason);
}

constexpr const char* kJob = "0123456789abcdef";

TEST_CASE("the longest prefix selects the queue") {
  RequestError error;
  const auto job = Decode({"GET", std::string("/a/b/") + kJob, {}, ""}, error);
  REQUIRE(job);
  CHECK(job->call.queue == sched::QueueId("q2"));
  CHECK(job->call.verb == sched::JobVerb::kRead);
  const auto count = Decode({"GET", "/a/", {}, ""}, error);
  REQUIRE(count);
  CHECK(count->call.verb == sched::JobVerb::kCount);
  CHECK_FALSE(Decode({"GET", "/none/", {}, ""}, error));
  CHECK(error == RequestError::kNoRoute);
  CHECK_FALSE(Decode({"GET", "/a/short", {}, ""}, error));
  CHECK(error == RequestError::kMalformed);
}

TEST_CASE("every field of a submitted job is decoded") {
  RequestError error;
  const auto request =
      Decode({"POST",
              std::string("/a/") + kJob,
              {{"x-deadline-ms", "1000"}},
              R"({"spec":"s","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,
         "estimateMs":900,"checkpointing":true,"gang":true,"sameRack":true,
         "requirements":"a","affinity":"r1","maxPerServer":2,
         "speculative":true,"image":"i","targetMs":18,"fills":true,
         "mayMiss":1},{"count":1,"after":[0],"longRunning":true}],
         "repeatCount":3,"firstRunMs":5,"intervalMs":6})"},
             error);
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
  CHECK(request->timeout == Duration(900));
}

TEST_CASE("a body that is not a job is rejected as malformed") {
  for (const char* body : {"", "x", "{}", R"({"steps":[1]})"}) {
    RequestError error;
    CHECK_FALSE(Decode({"POST", std::string("/a/") + kJob, {}, body}, error));
    CHECK(error == RequestError::kMalformed);
  }
}

// A count that is cut to 32 bits would turn into another, valid count.
// Load pattern: a legal body of the smallest steps takes tens of times its size
// once it is decoded.
TEST_CASE("a body with too many steps, values or texts is rejected") {
  const auto repeat = [](const std::string& part, size_t n) {
    std::string out;
    for (size_t i = 0; i < n; ++i) out += (i == 0 ? "" : ",") + part;
    return out;
  };
  const auto rejected = [](const std::string& body) {
    RequestError error = RequestError::kNone;
    return !Decode({"POST", std::string("/a/") + kJob, {}, body}, error) &&
           error == RequestError::kMalformed;
  };
  const std::string step = R"({"count":1})";
  CHECK_FALSE(rejected(R"({"steps":[)" + repeat(step, 64) + "]}"));
  CHECK(rejected(R"({"steps":[)" + repeat(step, 65) + "]}"));
  CHECK(rejected(R"({"steps":[)" + repeat("{}", 80'000) + "]}"));
  CHECK(rejected(R"({"x":[)" + repeat("{}", 80'000) + R"(],"steps":[{}]})"));
  CHECK(rejected(R"({"spec":")" + std::string(60'000, 's') +
                 R"(","steps":[{}]})"));
}

Intake IntakeOf(const std::vector<std::string>& args) {
  SettingsReason why;
  const auto settings = Settings::Read(IntakeSettings("160"), args, why);
  REQUIRE(settings);
  return MakeIntake(*settings);
}

TEST_CASE("the bounds of the intake follow from memory and descriptors") {
  const Intake entry = IntakeOf({});
  CHECK(entry.budget->limits().max_bytes == size_t{40} << 20);
  CHECK(entry.callers.max_connections == 1'300);
  CHECK(entry.peers.max_connections == 975);
  CHECK_FALSE(entry.callers.http2);
  CHECK(entry.peers.http2);
  CHECK(entry.callers.max_body > 1'000'000);
  const Intake small = IntakeOf({"--memory-mb", "64", "--max-fds", "600"});
  CHECK(small.callers.budget->limits().max_bytes == size_t{16} << 20);
  CHECK(small.callers.max_connections + small.peers.max_connections +
            2 * small.probes.max_connections <
        400);
  CHECK(small.callers.max_connections == 133);
}

TEST_CASE("numbers out of range are rejected instead of being truncated") {
  for (const char* steps : {R"([{"count":4294967297}])", R"([{"count":-1}])",
                            R"([{"count":1e300}])",
                            R"([{"count":1},{"count":1,"after":[4294967296]}])",
                            R"([{"count":18446744073709551615}])",
                            R"([{"count":1},{"count":1,"after":[1e300]}])",
                            R"([{"count":1},{"count":1,"after":[-1]}])"}) {
    RequestError error;
    const auto request = Decode({"POST",
                                 std::string("/a/") + kJob,
                                 {},
                                 R"({"steps":)" + std::string(steps) + "}"},
                                error);
    REQUIRE(request);
    sched::JobReason why;
    CHECK_FALSE(sched::ValidateJob(request->call.spec, why));
  }
}

// Regression test: a due time above the range of the type wrapped around to one
// in the past, and a timeout above it to one that had passed.
TEST_CASE("times out of range do not wrap around") {
  RequestError error;
  const auto request = Decode({"POST",
                               std::string("/a/") + kJob,
                               {{"x-deadline-ms", "9223372036854775807"}},
                               R"({"steps":[{"count":1}],"repeatCount":1,
                  "firstRunMs":18446744073709551615})"},
                              error);
  REQUIRE(request);
  sched::JobReason why;
  CHECK_FALSE(sched::ValidateJob(request->call.spec, why));
  const auto read = Decode({"GET",
                            std::string("/a/b/") + kJob,
                            {{"x-deadline-ms", "9223372036854775807"}},
                            ""},
                           error);
  REQUIRE(read);
  CHECK(read->timeout > Duration(0));
  CHECK(read->timeout <= Duration(86'400'000));
}

TEST_CASE("base64 encoding and decoding preserve the bytes") {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\x01", 3)}) {
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  CHECK_FALSE(DecodeBase64("!"));
}

}  // namespace
}  // namespace almondtally::platform
