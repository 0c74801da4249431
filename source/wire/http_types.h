#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/reason.h"
#include "settings/setting.h"

namespace almondtally {

struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// @return the value of the first header of that lower-case name, or null.
const std::string* FindHeader(const Headers& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  std::string path;
  Headers headers;
  std::string body;
  /// Host and port that the caller addressed; set on received requests.
  std::string authority = {};
};

enum class WireError : uint8_t {
  kNone,
  /// No connection could be made.
  kConnect,
  /// The connection ended before the answer did.
  kLinkLost,
  /// The peer said that it did not process the request.
  kRefusedByPeer,
  kTimeout,
  kCancelled,
  kDecode,
};

using WireReason = Reason<WireError>;

/// @return a short name for logs, such as "link_lost".
std::string_view ToString(WireError error);

/// Whether any byte of a request may have reached the peer.
enum class Sent : uint8_t { kNo, kMaybe };

/// How a call ended.
struct CallEnd {
  WireError error = WireError::kNone;
  Sent sent = Sent::kNo;
};

/// Receives the parts of an answer. After `on_end` nothing more is called.
struct CallHooks {
  std::function<void(int status, const Headers& headers)> on_head;
  std::function<void(std::string_view piece)> on_body;
  std::function<void(CallEnd end)> on_end;
};

/// A call in progress.
class Call {
 public:
  virtual ~Call() = default;
  /// Gives up; `on_end` is not called.
  virtual void Cancel() = 0;
  /// Stops or resumes the flow of body pieces, so that a slow reader costs
  /// the sender time and not us memory.
  virtual void SetPaused(bool paused) = 0;
};

/// A whole answer with a bounded body.
struct WholeAnswer {
  int status = 0;
  Headers headers;
  std::string body;
};

/// Called once with the answer, or with why there is none.
using WholeAnswerFn =
    std::function<void(std::optional<WholeAnswer> answer, CallEnd end)>;

/// @param max_body bytes after which the rest of the body is dropped and the
/// call counts as a decoding failure.
/// @return hooks that collect an answer and pass it on whole.
CallHooks CollectWhole(size_t max_body, WholeAnswerFn fn);

}  // namespace almondtally
