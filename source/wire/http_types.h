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

/// @param name in lower case.
/// @return the value of the first header with that name, or null.
const std::string* FindHeader(const Headers& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  std::string path;
  Headers headers;
  std::string body;
  /// Host and port that the caller addressed; set only on received requests.
  std::string authority = {};
};

enum class WireError : uint8_t {
  kNone,
  /// The connection could not be established.
  kConnect,
  /// The connection was closed before the response was complete.
  kLinkLost,
  /// The peer reported that it did not process the request.
  kRefusedByPeer,
  kTimeout,
  kCancelled,
  /// The peer's data could not be decoded or was too large.
  kDecode,
};

using WireReason = Reason<WireError>;

/// @return the error's name for logs, such as "link_lost".
std::string_view ToString(WireError error);

/// Whether any byte of a request may have reached the peer.
enum class SendStatus : uint8_t { kNo, kMaybe };

/// How a call ended.
struct CallStatus {
  WireError error = WireError::kNone;
  SendStatus sent = SendStatus::kNo;
};

/// Callbacks that receive a response as it arrives. `on_end` is the last one.
struct CallHooks {
  std::function<void(int status, const Headers& headers)> on_headers;
  std::function<void(std::string_view piece)> on_body;
  std::function<void(CallStatus end)> on_end;
};

/// Handle of an outgoing request in progress.
class Call {
 public:
  virtual ~Call() = default;
  /// Cancels the call; no callback is called afterwards.
  virtual void Cancel() = 0;
  /// Stops or resumes reading the response body. This applies back-pressure to
  /// the sender, so that a slow consumer does not make this process buffer the
  /// body in memory.
  virtual void SetPaused(bool paused) = 0;
};

/// A complete response, held in memory.
struct HttpResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

/// Called once, with the response or with the reason why there is none.
using HttpResponseCallback =
    std::function<void(std::optional<HttpResponse> answer, CallStatus end)>;

/// @param max_body size limit in bytes. The rest of a larger body is dropped
/// and the call ends with `WireError::kDecode`.
/// @return hooks that collect a response and pass it to `fn` when it is
/// complete.
CallHooks CollectResponse(size_t max_body, HttpResponseCallback fn);

}  // namespace almondtally
