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

TEST_CASE("chunks hold all tasks of a job and survive a row") {
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
  const auto read = DecodeChunk(Encode(chunk), why);
  REQUIRE(read);
  CHECK(read->tasks == chunk.tasks);
}

TEST_CASE("rows that cannot be read are refused with a reason") {
  JobReason why;
  for (const char* bad :
       {"", "[]", "{}", R"({"job":"a","first":0,"tasks":[[9,1,"",0,0,0,""]]})",
        R"({"job":"a","first":0,"tasks":[[1]]})", "\xff"}) {
    CHECK_FALSE_MESSAGE(DecodeChunk(bad, why), bad);
    CHECK(why.code == JobError::kBadRow);
  }
  CHECK_FALSE(DecodeJob("null", why));
}

TEST_CASE("a job is checked field by field") {
  JobReason why;
  CHECK(CheckSpec(Spec(), why));
  const auto refused = [&](auto change) {
    JobSpec spec = Spec();
    change(spec);
    return !CheckSpec(spec, why);
  };
  CHECK(refused([](auto& it) { it.id = JobId("a/b"); }));
  CHECK(refused([](auto& it) { it.id = JobId("service:x"); }));
  CHECK(refused([](auto& it) { it.team = TeamId(); }));
  CHECK(refused([](auto& it) { it.count = 0; }));
  CHECK(refused([](auto& it) { it.count = 100'001; }));
  CHECK(refused([](auto& it) { it.each.cpu = MilliCpu(0); }));
  CHECK(refused([](auto& it) { it.each.memory = Mebibytes(-1); }));
  CHECK(refused([](auto& it) { it.work_ms = 0; }));
  CHECK(refused([](auto& it) { it.command = std::string(5'000, 'x'); }));
}

TEST_CASE("a relayed proof counts from the earliest possible read") {
  Proof proof;
  const MonotonicTime asked{Duration(50'000)};
  CHECK_FALSE(IsValid(proof, asked));
  Renew(proof, asked, Duration(3'000));
  CHECK(ValidUntil(proof) == asked - Duration(3'000) + kLease);
  // An older proof that arrives late changes nothing.
  Renew(proof, asked, Duration(9'000));
  CHECK(ValidUntil(proof) == asked - Duration(3'000) + kLease);
  CHECK(IsValid(proof, asked + kLease - Duration(3'001)));
  CHECK_FALSE(IsValid(proof, asked + kLease - Duration(3'000)));
}

}  // namespace
}  // namespace almondtally
