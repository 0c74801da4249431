#include "state/jobs.h"

#include <doctest/doctest.h>

#include "state/lease.h"

namespace almondtally {
namespace {

JobSpec Spec() {
  JobSpec spec;
  spec.id = JobId("drift");
  spec.team = TeamId("maraval");
  spec.count = 130;
  spec.each.cpu = MilliCpu(500);
  return spec;
}

TEST_CASE("chunks cover all tasks of a job and can be encoded and decoded") {
  const auto chunks = MakeChunks(Spec());
  REQUIRE(chunks.size() == 3);
  CHECK(chunks[2].first == 128);
  CHECK(chunks[2].tasks.size() == 2);
  Chunk chunk = chunks[0];
  chunk.tasks[5] = {TaskState::kAssigned,
                    Epoch(3),
                    VmId("vm-1"),
                    Generation(2),
                    1,
                    4,
                    "ckpt/x"};
  JobReason why;
  const auto decoded = DecodeChunk(Encode(chunk), why);
  REQUIRE(decoded);
  CHECK(decoded->tasks == chunk.tasks);
}

TEST_CASE("malformed rows are rejected with an error") {
  JobReason why;
  for (const char* text :
       {"", "[]", "{}", R"({"job":"a","first":0,"tasks":[[9,1,"",0,0,0,""]]})",
        R"({"job":"a","first":0,"tasks":[[1]]})", "\xff"}) {
    CHECK_FALSE_MESSAGE(DecodeChunk(text, why), text);
    CHECK(why.code == JobError::kBadRow);
  }
  CHECK_FALSE(DecodeJobRow("null", why));
}

TEST_CASE("every field of a submitted job is validated") {
  JobReason why;
  CHECK(ValidateJobSpec(Spec(), why));
  const auto rejected = [&](auto change) {
    JobSpec spec = Spec();
    change(spec);
    return !ValidateJobSpec(spec, why);
  };
  CHECK(rejected([](auto& spec) { spec.id = JobId("a/b"); }));
  CHECK(rejected([](auto& spec) { spec.id = JobId("service:x"); }));
  CHECK(rejected([](auto& spec) { spec.team = TeamId(); }));
  CHECK(rejected([](auto& spec) { spec.count = 0; }));
  CHECK(rejected([](auto& spec) { spec.count = 100'001; }));
  CHECK(rejected([](auto& spec) { spec.each.cpu = MilliCpu(0); }));
  CHECK(rejected([](auto& spec) { spec.each.memory = Mebibytes(-1); }));
  CHECK(rejected([](auto& spec) { spec.work_ms = 0; }));
  CHECK(rejected([](auto& spec) { spec.command = std::string(5'000, 'x'); }));
}

TEST_CASE("a relayed proof is dated by the earliest possible table read") {
  NotFencedProof proof;
  const MonotonicTime asked_at{Duration(50'000)};
  CHECK_FALSE(IsValid(proof, asked_at));
  Renew(proof, asked_at, Duration(3'000));
  CHECK(ValidUntil(proof) == asked_at - Duration(3'000) + kLease);
  // A delayed older proof has no effect.
  Renew(proof, asked_at, Duration(9'000));
  CHECK(ValidUntil(proof) == asked_at - Duration(3'000) + kLease);
  CHECK(IsValid(proof, asked_at + kLease - Duration(3'001)));
  CHECK_FALSE(IsValid(proof, asked_at + kLease - Duration(3'000)));
}

}  // namespace
}  // namespace almondtally
