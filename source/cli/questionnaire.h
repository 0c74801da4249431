#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"

namespace almondtally {

/// One question to a new team.
struct Question {
  std::string name;
  std::string text;
  std::string default_answer;
};

enum class QuestionnaireError : uint8_t { kNone, kMissing, kBadAnswer };
using QuestionnaireReason = Reason<QuestionnaireError>;

/// @return the questions in the order in which they are asked.
const std::vector<Question>& Questions();

/// Gives the answer to a question, or empty if there is none.
using AnswerFn = std::function<std::optional<std::string>(const Question&)>;

/// One object of the generated configuration.
struct GeneratedObject {
  /// "team/NAME" or "service/NAME".
  std::string path;
  nlohmann::json value;
};

/// Asks all questions and generates the team's configuration, checked as the
/// entries check it.
/// @param why names the question at fault.
std::optional<std::vector<GeneratedObject>> Generate(const AnswerFn& answer,
                                                     QuestionnaireReason& why);

}  // namespace almondtally
