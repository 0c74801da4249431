#pragma once

#include <string>
#include <string_view>

#include "peer/messages.h"

namespace almondtally {

/// HTTP headers between callers, entries and targets; all lower case.
namespace header {
/// Caller to entry: requests with the same key run at most once.
inline constexpr const char* kIdempotencyKey = "idempotency-key";
/// Caller to entry and entry to target: time left, in ms.
inline constexpr const char* kDeadline = "x-almondtally-deadline-ms";
/// To the caller: ran, not_run or unknown.
inline constexpr const char* kOutcome = "x-almondtally-outcome";
inline constexpr const char* kReason = "x-almondtally-reason";
inline constexpr const char* kRequest = "x-almondtally-request";
/// Entry to target.
inline constexpr const char* kKeyed = "x-almondtally-keyed";
inline constexpr const char* kAsOf = "x-almondtally-as-of";
inline constexpr const char* kIncarnation = "x-almondtally-incarnation";
/// Target to entry: "in_use/queued/limit".
inline constexpr const char* kLoad = "x-almondtally-load";
}  // namespace header

/// Whether a request ran.
enum class RequestOutcome : uint8_t { kRan, kNotRun, kUnknown };

std::string_view ToString(RequestOutcome outcome);

/// @return true for idempotent methods, which may be retried (RFC 9110, 9.2.2).
bool IsIdempotent(std::string_view method);

/// Service name and remaining path of "/svc/NAME/REST".
struct ServicePath {
  ServiceId service;
  std::string rest;
};

/// @return the parts, or empty if the path does not have that form.
std::optional<ServicePath> SplitServicePath(const std::string& path);

/// @return the headers to forward: without hop-by-hop headers and without
/// x-almondtally-* headers.
Headers EndToEndHeaders(const Headers& headers);

/// @return the integer value of a header; empty if missing or malformed.
std::optional<int64_t> NumberHeader(const Headers& headers,
                                    std::string_view name);

/// The JSON body of a refusal.
std::string RefusalBody(RequestOutcome outcome, const std::string& reason,
                        const RequestId& request);

/// The headers of a refusal.
Headers RefusalHeaders(RequestOutcome outcome, const std::string& reason,
                       const RequestId& request);

}  // namespace almondtally
