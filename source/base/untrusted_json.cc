#include "base/untrusted_json.h"

namespace almondtally {
namespace {

using nlohmann::json;
using DomParser = nlohmann::detail::json_sax_dom_parser<json>;

/// Builds a value and stops parsing at the first one that is nested too deeply
/// or is one too many.
class LimitedParser : public DomParser {
 public:
  LimitedParser(json& out, size_t max_values)
      : DomParser(out, false), values_left_(max_values) {}

  bool null() { return Count() && DomParser::null(); }
  bool boolean(bool value) { return Count() && DomParser::boolean(value); }
  bool number_integer(json::number_integer_t value) {
    return Count() && DomParser::number_integer(value);
  }
  bool number_unsigned(json::number_unsigned_t value) {
    return Count() && DomParser::number_unsigned(value);
  }
  bool number_float(json::number_float_t value, const std::string& text) {
    return Count() && DomParser::number_float(value, text);
  }
  bool string(std::string& value) {
    return Count() && DomParser::string(value);
  }
  bool binary(json::binary_t& value) {
    return Count() && DomParser::binary(value);
  }
  bool key(std::string& value) { return Count() && DomParser::key(value); }
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
  bool Count() {
    if (values_left_-- > 0) return true;
    error_ = "too many values";
    return false;
  }

  bool Enter() {
    if (!Count()) return false;
    if (++depth_ <= kMaxJsonDepth) return true;
    error_ = "nested more than " + std::to_string(kMaxJsonDepth) + " levels";
    return false;
  }

  size_t values_left_;
  int depth_ = 0;
  std::string error_;
};

std::optional<json> Parse(const std::string& input, json::input_format_t format,
                          size_t max_values, std::string& why) {
  json out;
  LimitedParser parser(out, max_values);
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

json ParseJson(const std::string& text, size_t max_values) {
  std::string ignored;
  return Parse(text, json::input_format_t::json, max_values, ignored)
      .value_or(json(json::value_t::discarded));
}

std::optional<json> ParseCbor(const std::string& bytes, std::string& why,
                              size_t max_values) {
  return Parse(bytes, json::input_format_t::cbor, max_values, why);
}

}  // namespace almondtally
