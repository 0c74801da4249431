#include "cli/questionnaire.h"

#include <doctest/doctest.h>

#include <map>

#include "cli/text_table.h"

namespace almondtally {
namespace {

AnswerFn AnswersFrom(const std::map<std::string, std::string>& answers) {
  return [answers](const Question& question) -> std::optional<std::string> {
    const auto it = answers.find(question.name);
    if (it == answers.end()) return std::nullopt;
    return it->second;
  };
}

TEST_CASE("answers generate a team and a service") {
  QuestionnaireReason why;
  const auto objects = GenerateTeamConfig(
      AnswersFrom(
          {{"team", "legnami"}, {"service", "sorteggio"}, {"executors", "10"}}),
      why);
  REQUIRE(objects);
  REQUIRE(objects->size() == 2);
  CHECK((*objects)[0].path == "team/legnami");
  CHECK((*objects)[0].value["quota"]["cpu"] == 8'000 + 10 * 4'000);
  CHECK((*objects)[1].value["executors"] == 10);
}

TEST_CASE("an invalid answer is reported with its question") {
  QuestionnaireReason why;
  CHECK_FALSE(GenerateTeamConfig(AnswersFrom({}), why));
  CHECK(why.code == QuestionnaireError::kMissing);
  CHECK_FALSE(
      GenerateTeamConfig(AnswersFrom({{"team", "a"}, {"slots", "many"}}), why));
  CHECK(why.text.find("slots") == 0);
  CHECK_FALSE(GenerateTeamConfig(
      AnswersFrom({{"team", "a"}, {"service", "s"}, {"slots", "0"}}), why));
}

TEST_CASE("columns are as wide as their widest cell") {
  TextTable table({"A", "B"});
  table.Add({"long", "x"});
  CHECK(table.Text() == "A     B\nlong  x\n");
}

}  // namespace
}  // namespace almondtally
