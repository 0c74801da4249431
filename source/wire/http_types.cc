#include "wire/http_types.h"

#include <memory>
#include <utility>

namespace almondtally {

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (header.name == name) return &header.value;
  }
  return nullptr;
}

std::string_view ToString(WireError error) {
  switch (error) {
    case WireError::kNone:
      return "none";
    case WireError::kConnect:
      return "connect";
    case WireError::kLinkLost:
      return "link_lost";
    case WireError::kRefusedByPeer:
      return "refused_by_peer";
    case WireError::kTimeout:
      return "timeout";
    case WireError::kCancelled:
      return "cancelled";
    case WireError::kDecode:
      return "decode";
  }
  return "unknown";
}

CallHooks CollectResponse(size_t max_body, HttpResponseCallback fn) {
  struct Collected {
    HttpResponse answer;
    bool too_large = false;
  };
  auto collected = std::make_shared<Collected>();
  CallHooks hooks;
  hooks.on_headers = [collected](int status, const Headers& headers) {
    collected->answer.status = status;
    collected->answer.headers = headers;
  };
  hooks.on_body = [collected, max_body](std::string_view piece) {
    if (collected->answer.body.size() + piece.size() > max_body) {
      collected->too_large = true;
      return;
    }
    collected->answer.body += piece;
  };
  hooks.on_end = [collected, fn = std::move(fn)](CallStatus end) {
    if (end.error != WireError::kNone) return fn(std::nullopt, end);
    if (collected->too_large) {
      return fn(std::nullopt, {WireError::kDecode, SendStatus::kMaybe});
    }
    fn(std::move(collected->answer), end);
  };
  return hooks;
}

}  // namespace almondtally
