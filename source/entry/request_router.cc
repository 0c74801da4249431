#include "entry/request_router.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/log.h"
#include "base/untrusted_json.h"
#include "peer/request_headers.h"

namespace almondtally {

struct RequestRouter::ActiveRequest {
  explicit ActiveRequest(Exchange caller) : exchange(std::move(caller)) {}

  Exchange exchange;
  ServiceId service;
  RequestId id;
  bool idempotent = false;
  std::string key;
  MonotonicTime started_at{};
  MonotonicTime sent_at{};
  MonotonicTime deadline{};
  std::vector<VmId> tried_targets;
  VmId vm;
  Incarnation incarnation;
  TargetTime as_of;
  std::string choice_reason;
  /// Row version of the claim of this idempotency key; 0 until known.
  RowVersion claim;
  /// The claim was made by another request with the same key.
  bool claimed_by_other = false;
  std::shared_ptr<Call> call;
  bool counted_in_flight = false;
  /// Why the last attempt failed; part of the refusal if no retry succeeds.
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
constexpr size_t kMaxHistory = 1'000;
constexpr int kMaxWithdrawAttempts = 4;
constexpr Duration kWithdrawTimeout{1'000};
constexpr Duration kWithdrawRetryDelay{250};

bool IsValidIdempotencyKey(const std::string& text) {
  if (text.empty() || text.size() > kMaxKeyLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

/// Claim of an idempotency key; names the target that received the request.
struct ClaimRow {
  VmId vm;
  Incarnation incarnation;
  RequestId request;
  TargetTime as_of;
  /// Hash of method, path and body; detects reuse of a key for another request.
  uint64_t fingerprint = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimRow, vm, incarnation,
                                                request, as_of, fingerprint)

std::optional<ClaimRow> DecodeClaim(const Row& row) {
  const nlohmann::json in = ParseJson(row.value);
  if (!in.is_object()) return std::nullopt;
  try {
    return in.get<ClaimRow>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string ClaimRowKey(const ServiceId& service, const std::string& key) {
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
  auto active = std::make_shared<ActiveRequest>(exchange);
  active->id = RequestId(RandomName(context_.random, "r-"));
  active->started_at = context_.loop.now();
  ++open_;
  exchange.OnCallerDisconnected([this, weak = std::weak_ptr(active)] {
    const ActiveRequestPtr gone = weak.lock();
    if (gone == nullptr || gone->closed) return;
    if (gone->call != nullptr) gone->call->Cancel();
    Close(gone, RequestOutcome::kUnknown, "the caller went away");
  });
  if (!Validate(active)) return;
  AddRetryCredit(context_.retries, context_.routing);
  const bool needs_claim = !active->idempotent && !active->key.empty();
  if (needs_claim) return ClaimIdempotencyKey(active);
  if (!SelectTarget(active)) return;
  SendToTarget(active);
}

bool RequestRouter::Validate(const ActiveRequestPtr& active) {
  const HttpRequest& request = active->exchange.request();
  const auto refuse = [&](int status, const std::string& reason) {
    Refuse(active, status, RequestOutcome::kNotRun, reason);
    return false;
  };
  const auto path = SplitServicePath(request.path);
  if (!path) return refuse(kNotFound, "no such path; give /svc/SERVICE/...");
  active->service = path->service;
  if (request.body.size() > context_.settings.max_body) {
    return refuse(kTooLarge, "the body is larger than this entry takes");
  }
  if (!context_.config.ready()) {
    return refuse(kUnavailable, "the configuration is not known yet");
  }
  const auto service = FindService(context_.config.config(), path->service);
  if (!service) return refuse(kNotFound, "no such service");
  active->idempotent = IsIdempotent(request.method);
  if (const auto* key = FindHeader(request.headers, header::kIdempotencyKey)) {
    if (!IsValidIdempotencyKey(*key)) {
      return refuse(kBadRequest,
                    "idempotency-key: give 1 to 128 letters, digits, '-', "
                    "'_', '.' or ':'");
    }
    active->key = *key;
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
  active->deadline = active->started_at + Duration(deadline_ms);
  if (open_ > context_.settings.max_requests) {
    return refuse(kUnavailable, "this entry has too many requests");
  }
  if (context_.draining) return refuse(kUnavailable, "this entry is draining");
  return true;
}

bool RequestRouter::SelectTarget(const ActiveRequestPtr& active) {
  std::string why;
  const auto choice =
      ChooseTarget(context_.targets[active->service],
                   context_.settings.data_centre, active->tried_targets,
                   context_.routing, context_.loop.now(), context_.random, why);
  if (!choice) {
    Refuse(active, kUnavailable, RequestOutcome::kNotRun,
           active->refusal ? why + ": " + *active->refusal : why);
    return false;
  }
  const VmRecord& vm = context_.vms.at(choice->vm);
  active->vm = choice->vm;
  active->incarnation = vm.incarnation;
  active->as_of = vm.as_of;
  active->choice_reason = choice->reason;
  return true;
}

void RequestRouter::StartNextAttempt(const ActiveRequestPtr& active) {
  if (active->closed) return;
  // Each attempt gets a new id, so that a target's record of one attempt cannot
  // be mistaken for that of another.
  active->id = RequestId(RandomName(context_.random, "r-"));
  if (active->claim.value != 0) return ClaimIdempotencyKey(active);
  if (SelectTarget(active)) SendToTarget(active);
}

void RequestRouter::ClaimIdempotencyKey(const ActiveRequestPtr& active) {
  if (!SelectTarget(active)) return;
  const std::string row = ClaimRowKey(active->service, active->key);
  const ClaimRow claim{active->vm, active->incarnation, active->id,
                       active->as_of, Fingerprint(active->exchange.request())};
  Transaction transaction;
  transaction.checks = {{row, active->claim}};
  transaction.puts = {{row, nlohmann::json(claim).dump()}};
  context_.table.commit(
      transaction, [this, active](const auto& done, const auto& why) {
        if (active->closed) return;
        if (done) {
          active->claim = done->version;
          active->claimed_by_other = false;
          return SendToTarget(active);
        }
        if (why.code == PlatformError::kUnreachable ||
            why.code == PlatformError::kRefused) {
          return Refuse(active, kUnavailable, RequestOutcome::kNotRun,
                        "the key cannot be claimed: " + why.text);
        }
        ReadExistingClaim(active);
      });
}

void RequestRouter::ReadExistingClaim(const ActiveRequestPtr& active) {
  const std::string row = ClaimRowKey(active->service, active->key);
  context_.table.get({row}, [this, active](const auto& rows, const auto&) {
    if (active->closed) return;
    if (!rows) {
      // This entry sent nothing, but a claim may exist, and a request with the
      // same key may have been served under it.
      return Refuse(active, kUnavailable, RequestOutcome::kUnknown,
                    "the claim of this key cannot be read");
    }
    if (rows->empty()) {
      return Refuse(active, kUnavailable, RequestOutcome::kNotRun,
                    "the key could not be claimed");
    }
    const auto decoded = DecodeClaim(rows->front());
    if (!decoded) {
      return Refuse(active, kUnavailable, RequestOutcome::kUnknown,
                    "the claim of this key cannot be read");
    }
    const ClaimRow& claim = *decoded;
    if (claim.fingerprint != Fingerprint(active->exchange.request())) {
      return Refuse(active, kUnprocessable, RequestOutcome::kNotRun,
                    "this key was used for another request");
    }
    active->vm = claim.vm;
    active->incarnation = claim.incarnation;
    active->as_of = claim.as_of;
    active->choice_reason = "claimed by its idempotency key";
    active->claim = rows->front().version;
    active->claimed_by_other = claim.request != active->id;
    active->id = claim.request;
    const auto vm = context_.vms.find(claim.vm);
    if (vm == context_.vms.end() ||
        vm->second.incarnation != claim.incarnation) {
      return Refuse(active, kConflict, RequestOutcome::kUnknown,
                    "the target that took this key is gone");
    }
    SendToTarget(active);
  });
}

void RequestRouter::SendToTarget(const ActiveRequestPtr& active) {
  const auto vm = context_.vms.find(active->vm);
  const Duration left = active->deadline - context_.loop.now();
  if (vm == context_.vms.end() || left <= Duration(0)) {
    return Refuse(active, kUnavailable, RequestOutcome::kNotRun,
                  "its deadline passed before it was sent");
  }
  Log(Event::kRequestRouted, {{"request", active->id.value},
                              {"service", active->service.value},
                              {"vm", active->vm.value},
                              {"reason", active->choice_reason}});
  const HttpRequest& from = active->exchange.request();
  HttpRequest to{from.method, from.path, EndToEndHeaders(from.headers),
                 from.body};
  to.headers.push_back({header::kRequest, active->id.value});
  to.headers.push_back({header::kDeadline, std::to_string(left.count())});
  to.headers.push_back({header::kAsOf, std::to_string(active->as_of.value)});
  to.headers.push_back(
      {header::kIncarnation, std::to_string(active->incarnation.value)});
  if (!active->key.empty() && !active->idempotent) {
    to.headers.push_back({header::kKeyed, "1"});
  }
  if (TargetLoad* load = FindTargetLoad(active)) {
    ++load->in_flight;
    active->counted_in_flight = true;
  }
  active->refusal.reset();
  active->sent_at = context_.loop.now();
  CallHooks hooks;
  hooks.on_headers = [this, active](int status, const Headers& headers) {
    HandleResponseHead(active, status, headers);
  };
  hooks.on_body = [active](std::string_view piece) {
    if (!active->head_sent) return;
    active->exchange.Write(piece);
    const bool full = active->exchange.queued() > kMaxQueuedBytes;
    if (full && active->call != nullptr) active->call->SetPaused(true);
  };
  hooks.on_end = [this, active](CallStatus end) { HandleCallEnd(active, end); };
  active->exchange.OnDrained([weak = std::weak_ptr(active)] {
    const ActiveRequestPtr drained = weak.lock();
    if (drained == nullptr || drained->call == nullptr) return;
    drained->call->SetPaused(false);
  });
  // The target gives up at the deadline; the slack leaves time for its answer
  // to arrive.
  constexpr Duration kDeadlineSlack{200};
  active->call =
      context_.links.To(vm->second.address)
          .Start(std::move(to), left + kDeadlineSlack, std::move(hooks));
}

TargetLoad* RequestRouter::FindTargetLoad(const ActiveRequestPtr& active) {
  return FindTarget(context_.targets[active->service], active->vm);
}

void RequestRouter::RecordTargetOutcome(const ActiveRequestPtr& active,
                                        bool failed) {
  TargetLoad* load = FindTargetLoad(active);
  if (load == nullptr) return;
  if (std::exchange(active->counted_in_flight, false) && load->in_flight > 0) {
    --load->in_flight;
  }
  if (RecordOutcome(*load, failed, context_.routing, context_.loop.now())) {
    Log(Event::kTargetEjected,
        {{"vm", active->vm.value}, {"service", active->service.value}});
  }
}

void RequestRouter::HandleResponseHead(const ActiveRequestPtr& active,
                                       int status, const Headers& headers) {
  const std::string* outcome = FindHeader(headers, header::kOutcome);
  const std::string* load_text = FindHeader(headers, header::kLoad);
  if (load_text != nullptr) {
    const auto load = ParseLoad(*load_text);
    TargetLoad* target = FindTargetLoad(active);
    if (load && target != nullptr) {
      target->limit = load->limit;
      target->announced = load->in_use + load->queued;
      target->in_flight_at_announce = target->in_flight;
    }
  }
  if (outcome != nullptr && *outcome == ToString(RequestOutcome::kNotRun)) {
    const std::string* reason = FindHeader(headers, header::kReason);
    active->refusal = reason == nullptr ? "refused by the target" : *reason;
    return;
  }
  Headers out = EndToEndHeaders(headers);
  out.push_back(
      {header::kOutcome, outcome == nullptr
                             ? std::string(ToString(RequestOutcome::kUnknown))
                             : *outcome});
  if (const std::string* reason = FindHeader(headers, header::kReason)) {
    out.push_back({header::kReason, *reason});
  }
  out.push_back({header::kRequest, active->id.value});
  active->head_sent = true;
  if (TargetLoad* target = FindTargetLoad(active)) {
    RecordLatency(*target, context_.loop.now() - active->sent_at);
  }
  active->exchange.Begin(status, out);
}

void RequestRouter::HandleCallEnd(const ActiveRequestPtr& active,
                                  CallStatus end) {
  if (active->closed) return;
  active->call = nullptr;
  const bool failed = end.error != WireError::kNone;
  RecordTargetOutcome(active, failed);
  if (!failed && active->refusal)
    return RetryOnAnotherTarget(active, *active->refusal);
  if (!failed) {
    active->exchange.End();
    return Close(active, RequestOutcome::kRan, "answered");
  }
  const std::string reason(ToString(end.error));
  if (active->head_sent) {
    active->exchange.Abort();
    return Close(active, RequestOutcome::kUnknown,
                 "the answer was cut: " + reason);
  }
  if (end.sent == SendStatus::kNo && active->claimed_by_other) {
    // This entry sent nothing, but the entry that made the claim may have.
    return Refuse(active, kUnavailable, RequestOutcome::kUnknown,
                  "the target that took this key cannot be reached");
  }
  if (end.sent == SendStatus::kNo) {
    active->refusal = "the target cannot be reached: " + reason;
    return RetryOnAnotherTarget(active, *active->refusal);
  }
  const bool in_time = context_.loop.now() < active->deadline;
  if (active->idempotent && in_time) {
    active->refusal = reason;
    return RetryOnAnotherTarget(active, reason);
  }
  Withdraw(active, kMaxWithdrawAttempts);
}

void RequestRouter::RetryOnAnotherTarget(const ActiveRequestPtr& active,
                                         const std::string& reason) {
  active->tried_targets.push_back(active->vm);
  const bool may_retry = active->tried_targets.size() < kMaxAttempts &&
                         context_.loop.now() < active->deadline;
  const bool has_budget = may_retry && TryTakeRetry(context_.retries);
  if (!has_budget) {
    return Refuse(
        active, kUnavailable, RequestOutcome::kNotRun,
        may_retry ? reason + "; the retry budget is used up" : reason);
  }
  context_.metrics.CountRetry();
  StartNextAttempt(active);
}

void RequestRouter::Withdraw(const ActiveRequestPtr& active,
                             int attempts_left) {
  const auto vm = context_.vms.find(active->vm);
  if (attempts_left == 0 || vm == context_.vms.end()) {
    return Refuse(active, kGatewayTimeout, RequestOutcome::kUnknown,
                  "the link to the target was lost after sending");
  }
  const WithdrawRequest request{kMessageVersion, active->id,
                                active->incarnation, active->as_of};
  context_.links.Send<WithdrawAnswer>(
      vm->second.address, peer_path::kWithdraw, request, kWithdrawTimeout,
      [this, active, attempts_left](const std::optional<WithdrawAnswer>& answer,
                                    const WireReason&) {
        if (active->closed) return;
        if (answer) return HandleWithdrawAnswer(active, *answer, attempts_left);
        context_.loop.RunAfter(kWithdrawRetryDelay,
                               [this, active, attempts_left] {
                                 if (!active->closed)
                                   Withdraw(active, attempts_left - 1);
                               });
      });
}

void RequestRouter::HandleWithdrawAnswer(const ActiveRequestPtr& active,
                                         const WithdrawAnswer& answer,
                                         int attempts_left) {
  Log(Event::kRequestWithdrawn,
      {{"request", active->id.value},
       {"vm", active->vm.value},
       {"verdict", nlohmann::json(answer.verdict).get<std::string>()}});
  const bool in_time = context_.loop.now() < active->deadline;
  switch (answer.verdict) {
    case WithdrawVerdict::kNeverRuns:
      active->refusal = "withdrawn before it started";
      if (in_time) return RetryOnAnotherTarget(active, *active->refusal);
      return Refuse(active, kUnavailable, RequestOutcome::kNotRun,
                    *active->refusal);
    case WithdrawVerdict::kDone: {
      Headers headers = EndToEndHeaders(answer.headers);
      headers.push_back({header::kOutcome, "ran"});
      headers.push_back({header::kRequest, active->id.value});
      active->exchange.Answer(answer.status, headers, answer.body);
      return Close(active, RequestOutcome::kRan, "answered after a lost link");
    }
    case WithdrawVerdict::kRunning:
      if (!in_time) break;
      context_.loop.RunAfter(kWithdrawRetryDelay,
                             [this, active, attempts_left] {
                               if (!active->closed)
                                 Withdraw(active, attempts_left);
                             });
      return;
    case WithdrawVerdict::kDoneWithoutAnswer:
      return Refuse(active, kGatewayTimeout, RequestOutcome::kRan,
                    "it ran, but its answer was lost");
    case WithdrawVerdict::kUnknown:
      break;
  }
  Refuse(active, kGatewayTimeout, RequestOutcome::kUnknown,
         "the target cannot tell whether it ran");
}

void RequestRouter::Refuse(const ActiveRequestPtr& active, int status,
                           RequestOutcome outcome, const std::string& reason) {
  if (active->closed) return;
  // The entry that made the claim may still move it to another target.
  if (outcome == RequestOutcome::kNotRun && active->claimed_by_other) {
    outcome = RequestOutcome::kUnknown;
  }
  Headers headers = RefusalHeaders(outcome, reason, active->id);
  if (status == kUnavailable) headers.push_back({"retry-after", "1"});
  active->exchange.Answer(status, headers,
                          RefusalBody(outcome, reason, active->id));
  context_.metrics.CountRefusal(reason);
  Log(outcome == RequestOutcome::kNotRun ? Event::kRequestRefused
                                         : Event::kRequestUnknown,
      {{"request", active->id.value},
       {"service", active->service.value},
       {"status", status},
       {"outcome", std::string(ToString(outcome))},
       {"reason", reason}});
  Close(active, outcome, reason);
}

void RequestRouter::Close(const ActiveRequestPtr& active,
                          RequestOutcome outcome, const std::string& reason) {
  if (active->closed) return;
  active->closed = true;
  --open_;
  RecordTargetOutcome(active, false);
  const std::string outcome_text(ToString(outcome));
  // Unknown service names from callers must not create new metric series.
  const bool known =
      FindService(context_.config.config(), active->service).has_value();
  context_.metrics.CountRequest(known ? active->service.value : "unknown",
                                outcome_text,
                                context_.loop.now() - active->started_at);
  history_[active->id] =
      "service " + active->service.value + ", outcome " + outcome_text + ", " +
      reason +
      (active->vm.empty()
           ? ""
           : ", VM " + active->vm.value + " (" + active->choice_reason + ")");
  history_order_.push_back(active->id);
  if (history_order_.size() <= kMaxHistory) return;
  history_.erase(history_order_.front());
  history_order_.pop_front();
}

std::string RequestRouter::Explain(const RequestId& request) const {
  const auto found = history_.find(request);
  return found == history_.end() ? "" : found->second;
}

}  // namespace almondtally
