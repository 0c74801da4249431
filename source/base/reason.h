#pragma once

#include <string>
#include <utility>

namespace almondtally {

/// Error code and message of an operation that failed, usually by returning an
/// empty optional. Each layer instantiates it with its own error enumeration.
template <typename Code>
struct Reason {
  Code code{};
  std::string text;

  /// Stores the error; the failing function then returns `std::nullopt`.
  void Set(Code new_code, std::string new_text) {
    code = new_code;
    text = std::move(new_text);
  }
};

}  // namespace almondtally
