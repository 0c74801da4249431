#include "wire/http1_request.h"

#include <sys/types.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

// picohttpparser is part of h2o's library, which installs no header for it.
extern "C" {
struct PhrHeader {
  const char* name;
  size_t name_len;
  const char* value;
  size_t value_len;
};
int phr_parse_request(const char* buf, size_t len, const char** method,
                      size_t* method_len, const char** path, size_t* path_len,
                      int* minor_version, PhrHeader* headers,
                      size_t* num_headers, size_t last_len);
ssize_t phr_decode_chunked(void* decoder, char* buf, size_t* bufsz);
}

namespace almondtally::detail {
namespace {

constexpr size_t kMaxHeaders = 100;
constexpr int kPartial = -2;
/// The framing of a chunked body may be this many times as large as the body
/// that it carries, so that chunks of a single byte pass.
constexpr size_t kMaxFramingFactor = 8;
constexpr size_t kMinFramingBytes = 16 << 10;
/// A body up to this size gets its memory at once, a larger one when more than
/// this has arrived.
constexpr size_t kFirstReserveBytes = 64 << 10;

std::string ToLower(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

/// @return true if a list separated by commas contains a word, in any case.
bool ListContains(std::string_view list, std::string_view word) {
  const std::string lower = ToLower(list);
  const std::string_view text = lower;
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find(',', begin), text.size());
    size_t first = begin;
    size_t last = end;
    while (first < last && (text[first] == ' ' || text[first] == '\t')) ++first;
    while (last > first && (text[last - 1] == ' ' || text[last - 1] == '\t'))
      --last;
    if (text.substr(first, last - first) == word) return true;
    begin = end + 1;
  }
  return false;
}

bool ParseLength(std::string_view text, uint64_t& out) {
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, out);
  return !text.empty() && ec == std::errc() && rest == end;
}

/// Splits a target in absolute form into authority and path.
void SplitAbsoluteTarget(HttpRequest& request) {
  constexpr std::string_view kScheme = "http://";
  if (!request.path.starts_with(kScheme)) return;
  const std::string target = request.path.substr(kScheme.size());
  const size_t slash = std::min(target.find('/'), target.size());
  request.authority = target.substr(0, slash);
  request.path = slash == target.size() ? "/" : target.substr(slash);
}

/// Framing of a request as its header fields tell it.
struct Framing {
  bool has_length = false;
  bool has_encoding = false;
  std::string connection;
};

/// Takes a field that concerns the connection and not the handler.
/// @return false if the field is malformed.
bool TakeFramingField(const std::string& name, std::string_view value,
                      Http1Head& head, Framing& framing, bool& taken) {
  taken = true;
  if (name == "content-length") {
    uint64_t n = 0;
    if (!ParseLength(value, n)) return false;
    if (framing.has_length && n != head.content_length) return false;
    framing.has_length = true;
    head.content_length = n;
    return true;
  }
  if (name == "transfer-encoding") {
    if (framing.has_encoding || ToLower(value) != "chunked") return false;
    framing.has_encoding = head.chunked = true;
    return true;
  }
  if (name == "host") {
    head.request.authority = value;
    return true;
  }
  if (name == "expect") {
    head.expects_continue = ToLower(value) == "100-continue";
    return true;
  }
  if (name == "upgrade") return true;
  if (name == "connection") {
    if (!framing.connection.empty()) framing.connection += ',';
    framing.connection += value;
  }
  taken = false;
  return true;
}

}  // namespace

Http1HeadStatus ParseHttp1Head(std::string_view bytes, size_t parsed_before,
                               Http1Head& out) {
  const char* method = nullptr;
  const char* path = nullptr;
  size_t method_size = 0;
  size_t path_size = 0;
  int minor_version = 0;
  std::array<PhrHeader, kMaxHeaders> headers;  // NOLINT: set by the parser
  size_t n = kMaxHeaders;
  const int size = phr_parse_request(
      bytes.data(), bytes.size(), &method, &method_size, &path, &path_size,
      &minor_version, headers.data(), &n, parsed_before);
  if (size == kPartial) return Http1HeadStatus::kPartial;
  if (size <= 0) return Http1HeadStatus::kMalformed;
  out = {};
  out.size = static_cast<size_t>(size);
  out.http10 = minor_version == 0;
  out.request.method.assign(method, method_size);
  out.request.path.assign(path, path_size);
  out.request.headers.reserve(n);
  Framing framing;
  for (size_t i = 0; i < n; ++i) {
    // A line that continues the one before it (obsolete) has no name.
    if (headers[i].name == nullptr) return Http1HeadStatus::kMalformed;
    std::string name = ToLower({headers[i].name, headers[i].name_len});
    const std::string_view value(headers[i].value, headers[i].value_len);
    bool taken = false;
    if (!TakeFramingField(name, value, out, framing, taken))
      return Http1HeadStatus::kMalformed;
    if (!taken)
      out.request.headers.push_back({std::move(name), std::string(value)});
  }
  // Two framings of one body would let two readers disagree on its end.
  if (framing.has_encoding && (framing.has_length || out.http10))
    return Http1HeadStatus::kMalformed;
  out.keep_alive = out.http10 ? ListContains(framing.connection, "keep-alive")
                              : !ListContains(framing.connection, "close");
  SplitAbsoluteTarget(out.request);
  return Http1HeadStatus::kComplete;
}

Http1Body::Http1Body(const Http1Head& head, size_t max_bytes)
    : chunked_(head.chunked),
      max_bytes_(max_bytes),
      content_length_(head.content_length) {}

Http1Body::Status Http1Body::Append(std::string_view bytes, size_t& consumed) {
  if (chunked_) return AppendChunked(bytes, consumed);
  consumed = std::min(bytes.size(), content_length_ - body_.size());
  if (body_.empty())
    body_.reserve(std::min(content_length_, kFirstReserveBytes));
  if (body_.size() + consumed > body_.capacity())
    body_.reserve(content_length_);
  body_.append(bytes.substr(0, consumed));
  return body_.size() == content_length_ ? Status::kComplete : Status::kPartial;
}

Http1Body::Status Http1Body::AppendChunked(std::string_view bytes,
                                           size_t& consumed) {
  const size_t before = body_.size();
  body_.append(bytes);
  size_t n = bytes.size();
  const ssize_t rest = phr_decode_chunked(&decoder_, body_.data() + before, &n);
  body_.resize(before + n);
  if (rest < 0 && rest != kPartial) return Status::kMalformed;
  consumed = bytes.size() - static_cast<size_t>(std::max<ssize_t>(rest, 0));
  raw_bytes_ += consumed;
  if (body_.size() > max_bytes_ ||
      raw_bytes_ > kMinFramingBytes + kMaxFramingFactor * body_.size())
    return Status::kTooLarge;
  return rest >= 0 ? Status::kComplete : Status::kPartial;
}

}  // namespace almondtally::detail
