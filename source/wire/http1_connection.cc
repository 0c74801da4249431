#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "wire/http1_request.h"
#include "wire/server_connection.h"

namespace almondtally::detail {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
/// A refused caller gets this time to read the answer, and may send this much
/// meanwhile.
constexpr Duration kLingerTimeout{2'000};
constexpr size_t kMaxDiscardedBytes = 256 << 10;

class Http1Protocol;

class Http1Exchange : public ExchangeState {
 public:
  explicit Http1Exchange(Http1Protocol* owner) : owner_(owner) {}

  bool closed() const override { return owner_ == nullptr || ended_; }
  void Answer(int status, const Headers& headers,
              std::string_view body) override;
  void Begin(int status, const Headers& headers) override;
  void Write(std::string_view chunk) override;
  void End() override;
  void Abort() override;
  size_t queued() const override;
  bool KeepOnly(size_t bytes) override;

  /// The response is complete or the connection is closed.
  void Detach() { owner_ = nullptr; }
  bool ended() const { return ended_; }

 private:
  Http1Protocol* owner_;
  bool begun_ = false;
  bool ended_ = false;
};

/// Serves one request after the other on a connection.
class Http1Protocol : public ServerProtocol {
 public:
  explicit Http1Protocol(ServerConnection& connection)
      : connection_(connection),
        server_(connection.server()),
        account_(*server_.budget, [this] { GiveUp(); }),
        since_(now()) {}

  void HandleInput(std::string_view bytes) override;
  void HandleSent() override;
  void HandleClosed() override;
  void CheckTimeouts(MonotonicTime now) override;
  void Shutdown() override {}
  bool wants_input() const override { return phase_ != Phase::kServing; }
  bool serving() const override {
    return phase_ == Phase::kServing && !exchange_->ended();
  }

  // For the exchange in progress.
  void SendHead(int status, const Headers& headers, const size_t* length,
                std::string_view body);
  void SendChunk(std::string_view chunk);
  void EndResponse();
  void AbortResponse();
  bool KeepOnly(size_t bytes) {
    return account_.Hold(kConnectionBytes + input_.size() + bytes, now());
  }
  size_t unsent() const { return connection_.unsent(); }

 private:
  enum class Phase : uint8_t { kHead, kBody, kServing, kDiscarding };

  MonotonicTime now() const { return server_.loop.now(); }
  void Process(std::string_view rest);
  bool ProcessHead(std::string_view& rest);
  bool ProcessBody(std::string_view& rest);
  bool AcceptHead();
  void Serve();
  void CompleteExchange();
  void HoldUnsent();
  void NotifyDrained();
  void Refuse(int status, IntakeEvent event, size_t bytes);
  void GiveUp();
  void CloseFor(IntakeEvent event);

  ServerConnection& connection_;
  ServerState& server_;
  IntakeAccount account_;
  Phase phase_ = Phase::kHead;
  /// When the present phase began.
  MonotonicTime since_;
  /// Part of a head, or requests that follow the one being served.
  std::string input_;
  /// Size of a partial head that has been parsed without success.
  size_t parsed_bytes_ = 0;
  Http1Head head_;
  Http1Body body_;
  std::shared_ptr<Http1Exchange> exchange_;
  size_t discarded_bytes_ = 0;
  bool processing_ = false;
  /// Input that followed the request being served had no room.
  bool drops_input_ = false;
  bool keep_alive_ = false;
  bool sends_chunks_ = false;
  bool sends_body_ = false;
  bool drain_notice_due_ = false;
};

void Http1Exchange::Answer(int status, const Headers& headers,
                           std::string_view body) {
  if (closed() || begun_) return;
  begun_ = ended_ = true;
  const size_t length = body.size();
  owner_->SendHead(status, headers, &length, body);
  owner_->EndResponse();
}

void Http1Exchange::Begin(int status, const Headers& headers) {
  if (closed() || begun_) return;
  begun_ = true;
  owner_->SendHead(status, headers, nullptr, {});
}

void Http1Exchange::Write(std::string_view chunk) {
  if (closed() || !begun_) return;
  owner_->SendChunk(chunk);
}

void Http1Exchange::End() {
  if (closed() || !begun_) return;
  ended_ = true;
  owner_->SendChunk({});
  owner_->EndResponse();
}

void Http1Exchange::Abort() {
  if (closed()) return;
  ended_ = true;
  owner_->AbortResponse();
}

size_t Http1Exchange::queued() const {
  return owner_ == nullptr ? 0 : owner_->unsent();
}

bool Http1Exchange::KeepOnly(size_t bytes) {
  request.body = {};
  return closed() || owner_->KeepOnly(bytes);
}

void Http1Protocol::HandleInput(std::string_view bytes) {
  if (phase_ == Phase::kDiscarding) {
    discarded_bytes_ += bytes.size();
    if (discarded_bytes_ > kMaxDiscardedBytes) connection_.Close();
    return;
  }
  if (account_.arriving()) account_.AddProgress(bytes.size(), now());
  Process(bytes);
}

/// @param rest input that follows `input_`.
void Http1Protocol::Process(std::string_view rest) {
  std::string work;
  if (!input_.empty()) {
    work = std::exchange(input_, {});
    work += rest;
    rest = work;
  }
  processing_ = true;
  while (phase_ == Phase::kHead ? ProcessHead(rest)
                                : phase_ == Phase::kBody && ProcessBody(rest)) {
  }
  processing_ = false;
  if (connection_.closed() || phase_ == Phase::kDiscarding) return;
  if (rest.empty()) return;
  input_ = rest;
  if (phase_ != Phase::kServing ||
      account_.Hold(account_.bytes() + input_.size(), now()))
    return;
  // The requests that follow are dropped; the caller sees that the connection
  // closes after the answer to the first one.
  input_ = {};
  drops_input_ = true;
}

/// @return true if there is more to process.
bool Http1Protocol::ProcessHead(std::string_view& rest) {
  // Empty lines before a request are allowed (RFC 9112, section 2.2).
  while (rest.starts_with("\r\n")) rest.remove_prefix(2);
  if (rest.empty()) return false;
  const size_t max_head = server_.limits.max_head;
  const Http1HeadStatus status =
      ParseHttp1Head(rest, std::exchange(parsed_bytes_, 0), head_);
  if (status == Http1HeadStatus::kMalformed) {
    Refuse(kBadRequest, IntakeEvent::kMalformed, rest.size());
    return false;
  }
  if ((status == Http1HeadStatus::kPartial ? rest.size() : head_.size) >
      max_head) {
    Refuse(kHeadTooLarge, IntakeEvent::kHeadTooLarge, rest.size());
    return false;
  }
  if (status == Http1HeadStatus::kPartial) {
    if (!account_.arriving()) {
      since_ = now();
      account_.BeginArrival(since_);
    }
    parsed_bytes_ = rest.size();
    if (!account_.Hold(kConnectionBytes + rest.size(), now()))
      Refuse(kUnavailable, IntakeEvent::kNoRoom, rest.size());
    return false;
  }
  rest.remove_prefix(head_.size);
  return AcceptHead();
}

/// Decides on a request before its body is read.
bool Http1Protocol::AcceptHead() {
  if (head_.content_length > server_.limits.max_body) {
    Refuse(kContentTooLarge, IntakeEvent::kBodyTooLarge, head_.content_length);
    return false;
  }
  if (!account_.Hold(kConnectionBytes + head_.size + head_.content_length,
                     now())) {
    Refuse(kUnavailable, IntakeEvent::kNoRoom, head_.content_length);
    return false;
  }
  if (!head_.chunked && head_.content_length == 0) {
    Serve();
    return phase_ == Phase::kHead;
  }
  body_ = Http1Body(head_, server_.limits.max_body);
  phase_ = Phase::kBody;
  since_ = now();
  if (head_.expects_continue) connection_.Send("HTTP/1.1 100 Continue\r\n\r\n");
  return true;
}

bool Http1Protocol::ProcessBody(std::string_view& rest) {
  if (head_.chunked &&
      !account_.Hold(kConnectionBytes + head_.size + body_.size() + rest.size(),
                     now())) {
    Refuse(kUnavailable, IntakeEvent::kNoRoom, body_.size());
    return false;
  }
  size_t consumed = 0;
  const Http1Body::Status status = body_.Append(rest, consumed);
  rest.remove_prefix(consumed);
  switch (status) {
    case Http1Body::Status::kPartial:
      // Most requests are complete with the first read.
      if (!account_.arriving()) account_.BeginArrival(now());
      return false;
    case Http1Body::Status::kMalformed:
      Refuse(kBadRequest, IntakeEvent::kMalformed, body_.size());
      return false;
    case Http1Body::Status::kTooLarge:
      Refuse(kContentTooLarge, IntakeEvent::kBodyTooLarge, body_.size());
      return false;
    case Http1Body::Status::kComplete:
      break;
  }
  head_.request.body = body_.Take();
  body_ = {};
  Serve();
  return phase_ == Phase::kHead;
}

void Http1Protocol::Serve() {
  account_.EndArrival();
  phase_ = Phase::kServing;
  since_ = now();
  exchange_ = std::make_shared<Http1Exchange>(this);
  exchange_->request = std::move(head_.request);
  ++server_.open_exchanges;
  server_.handler(Exchange(exchange_));
}

void Http1Protocol::SendHead(int status, const Headers& headers,
                             const size_t* length, std::string_view body) {
  const bool head_only = exchange_->request.method == "HEAD";
  const bool has_body = status != kNoContent && status != kNotModified;
  sends_body_ = has_body && !head_only;
  sends_chunks_ = sends_body_ && length == nullptr && !head_.http10;
  keep_alive_ = head_.keep_alive && !drops_input_ && !server_.shut_down &&
                (!sends_body_ || length != nullptr || sends_chunks_);
  constexpr size_t kHeadBytes = 256;
  std::string out;
  out.reserve(kHeadBytes + (sends_body_ ? body.size() : 0));
  out += "HTTP/1.1 " + std::to_string(status) + " \r\ndate: " + HttpDate() +
         "\r\nserver: almondtally\r\nconnection: ";
  out += keep_alive_ ? "keep-alive" : "close";
  if (has_body && length != nullptr)
    out += "\r\ncontent-length: " + std::to_string(*length);
  if (sends_chunks_) out += "\r\ntransfer-encoding: chunked";
  out += "\r\n";
  for (const Header& it : headers) {
    if (IsConnectionField(it.name)) continue;
    out += it.name;
    out += ": ";
    out += it.value;
    out += "\r\n";
  }
  out += "\r\n";
  if (sends_body_) out += body;
  connection_.Send(out);
  HoldUnsent();
}

/// @param chunk the next part of the body; empty for its end.
void Http1Protocol::SendChunk(std::string_view chunk) {
  if (!sends_body_) return;
  if (!sends_chunks_) {
    connection_.Send(chunk);
  } else {
    constexpr int kHex = 16;
    std::array<char, 20> buf{};
    const auto end =
        std::to_chars(buf.data(), buf.data() + buf.size(), chunk.size(), kHex);
    std::string out(buf.data(), end.ptr);
    out += "\r\n";
    out += chunk;
    out += "\r\n";
    connection_.Send(out);
  }
  HoldUnsent();
  if (unsent() == 0) NotifyDrained();
}

void Http1Protocol::NotifyDrained() {
  if (std::exchange(drain_notice_due_, true)) return;
  connection_.RunLater([this, exchange = exchange_] {
    drain_notice_due_ = false;
    if (exchange->closed() || unsent() > 0 || !exchange->on_drained) return;
    const auto fn = exchange->on_drained;
    fn();
  });
}

/// Counts what the caller has not read yet.
void Http1Protocol::HoldUnsent() {
  if (unsent() == 0 || connection_.closed()) return;
  const size_t bytes = kConnectionBytes + unsent() + input_.size() +
                       exchange_->request.body.size();
  if (account_.Hold(std::max(bytes, account_.bytes()), now())) return;
  // An answer cannot be taken back; the caller sees that it is incomplete.
  connection_.RunLater([this] { CloseFor(IntakeEvent::kAnswerUnread); });
}

void Http1Protocol::EndResponse() {
  if (unsent() == 0 && !connection_.closed()) CompleteExchange();
}

void Http1Protocol::AbortResponse() {
  // Some callers take a body that ends after a chunk for complete: the next
  // chunk is announced, and does not follow.
  if (sends_chunks_) connection_.Send("1\r\n");
  connection_.RunLater([this, reset = sends_body_ && !sends_chunks_] {
    if (reset) return connection_.Reset();
    connection_.Close();
  });
}

void Http1Protocol::CompleteExchange() {
  --server_.open_exchanges;
  exchange_->Detach();
  exchange_->on_drained = nullptr;
  exchange_->on_disconnected = nullptr;
  exchange_ = nullptr;
  connection_.MarkServed();
  phase_ = Phase::kHead;
  since_ = now();
  if (!keep_alive_) {
    phase_ = Phase::kDiscarding;
    account_.Hold(0, since_);
    return connection_.RunLater([this] { connection_.Close(); });
  }
  if (drops_input_) return connection_.Close();
  account_.Hold(kConnectionBytes + input_.size(), since_);
  if (processing_) return;
  if (input_.empty()) return connection_.ResumeReading();
  // The answer may have been sent from within another decision.
  connection_.RunLater([this] {
    Process({});
    if (phase_ != Phase::kServing) connection_.ResumeReading();
  });
}

void Http1Protocol::HandleSent() {
  if (exchange_ == nullptr) return;
  if (exchange_->ended()) return CompleteExchange();
  NotifyDrained();
}

void Http1Protocol::HandleClosed() {
  account_.EndArrival();
  account_.Hold(0, now());
  input_ = {};
  body_ = {};
  if (exchange_ == nullptr) return;
  --server_.open_exchanges;
  const auto exchange = std::exchange(exchange_, nullptr);
  const bool incomplete = !exchange->ended();
  exchange->Detach();
  exchange->on_drained = nullptr;
  const auto disconnected = std::exchange(exchange->on_disconnected, nullptr);
  if (incomplete && disconnected) disconnected();
}

void Http1Protocol::CheckTimeouts(MonotonicTime now) {
  const ServerLimits& limits = server_.limits;
  switch (phase_) {
    case Phase::kHead:
      if (!account_.arriving()) {
        if (now - since_ >= limits.http1_idle_timeout) connection_.Close();
      } else if (now - since_ >= limits.head_timeout) {
        CloseFor(IntakeEvent::kArrivalTimeout);
      }
      return;
    case Phase::kBody:
      if (now - since_ >= limits.body_timeout ||
          (account_.arriving() &&
           now - account_.last_progress() >= limits.stall_timeout))
        CloseFor(IntakeEvent::kArrivalTimeout);
      return;
    case Phase::kServing:
      if (unsent() > 0 && now - connection_.last_sent() >= limits.stall_timeout)
        CloseFor(IntakeEvent::kAnswerUnread);
      return;
    case Phase::kDiscarding:
      if (now - since_ >= kLingerTimeout) connection_.Close();
      return;
  }
}

void Http1Protocol::CloseFor(IntakeEvent event) {
  connection_.Report(event, 0, account_.bytes());
  connection_.Close();
}

/// Answers a request that is not served, and closes the connection.
void Http1Protocol::Refuse(int status, IntakeEvent event, size_t bytes) {
  connection_.Report(event, status, bytes);
  phase_ = Phase::kDiscarding;
  since_ = now();
  account_.EndArrival();
  account_.Hold(0, since_);
  input_ = {};
  body_ = {};
  const std::string body =
      "{\"error\":\"" + std::string(ToString(event)) + ", not run\"}";
  std::string out = "HTTP/1.1 " + std::to_string(status) +
                    " \r\ndate: " + HttpDate() +
                    "\r\nserver: almondtally\r\nconnection: close\r\n"
                    "content-type: application/json\r\ncontent-length: " +
                    std::to_string(body.size());
  if (status == kUnavailable) out += "\r\nretry-after: 1";
  out += "\r\n\r\n" + body;
  connection_.Send(out);
  connection_.FinishSending();
}

/// The request is given up for another one.
void Http1Protocol::GiveUp() {
  Refuse(kUnavailable, IntakeEvent::kEvicted, account_.bytes());
}

}  // namespace

std::unique_ptr<ServerProtocol> MakeHttp1Protocol(
    ServerConnection& connection) {
  return std::make_unique<Http1Protocol>(connection);
}

}  // namespace almondtally::detail
