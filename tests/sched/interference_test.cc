#include "sched/interference.h"

#include <doctest/doctest.h>

#include <cmath>

#include "sched/board_builder.h"

namespace almondtally::sched {
namespace {

// Measures recorded on a calm day: one filler image raises the tail of every
// serving image to several times its target, the other does nothing.
constexpr double kQuietShare = 0.45;

void LearnDay(Interference& model) {
  for (int i = 0; i < 60; ++i) {
    const double load = 1 + 0.2 * std::sin(i);
    Learn(model, "web", kQuietShare * load, {});
    Learn(model, "web", kQuietShare * load, {{"calm", 4.0}});
    Learn(model, "web", 2.5 * load, {{"heavy", 4.0}, {"calm", 2.0}});
  }
}

TEST_CASE("the image that disturbs is told from the one that does not") {
  Interference model;
  LearnDay(model);
  CHECK(SlopeOf(model, "heavy", "web") > 0.2);
  CHECK(SlopeOf(model, "calm", "web") < 0.05);
  CHECK(BaseOf(model, "web") < 0);
}

TEST_CASE("an unknown pair is judged by its filler") {
  Interference model;
  LearnDay(model);
  CHECK(SlopeOf(model, "heavy", "other") > SlopeOf(model, "calm", "other"));
}

StepSpec Filler(const std::string& image) {
  StepSpec step = Step(1, 4'000);
  step.filler = true;
  step.image = image;
  return step;
}

StepSpec Serving() {
  StepSpec step = Step(1, 8'000);
  step.lasting = true;
  step.image = "web";
  step.tail_target_ms = 18;
  return step;
}

TEST_CASE("only the filler that disturbs is slowed down") {
  Board board = NewBoard();
  LearnDay(board.interference);
  VmEntity& vm = AddVm(board, "a", 32'000);
  Accept(board, "web", {Serving()});
  Place(board);
  RunAll(board, vm);
  // Both are put beside the serving task, since there is no other VM.
  for (const char* image : {"calm", "heavy"}) {
    const TaskKey key = Key(image, 0, 0);
    Accept(board, image, {Filler(image)});
    VmRun run;
    run.run = RunNumber(1);
    run.size = Size(4'000);
    run.filler = true;
    run.seen = true;
    run.known = true;
    run.phase = RunPhase::kRunning;
    vm.runs[key] = run;
  }
  Decisions log;
  PaceFillers(board, kNow, log);
  CHECK(vm.runs.at(Key("calm", 0, 0)).pace_wanted == 100);
  CHECK(vm.runs.at(Key("heavy", 0, 0)).pace_wanted < 60);
}

TEST_CASE("a target missed for long stops fillers that the model trusts") {
  Board board = NewBoard();
  constexpr double kCertain = 1e6;
  board.interference.pairs[{"calm", "web"}] = {0, kCertain};
  VmEntity& vm = AddVm(board, "a", 32'000);
  Accept(board, "web", {Serving()});
  Accept(board, "calm", {Filler("calm")});
  Place(board);
  RunAll(board, vm);
  Decisions log;
  for (int i = 0; i <= 4; ++i) {
    const MonotonicTime now = kNow + Duration(500) * i;
    SyncReport report = Report(vm, 32'000);
    RunReport web = Running(Key("web", 0, 0), RunNumber(1));
    web.percent = 100;
    web.measure = 19;
    report.runs = {web};
    TakeReport(board, now, vm, report, log);
    PaceFillers(board, now, log);
    const int64_t pace = vm.runs.at(Key("calm", 0, 0)).pace_wanted;
    CHECK((pace == 0) == (now - kNow >= Duration(1'500)));
  }
}

TEST_CASE("a filler that disturbs goes where nothing serves") {
  Board board = NewBoard();
  LearnDay(board.interference);
  VmEntity& serving = AddVm(board, "a", 32'000);
  Accept(board, "web", {Serving()});
  Place(board);
  RunAll(board, serving);
  VmEntity& empty = AddVm(board, "b", 16'000);
  Accept(board, "heavy", {Filler("heavy")});
  Place(board);
  CHECK(empty.runs.count(Key("heavy", 0, 0)) == 1);
}

TEST_CASE("a filler that disturbs everywhere runs after a while all the same") {
  Board board = NewBoard();
  LearnDay(board.interference);
  VmEntity& vm = AddVm(board, "a", 32'000);
  StepSpec serving = Serving();
  Accept(board, "web", {serving});
  Place(board);
  RunAll(board, vm);
  StepSpec heavy = Filler("heavy");
  heavy.each.cpu = MilliCpu(16'000);
  Accept(board, "heavy", {heavy});
  Place(board);
  CHECK(vm.runs.count(Key("heavy", 0, 0)) == 0);
  Place(board, kNow + Duration(2'000));
  CHECK(vm.runs.count(Key("heavy", 0, 0)) == 1);
}

TEST_CASE("fillers beyond the idle processors wait, however long") {
  Board board = NewBoard();
  VmEntity& vm = AddVm(board, "a", 8'000);
  StepSpec many = Filler("calm");
  many.count = 6;
  Accept(board, "many", {many});
  Place(board, kNow + Duration(5'000));
  CHECK(vm.runs.size() == 2);
}

TEST_CASE("serving tasks are packed, so that fillers keep VMs of their own") {
  Board board = NewBoard();
  VmEntity& a = AddVm(board, "a", 32'000);
  VmEntity& b = AddVm(board, "b", 32'000);
  StepSpec serving = Serving();
  serving.count = 3;
  Accept(board, "web", {serving});
  Place(board);
  CHECK((a.runs.empty() || b.runs.empty()));
}

}  // namespace
}  // namespace almondtally::sched
