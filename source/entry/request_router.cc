#include "entry/request_router.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/log.h"
#include "peer/request_headers.h"

namespace almondtally {

struct RequestRouter::Routed {
  explicit Routed(Exchange it) : exchange(std::move(it)) {}

  Exchange exchange;
  ServiceId service;
  RequestId id;
  bool idempotent = false;
  std::string key;
  MonotonicTime started_at{};
  MonotonicTime sent_at{};
  MonotonicTime deadline{};
  std::vector<VmId> tried;
  VmId vm;
  Incarnation incarnation;
  TargetTime as_of;
  std::string choice_reason;
  /// Row version of the claim of this key, once known.
  RowVersion claim;
  /// The claim was made for another request of this key.
  bool claimed_by_other = false;
  std::shared_ptr<Call> call;
  bool counted_in_flight = false;
  /// The target said that it has not run it, and why.
  std::optional<std::string> refusal;
  bool head_sent = false;
  bool closed = false;
};

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr size_t kMaxQueuedBytes = 256 << 10;
constexpr size_t kMaxKeyLength = 128;
constexpr size_t kMaxAttempts = 4;
constexpr size_t kHistoryKept = 1'000;
constexpr int kWithdrawTries = 4;
constexpr Duration kWithdrawTimeout{1'000};
constexpr Duration kWithdrawAgain{250};

bool IsKeyText(const std::string& text) {
  if (text.empty() || text.size() > kMaxKeyLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

/// A claim of an idempotency key: which target has the request.
struct ClaimRow {
  VmId vm;
  Incarnation incarnation;
  RequestId request;
  TargetTime as_of;
  /// Of method, path and body, so that a key is not used for two requests.
  uint64_t fingerprint = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimRow, vm, incarnation,
                                                request, as_of, fingerprint)

std::string ClaimKey(const ServiceId& service, const std::string& key) {
  return "claim/" + service.value + "/" + key;
}

uint64_t Fingerprint(const HttpRequest& request) {
  return StableHash(request.method + "\n" + request.path + "\n" + request.body);
}

/// Parses "in_use/queued/limit".
std::optional<ServiceLoad> ParseLoad(const std::string& text) {
  ServiceLoad load;
  int64_t* const parts[] = {&load.in_use, &load.queued, &load.limit};
  const char* at = text.data();
  const char* end = at + text.size();
  for (int64_t* part : parts) {
    const auto [rest, ec] = std::from_chars(at, end, *part);
    if (ec != std::errc()) return std::nullopt;
    at = rest == end ? rest : rest + 1;
  }
  return load;
}

}  // namespace

void RequestRouter::Handle(const Exchange& exchange) {
  auto it = std::make_shared<Routed>(exchange);
  it->id = RequestId(RandomName(context_.random, "r-"));
  it->started_at = context_.loop.now();
  ++open_;
  exchange.OnGone([this, weak = std::weak_ptr(it)] {
    const RoutedPtr gone = weak.lock();
    if (gone == nullptr || gone->closed) return;
    if (gone->call != nullptr) gone->call->Cancel();
    Close(gone, Outcome::kUnknown, "the caller went away");
  });
  if (!Check(it)) return;
  NoteRequest(context_.retries, context_.routing);
  const bool needs_claim = !it->idempotent && !it->key.empty();
  if (needs_claim) return Claim(it);
  if (!Choose(it)) return;
  Send(it);
}

bool RequestRouter::Check(const RoutedPtr& it) {
  const HttpRequest& request = it->exchange.request();
  const auto refuse = [&](int status, const std::string& reason) {
    Refuse(it, status, Outcome::kNotRun, reason);
    return false;
  };
  const auto path = SplitServicePath(request.path);
  if (!path) return refuse(kNotFound, "no such path; give /svc/SERVICE/...");
  it->service = path->service;
  if (request.body.size() > context_.settings.max_body) {
    return refuse(kTooLarge, "the body is larger than this entry takes");
  }
  if (!context_.config.ready()) {
    return refuse(kUnavailable, "the configuration is not known yet");
  }
  const auto service = FindService(context_.config.config(), path->service);
  if (!service) return refuse(kNotFound, "no such service");
  it->idempotent = IsIdempotent(request.method);
  if (const auto* key = FindHeader(request.headers, header::kIdempotencyKey)) {
    if (!IsKeyText(*key)) {
      return refuse(kBadRequest,
                    "idempotency-key: give 1 to 128 letters, digits, '-', "
                    "'_', '.' or ':'");
    }
    it->key = *key;
  }
  int64_t deadline_ms = service->deadline_ms;
  if (FindHeader(request.headers, header::kDeadline) != nullptr) {
    const auto given = NumberHeader(request.headers, header::kDeadline);
    if (!given || *given < 1) {
      return refuse(kBadRequest,
                    "x-almondtally-deadline-ms: give a whole number above 0");
    }
    deadline_ms = std::min(deadline_ms, *given);
  }
  it->deadline = it->started_at + Duration(deadline_ms);
  if (open_ > context_.settings.max_requests) {
    return refuse(kUnavailable, "this entry has too many requests");
  }
  if (context_.draining) return refuse(kUnavailable, "this entry is draining");
  return true;
}

bool RequestRouter::Choose(const RoutedPtr& it) {
  std::string why;
  const auto choice = ChooseTarget(
      context_.targets[it->service], context_.settings.data_centre, it->tried,
      context_.routing, context_.loop.now(), context_.random, why);
  if (!choice) {
    Refuse(it, kUnavailable, Outcome::kNotRun,
           it->refusal ? why + ": " + *it->refusal : why);
    return false;
  }
  const VmRow& vm = context_.vms.at(choice->vm);
  it->vm = choice->vm;
  it->incarnation = vm.incarnation;
  it->as_of = vm.as_of;
  it->choice_reason = choice->reason;
  return true;
}

void RequestRouter::Attempt(const RoutedPtr& it) {
  if (it->closed) return;
  // A new id for each try at another target, so that a record of one try
  // says nothing about another.
  it->id = RequestId(RandomName(context_.random, "r-"));
  if (it->claim.value != 0) return Claim(it);
  if (Choose(it)) Send(it);
}

void RequestRouter::Claim(const RoutedPtr& it) {
  if (!Choose(it)) return;
  const std::string row = ClaimKey(it->service, it->key);
  const ClaimRow claim{it->vm, it->incarnation, it->id, it->as_of,
                       Fingerprint(it->exchange.request())};
  Transaction transaction;
  transaction.checks = {{row, it->claim}};
  transaction.puts = {{row, nlohmann::json(claim).dump()}};
  context_.table.commit(
      transaction, [this, it](const auto& done, const auto& why) {
        if (it->closed) return;
        if (done) {
          it->claim = done->version;
          it->claimed_by_other = false;
          return Send(it);
        }
        if (why.code == PlatformError::kUnreachable ||
            why.code == PlatformError::kRefused) {
          return Refuse(it, kUnavailable, Outcome::kNotRun,
                        "the key cannot be claimed: " + why.text);
        }
        ReadClaim(it);
      });
}

void RequestRouter::ReadClaim(const RoutedPtr& it) {
  const std::string row = ClaimKey(it->service, it->key);
  context_.table.get({row}, [this, it](const auto& rows, const auto&) {
    if (it->closed) return;
    if (!rows) {
      // The claim may be there, but nothing was sent under it by us. Another
      // caller of the same key may have been served.
      return Refuse(it, kUnavailable, Outcome::kUnknown,
                    "the claim of this key cannot be read");
    }
    if (rows->empty()) {
      return Refuse(it, kUnavailable, Outcome::kNotRun,
                    "the key could not be claimed");
    }
    const auto in = nlohmann::json::parse(rows->front().value, nullptr, false);
    ClaimRow claim;
    if (in.is_object()) claim = in.template get<ClaimRow>();
    if (claim.fingerprint != Fingerprint(it->exchange.request())) {
      return Refuse(it, kUnprocessable, Outcome::kNotRun,
                    "this key was used for another request");
    }
    it->vm = claim.vm;
    it->incarnation = claim.incarnation;
    it->as_of = claim.as_of;
    it->choice_reason = "claimed by its idempotency key";
    it->claim = rows->front().version;
    it->claimed_by_other = claim.request != it->id;
    it->id = claim.request;
    const auto vm = context_.vms.find(claim.vm);
    if (vm == context_.vms.end() ||
        vm->second.incarnation != claim.incarnation) {
      return Refuse(it, kConflict, Outcome::kUnknown,
                    "the target that took this key is gone");
    }
    Send(it);
  });
}

void RequestRouter::Send(const RoutedPtr& it) {
  const auto vm = context_.vms.find(it->vm);
  const Duration left = it->deadline - context_.loop.now();
  if (vm == context_.vms.end() || left <= Duration(0)) {
    return Refuse(it, kUnavailable, Outcome::kNotRun,
                  "its deadline passed before it was sent");
  }
  Log(Event::kRequestRouted, {{"request", it->id.value},
                              {"service", it->service.value},
                              {"vm", it->vm.value},
                              {"reason", it->choice_reason}});
  const HttpRequest& from = it->exchange.request();
  HttpRequest to{from.method, from.path, EndToEndHeaders(from.headers),
                 from.body};
  to.headers.push_back({header::kRequest, it->id.value});
  to.headers.push_back({header::kDeadline, std::to_string(left.count())});
  to.headers.push_back({header::kAsOf, std::to_string(it->as_of.value)});
  to.headers.push_back(
      {header::kIncarnation, std::to_string(it->incarnation.value)});
  if (!it->key.empty() && !it->idempotent) {
    to.headers.push_back({header::kKeyed, "1"});
  }
  if (TargetLoad* load = LoadOf(it)) {
    ++load->in_flight;
    it->counted_in_flight = true;
  }
  it->refusal.reset();
  it->sent_at = context_.loop.now();
  CallHooks hooks;
  hooks.on_head = [this, it](int status, const Headers& headers) {
    TakeHead(it, status, headers);
  };
  hooks.on_body = [it](std::string_view piece) {
    if (!it->head_sent) return;
    it->exchange.Write(piece);
    const bool full = it->exchange.queued() > kMaxQueuedBytes;
    if (full && it->call != nullptr) it->call->SetPaused(true);
  };
  hooks.on_end = [this, it](CallEnd end) { TakeEnd(it, end); };
  it->exchange.OnDrained([weak = std::weak_ptr(it)] {
    const RoutedPtr drained = weak.lock();
    if (drained == nullptr || drained->call == nullptr) return;
    drained->call->SetPaused(false);
  });
  // The target gives up at the deadline; a little later its word is lost.
  constexpr Duration kGrace{200};
  it->call = context_.links.To(vm->second.address)
                 .Start(std::move(to), left + kGrace, std::move(hooks));
}

TargetLoad* RequestRouter::LoadOf(const RoutedPtr& it) {
  return FindTarget(context_.targets[it->service], it->vm);
}

void RequestRouter::NoteTarget(const RoutedPtr& it, bool failed) {
  TargetLoad* load = LoadOf(it);
  if (load == nullptr) return;
  if (std::exchange(it->counted_in_flight, false) && load->in_flight > 0) {
    --load->in_flight;
  }
  if (NoteOutcome(*load, failed, context_.routing, context_.loop.now())) {
    Log(Event::kTargetEjected,
        {{"vm", it->vm.value}, {"service", it->service.value}});
  }
}

void RequestRouter::TakeHead(const RoutedPtr& it, int status,
                             const Headers& headers) {
  const std::string* outcome = FindHeader(headers, header::kOutcome);
  const std::string* load_text = FindHeader(headers, header::kLoad);
  if (load_text != nullptr) {
    const auto load = ParseLoad(*load_text);
    TargetLoad* target = LoadOf(it);
    if (load && target != nullptr) {
      target->limit = load->limit;
      target->announced = load->in_use + load->queued;
      target->in_flight_then = target->in_flight;
    }
  }
  if (outcome != nullptr && *outcome == ToString(Outcome::kNotRun)) {
    const std::string* reason = FindHeader(headers, header::kReason);
    it->refusal = reason == nullptr ? "refused by the target" : *reason;
    return;
  }
  Headers out = EndToEndHeaders(headers);
  out.push_back({header::kOutcome,
                 outcome == nullptr ? std::string(ToString(Outcome::kUnknown))
                                    : *outcome});
  if (const std::string* reason = FindHeader(headers, header::kReason)) {
    out.push_back({header::kReason, *reason});
  }
  out.push_back({header::kRequest, it->id.value});
  it->head_sent = true;
  if (TargetLoad* target = LoadOf(it)) {
    NoteAnswer(*target, context_.loop.now() - it->sent_at);
  }
  it->exchange.Begin(status, out);
}

void RequestRouter::TakeEnd(const RoutedPtr& it, CallEnd end) {
  if (it->closed) return;
  it->call = nullptr;
  const bool failed = end.error != WireError::kNone;
  NoteTarget(it, failed);
  if (!failed && it->refusal) return RetryElsewhere(it, *it->refusal);
  if (!failed) {
    it->exchange.End();
    return Close(it, Outcome::kRan, "answered");
  }
  const std::string reason(ToString(end.error));
  if (it->head_sent) {
    it->exchange.Abort();
    return Close(it, Outcome::kUnknown, "the answer was cut: " + reason);
  }
  if (end.sent == Sent::kNo && it->claimed_by_other) {
    // We sent nothing, but whoever made the claim may have.
    return Refuse(it, kUnavailable, Outcome::kUnknown,
                  "the target that took this key cannot be reached");
  }
  if (end.sent == Sent::kNo) {
    it->refusal = "the target cannot be reached: " + reason;
    return RetryElsewhere(it, *it->refusal);
  }
  const bool in_time = context_.loop.now() < it->deadline;
  if (it->idempotent && in_time) {
    it->refusal = reason;
    return RetryElsewhere(it, reason);
  }
  Withdraw(it, kWithdrawTries);
}

void RequestRouter::RetryElsewhere(const RoutedPtr& it,
                                   const std::string& reason) {
  it->tried.push_back(it->vm);
  const bool may_retry =
      it->tried.size() < kMaxAttempts && context_.loop.now() < it->deadline;
  const bool has_budget = may_retry && TakeRetry(context_.retries);
  if (!has_budget) {
    return Refuse(
        it, kUnavailable, Outcome::kNotRun,
        may_retry ? reason + "; the retry budget is used up" : reason);
  }
  context_.metrics.CountRetry();
  Attempt(it);
}

void RequestRouter::Withdraw(const RoutedPtr& it, int tries_left) {
  const auto vm = context_.vms.find(it->vm);
  if (tries_left == 0 || vm == context_.vms.end()) {
    return Refuse(it, kGatewayTimeout, Outcome::kUnknown,
                  "the link to the target was lost after sending");
  }
  const WithdrawRequest request{kMessageVersion, it->id, it->incarnation,
                                it->as_of};
  context_.links.Send<WithdrawAnswer>(
      vm->second.address, peer_path::kWithdraw, request, kWithdrawTimeout,
      [this, it, tries_left](const std::optional<WithdrawAnswer>& answer,
                             const WireReason&) {
        if (it->closed) return;
        if (answer) return TakeWithdrawn(it, *answer, tries_left);
        context_.loop.After(kWithdrawAgain, [this, it, tries_left] {
          if (!it->closed) Withdraw(it, tries_left - 1);
        });
      });
}

void RequestRouter::TakeWithdrawn(const RoutedPtr& it,
                                  const WithdrawAnswer& answer,
                                  int tries_left) {
  Log(Event::kRequestWithdrawn,
      {{"request", it->id.value},
       {"vm", it->vm.value},
       {"verdict", nlohmann::json(answer.verdict).get<std::string>()}});
  const bool in_time = context_.loop.now() < it->deadline;
  switch (answer.verdict) {
    case WithdrawVerdict::kNeverRuns:
      it->refusal = "withdrawn before it started";
      if (in_time) return RetryElsewhere(it, *it->refusal);
      return Refuse(it, kUnavailable, Outcome::kNotRun, *it->refusal);
    case WithdrawVerdict::kDone: {
      Headers headers = EndToEndHeaders(answer.headers);
      headers.push_back({header::kOutcome, "ran"});
      headers.push_back({header::kRequest, it->id.value});
      it->exchange.Answer(answer.status, headers, answer.body);
      return Close(it, Outcome::kRan, "answered after a lost link");
    }
    case WithdrawVerdict::kRunning:
      if (!in_time) break;
      context_.loop.After(kWithdrawAgain, [this, it, tries_left] {
        if (!it->closed) Withdraw(it, tries_left);
      });
      return;
    case WithdrawVerdict::kDoneWithoutAnswer:
      return Refuse(it, kGatewayTimeout, Outcome::kRan,
                    "it ran, but its answer was lost");
    case WithdrawVerdict::kUnknown:
      break;
  }
  Refuse(it, kGatewayTimeout, Outcome::kUnknown,
         "the target cannot tell whether it ran");
}

void RequestRouter::Refuse(const RoutedPtr& it, int status, Outcome outcome,
                           const std::string& reason) {
  if (it->closed) return;
  // The entry that made the claim may still move it to another target.
  if (outcome == Outcome::kNotRun && it->claimed_by_other) {
    outcome = Outcome::kUnknown;
  }
  Headers headers = RefusalHeaders(outcome, reason, it->id);
  if (status == kUnavailable) headers.push_back({"retry-after", "1"});
  it->exchange.Answer(status, headers, RefusalBody(outcome, reason, it->id));
  context_.metrics.CountRefusal(reason);
  Log(outcome == Outcome::kNotRun ? Event::kRequestRefused
                                  : Event::kRequestUnknown,
      {{"request", it->id.value},
       {"service", it->service.value},
       {"status", status},
       {"outcome", std::string(ToString(outcome))},
       {"reason", reason}});
  Close(it, outcome, reason);
}

void RequestRouter::Close(const RoutedPtr& it, Outcome outcome,
                          const std::string& reason) {
  if (it->closed) return;
  it->closed = true;
  --open_;
  NoteTarget(it, false);
  const std::string outcome_text(ToString(outcome));
  // A name from outside must not make a metric of its own.
  const bool known =
      FindService(context_.config.config(), it->service).has_value();
  context_.metrics.CountRequest(known ? it->service.value : "unknown",
                                outcome_text,
                                context_.loop.now() - it->started_at);
  history_[it->id] = "service " + it->service.value + ", outcome " +
                     outcome_text + ", " + reason +
                     (it->vm.empty() ? ""
                                     : ", VM " + it->vm.value + " (" +
                                           it->choice_reason + ")");
  history_order_.push_back(it->id);
  if (history_order_.size() <= kHistoryKept) return;
  history_.erase(history_order_.front());
  history_order_.pop_front();
}

std::string RequestRouter::Explain(const RequestId& request) const {
  const auto it = history_.find(request);
  return it == history_.end() ? "" : it->second;
}

}  // namespace almondtally
