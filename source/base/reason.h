#pragma once

#include <string>
#include <utility>

namespace almondtally {

/// Why an operation that returned an empty optional failed. Each layer
/// instantiates it with its own error enum.
template <typename Code>
struct Reason {
  Code code{};
  std::string text;

  /// Records the failure; the caller then returns `std::nullopt`.
  void Set(Code new_code, std::string new_text) {
    code = new_code;
    text = std::move(new_text);
  }
};

}  // namespace almondtally
