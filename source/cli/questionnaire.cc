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

std::optional<int64_t> ParseNumber(const std::string& text) {
  int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || rest != end || n < 0) return std::nullopt;
  return n;
}

bool ExpectsNumber(const std::string& name) {
  return name != "team" && name != "service" && name != "urgent";
}

bool IsValidAnswer(const Question& question, const std::string& text) {
  if (ExpectsNumber(question.name)) return ParseNumber(text).has_value();
  if (question.name == "urgent") return text == "yes" || text == "no";
  if (question.name == "service") return true;
  return !text.empty();
}

int64_t NumberAnswer(const Answers& answers, const std::string& name) {
  return ParseNumber(answers.at(name)).value_or(0);
}

Resources ResourcesPerExecutor(const Answers& answers) {
  return {MilliCpu(NumberAnswer(answers, "executor-cpus") * kMilliPerCpu),
          Mebibytes(NumberAnswer(answers, "executor-memory-gib") *
                    kMebibytesPerGibibyte),
          Accelerators(0)};
}

GeneratedObject MakeTeam(const Answers& answers) {
  TeamConfig team;
  const int64_t executors =
      answers.at("service").empty() ? 0 : NumberAnswer(answers, "executors");
  const Resources each = ResourcesPerExecutor(answers);
  team.quota.cpu = MilliCpu(NumberAnswer(answers, "batch-cpus") * kMilliPerCpu +
                            executors * each.cpu.value);
  team.quota.memory = Mebibytes(NumberAnswer(answers, "batch-memory-gib") *
                                    kMebibytesPerGibibyte +
                                executors * each.memory.value);
  team.quota.accelerators = Accelerators(NumberAnswer(answers, "accelerators"));
  team.may_submit_urgent = answers.at("urgent") == "yes";
  return {"team/" + answers.at("team"), json(team)};
}

GeneratedObject MakeService(const Answers& answers) {
  ServiceConfig service;
  service.team = TeamId(answers.at("team"));
  service.executors = NumberAnswer(answers, "executors");
  service.each = ResourcesPerExecutor(answers);
  service.slots = NumberAnswer(answers, "slots");
  service.queue = service.slots * 2;
  service.deadline_ms = NumberAnswer(answers, "deadline-ms");
  return {"service/" + answers.at("service"), json(service)};
}

bool ValidateObject(const GeneratedObject& object, ConfigKind kind,
                    QuestionnaireReason& why) {
  ConfigReason config_why;
  if (ValidateConfigValue(kind, object.path, object.value.dump(), config_why)) {
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

std::optional<std::vector<GeneratedObject>> GenerateTeamConfig(
    const AnswerFn& answer, QuestionnaireReason& why) {
  Answers answers;
  for (const Question& question : Questions()) {
    const auto given = answer(question);
    const std::string text =
        given && !given->empty() ? *given : question.default_answer;
    if (!IsValidAnswer(question, text)) {
      why.Set(text.empty() ? QuestionnaireError::kMissing
                           : QuestionnaireError::kBadAnswer,
              question.name + ": \"" + text + "\" is not an answer to \"" +
                  question.text + "\"");
      return std::nullopt;
    }
    answers[question.name] = text;
  }
  std::vector<GeneratedObject> out = {MakeTeam(answers)};
  if (!ValidateObject(out.front(), ConfigKind::kTeam, why)) return std::nullopt;
  if (answers.at("service").empty()) return out;
  out.push_back(MakeService(answers));
  if (!ValidateObject(out.back(), ConfigKind::kService, why))
    return std::nullopt;
  return out;
}

}  // namespace almondtally
