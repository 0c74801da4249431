#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace almondtally {

/// Deepest nesting of arrays and objects that is accepted from outside the
/// process. Decoding, copying and printing a value recurse once a level.
inline constexpr int kMaxJsonDepth = 64;

/// Parses JSON text from outside the process.
/// @return a discarded value if the text is not JSON or is nested too deeply.
nlohmann::json ParseJson(const std::string& text);

/// Parses CBOR from outside the process.
/// @param why receives the reason if parsing fails.
/// @return empty if the bytes are not CBOR or are nested too deeply.
std::optional<nlohmann::json> ParseCbor(const std::string& bytes,
                                        std::string& why);

}  // namespace almondtally
