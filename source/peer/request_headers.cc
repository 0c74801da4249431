#include "peer/request_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace almondtally {
namespace {

constexpr std::string_view kServicePrefix = "/svc/";

bool IsHopByHop(const std::string& name) {
  static constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
      "connection",        "keep-alive", "proxy-connection",
      "transfer-encoding", "upgrade",    "te",
      "trailer",           "host",       "content-length"};
  return std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), name) !=
         kHopByHopHeaders.end();
}

/// Replaces control characters, so that a value cannot inject header lines.
std::string SanitizeHeaderValue(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
  return text;
}

}  // namespace

std::string_view ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kRan:
      return "ran";
    case RequestOutcome::kNotRun:
      return "not_run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool IsIdempotent(std::string_view method) {
  static constexpr std::array<std::string_view, 6> kIdempotentMethods = {
      "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

std::optional<ServicePath> SplitServicePath(const std::string& path) {
  if (!path.starts_with(kServicePrefix)) return std::nullopt;
  const size_t start = kServicePrefix.size();
  const size_t end = path.find_first_of("/?", start);
  ServicePath out;
  out.service = ServiceId(path.substr(start, end - start));
  if (out.service.empty()) return std::nullopt;
  out.rest = end == std::string::npos ? "/" : path.substr(end);
  if (out.rest.front() == '?') out.rest = "/" + out.rest;
  return out;
}

Headers EndToEndHeaders(const Headers& headers) {
  Headers out;
  for (const Header& it : headers) {
    if (IsHopByHop(it.name) || it.name.starts_with("x-almondtally-")) continue;
    out.push_back(it);
  }
  return out;
}

std::optional<int64_t> NumberHeader(const Headers& headers,
                                    std::string_view name) {
  const std::string* text = FindHeader(headers, name);
  if (text == nullptr) return std::nullopt;
  int64_t n = 0;
  const char* end = text->data() + text->size();
  const auto [rest, ec] = std::from_chars(text->data(), end, n);
  if (ec != std::errc() || rest != end) return std::nullopt;
  return n;
}

std::string RefusalBody(RequestOutcome outcome, const std::string& reason,
                        const RequestId& request) {
  const nlohmann::json out = {{"outcome", ToString(outcome)},
                              {"reason", reason},
                              {"request", request.value}};
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

Headers RefusalHeaders(RequestOutcome outcome, const std::string& reason,
                       const RequestId& request) {
  return {{"content-type", "application/json"},
          {header::kOutcome, std::string(ToString(outcome))},
          {header::kReason, SanitizeHeaderValue(reason)},
          {header::kRequest, request.value}};
}

}  // namespace almondtally
