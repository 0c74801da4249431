#include "cli/questionnaire.h"

#include <charconv>
#include <cmath>
#include <map>

#include "state/config.h"

namespace almondtally {
namespace {

using nlohmann::json;
using Answers = std::map<std::string, std::string>;

constexpr int64_t kMilliPerCpu = 1'000;
constexpr int64_t kMebibytesPerGibibyte = 1'024;

std::optional<int64_t> Number(const std::string& text) {
  int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || rest != end || n < 0) return std::nullopt;
  return n;
}

bool IsNumberQuestion(const std::string& name) {
  return name != "team" && name != "service" && name != "urgent";
}

bool IsValid(const Question& question, const std::string& text) {
  if (IsNumberQuestion(question.name)) return Number(text).has_value();
  if (question.name == "urgent") return text == "yes" || text == "no";
  if (question.name == "service") return true;
  return !text.empty();
}

int64_t NumberOf(const Answers& answers, const std::string& name) {
  return Number(answers.at(name)).value_or(0);
}

Resources EachExecutor(const Answers& answers) {
  return {MilliCpu(NumberOf(answers, "executor-cpus") * kMilliPerCpu),
          Mebibytes(NumberOf(answers, "executor-memory-gib") *
                    kMebibytesPerGibibyte),
          Accelerators(0)};
}

GeneratedObject MakeTeam(const Answers& answers) {
  TeamConfig team;
  const int64_t executors =
      answers.at("service").empty() ? 0 : NumberOf(answers, "executors");
  const Resources each = EachExecutor(answers);
  team.quota.cpu = MilliCpu(NumberOf(answers, "batch-cpus") * kMilliPerCpu +
                            executors * each.cpu.value);
  team.quota.memory =
      Mebibytes(NumberOf(answers, "batch-memory-gib") * kMebibytesPerGibibyte +
                executors * each.memory.value);
  team.quota.accelerators = Accelerators(NumberOf(answers, "accelerators"));
  team.may_submit_urgent = answers.at("urgent") == "yes";
  return {"team/" + answers.at("team"), json(team)};
}

GeneratedObject MakeService(const Answers& answers) {
  ServiceConfig service;
  service.team = TeamId(answers.at("team"));
  service.executors = NumberOf(answers, "executors");
  service.each = EachExecutor(answers);
  service.slots = NumberOf(answers, "slots");
  service.queue = service.slots * 2;
  service.deadline_ms = NumberOf(answers, "deadline-ms");
  return {"service/" + answers.at("service"), json(service)};
}

bool CheckObject(const GeneratedObject& object, ConfigKind kind,
                 QuestionnaireReason& why) {
  ConfigReason config_why;
  if (CheckValue(kind, object.path, object.value.dump(), config_why)) {
    return true;
  }
  why.Set(QuestionnaireError::kBadAnswer, config_why.text);
  return false;
}

}  // namespace

const std::vector<Question>& Questions() {
  static const std::vector<Question> all = {
      {"team", "Name of the team", ""},
      {"batch-cpus", "Processors for batch jobs, at most", "8"},
      {"batch-memory-gib", "Memory for batch jobs, at most (GiB)", "32"},
      {"accelerators", "Accelerators, at most", "0"},
      {"urgent", "May the team submit urgent jobs? (yes/no)", "no"},
      {"service", "Name of its service (empty for none)", ""},
      {"executors", "Executors of the service", "3"},
      {"executor-cpus", "Processors of one executor", "4"},
      {"executor-memory-gib", "Memory of one executor (GiB)", "8"},
      {"slots", "Requests that one executor takes at once", "8"},
      {"deadline-ms", "Longest time for an answer (ms)", "5000"}};
  return all;
}

std::optional<std::vector<GeneratedObject>> Generate(const AnswerFn& answer,
                                                     QuestionnaireReason& why) {
  Answers answers;
  for (const Question& question : Questions()) {
    const auto given = answer(question);
    const std::string text =
        given && !given->empty() ? *given : question.default_answer;
    if (!IsValid(question, text)) {
      why.Set(text.empty() ? QuestionnaireError::kMissing
                           : QuestionnaireError::kBadAnswer,
              question.name + ": \"" + text + "\" is not an answer to \"" +
                  question.text + "\"");
      return std::nullopt;
    }
    answers[question.name] = text;
  }
  std::vector<GeneratedObject> out = {MakeTeam(answers)};
  if (!CheckObject(out.front(), ConfigKind::kTeam, why)) return std::nullopt;
  if (answers.at("service").empty()) return out;
  out.push_back(MakeService(answers));
  if (!CheckObject(out.back(), ConfigKind::kService, why)) return std::nullopt;
  return out;
}

}  // namespace almondtally
