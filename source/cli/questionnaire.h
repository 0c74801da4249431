#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"

namespace almondtally {

/// One onboarding question for a new team.
struct Question {
  std::string name;
  std::string text;
  std::string default_answer;
};

enum class QuestionnaireError : uint8_t { kNone, kMissing, kBadAnswer };
using QuestionnaireReason = Reason<QuestionnaireError>;

/// @return the questions in the order in which they are asked.
const std::vector<Question>& Questions();

/// Returns the answer to a question, or empty if there is none.
using AnswerFn = std::function<std::optional<std::string>(const Question&)>;

/// One object of the generated configuration.
struct GeneratedObject {
  /// "team/NAME" or "service/NAME".
  std::string path;
  nlohmann::json value;
};

/// Asks all questions and generates the team's configuration, validated with
/// the same checks as in the entries.
/// @param why names the question whose answer is invalid.
std::optional<std::vector<GeneratedObject>> GenerateTeamConfig(
    const AnswerFn& answer, QuestionnaireReason& why);

}  // namespace almondtally
