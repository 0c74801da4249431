#pragma once

#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace almondtally {

/// Deepest nesting of arrays and objects that is accepted from outside the
/// process. Decoding, copying and printing a value recurse once a level.
inline constexpr int kMaxJsonDepth = 64;

/// No limit on the number of values.
inline constexpr size_t kAnyValues = std::numeric_limits<size_t>::max();

/// Parses JSON text from outside the process.
/// @param max_values parsing stops at this number of values and keys: the
/// smallest ones take tens of times the memory of their text.
/// @return a discarded value if the text is not JSON, is nested too deeply or
/// has too many values.
nlohmann::json ParseJson(const std::string& text,
                         size_t max_values = kAnyValues);

/// Parses CBOR from outside the process.
/// @param why receives the reason if parsing fails.
/// @param max_values see `ParseJson`.
/// @return empty if the bytes are not CBOR, are nested too deeply or have too
/// many values.
std::optional<nlohmann::json> ParseCbor(const std::string& bytes,
                                        std::string& why,
                                        size_t max_values = kAnyValues);

}  // namespace almondtally
