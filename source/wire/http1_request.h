#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "wire/http_types.h"

namespace almondtally::detail {

/// The head of a received HTTP/1 request, and how its body is framed.
struct Http1Head {
  /// Everything but the body.
  HttpRequest request;
  /// Length of the head, with the empty line.
  size_t size = 0;
  /// The connection stays open after the response.
  bool keep_alive = false;
  /// The caller speaks HTTP/1.0.
  bool http10 = false;
  bool chunked = false;
  /// The caller waits for the status 100 before it sends the body.
  bool expects_continue = false;
  uint64_t content_length = 0;
};

enum class Http1HeadStatus : uint8_t { kPartial, kComplete, kMalformed };

/// Parses the head of a request (RFC 9112).
/// @param bytes received so far, from the first byte of the request.
/// @param parsed_before how many of them an earlier call has seen.
/// @param out is set if the head is complete.
Http1HeadStatus ParseHttp1Head(std::string_view bytes, size_t parsed_before,
                               Http1Head& out);

/// Collects the body of a request as it arrives.
class Http1Body {
 public:
  enum class Status : uint8_t { kPartial, kComplete, kTooLarge, kMalformed };

  /// @param max_bytes size limit of the body.
  Http1Body(const Http1Head& head, size_t max_bytes);
  Http1Body() = default;

  /// @param bytes received after the head or the last call.
  /// @param consumed is set to how many of them belong to the body.
  Status Append(std::string_view bytes, size_t& consumed);
  /// @return the size in bytes of what has arrived.
  size_t size() const { return body_.size(); }
  /// @return the body; call it once.
  std::string Take() { return std::move(body_); }

 private:
  /// State of picohttpparser's decoder, with its layout.
  struct ChunkedDecoder {
    size_t bytes_left_in_chunk = 0;
    char consume_trailer = 1;
    char hex_count = 0;
    char state = 0;
  };

  Status AppendChunked(std::string_view bytes, size_t& consumed);

  bool chunked_ = false;
  size_t max_bytes_ = 0;
  size_t content_length_ = 0;
  /// Bytes received, with the framing of chunks.
  size_t raw_bytes_ = 0;
  ChunkedDecoder decoder_;
  std::string body_;
};

}  // namespace almondtally::detail
