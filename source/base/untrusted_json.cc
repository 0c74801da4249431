#include "base/untrusted_json.h"

namespace almondtally {
namespace {

using nlohmann::json;
using DomParser = nlohmann::detail::json_sax_dom_parser<json>;

/// Builds a value and stops parsing at the first one that is nested too deeply.
class DepthLimitedParser : public DomParser {
 public:
  explicit DepthLimitedParser(json& out) : DomParser(out, false) {}

  bool start_object(std::size_t n) {
    return Enter() && DomParser::start_object(n);
  }
  bool end_object() {
    --depth_;
    return DomParser::end_object();
  }
  bool start_array(std::size_t n) {
    return Enter() && DomParser::start_array(n);
  }
  bool end_array() {
    --depth_;
    return DomParser::end_array();
  }
  template <typename Exception>
  bool parse_error(std::size_t position, const std::string& token,
                   const Exception& error) {
    error_ = error.what();
    return DomParser::parse_error(position, token, error);
  }

  const std::string& error() const { return error_; }

 private:
  bool Enter() {
    if (++depth_ <= kMaxJsonDepth) return true;
    error_ = "nested more than " + std::to_string(kMaxJsonDepth) + " levels";
    return false;
  }

  int depth_ = 0;
  std::string error_;
};

std::optional<json> Parse(const std::string& input, json::input_format_t format,
                          std::string& why) {
  json out;
  DepthLimitedParser parser(out);
  try {
    if (json::sax_parse(input, &parser, format)) return out;
    why = parser.error();
  } catch (const json::exception& error) {
    // The declared size of an array or object exceeds what can be stored.
    why = error.what();
  }
  return std::nullopt;
}

}  // namespace

json ParseJson(const std::string& text) {
  std::string ignored;
  return Parse(text, json::input_format_t::json, ignored)
      .value_or(json(json::value_t::discarded));
}

std::optional<json> ParseCbor(const std::string& bytes, std::string& why) {
  return Parse(bytes, json::input_format_t::cbor, why);
}

}  // namespace almondtally
