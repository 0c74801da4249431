#include "target/request_server.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "peer/request_headers.h"

namespace almondtally {

struct RequestServer::Relay {
  explicit Relay(Exchange it) : exchange(std::move(it)) {}

  Exchange exchange;
  RequestArrival arrival;
  Incarnation incarnation;
  std::string executor_path;
  bool idempotent = false;
  MonotonicTime deadline{};
  std::shared_ptr<Call> call;
  /// Copy of the answer for repeats of the request, as long as it fits.
  HttpResponse stored_answer;
  bool answer_fits = true;
  bool head_seen = false;
};

namespace {

constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;
constexpr size_t kMaxQueuedBytes = 256 << 10;

void Refuse(const Exchange& exchange, int status, RequestOutcome outcome,
            const std::string& reason, const RequestId& request) {
  exchange.Answer(status, RefusalHeaders(outcome, reason, request),
                  RefusalBody(outcome, reason, request));
}

uint16_t ExecutorPort(const TaskTable& tasks, const ServiceId& service) {
  for (const auto& [key, run] : tasks.runs) {
    if (run.item.service == service && run.phase == RunPhase::kRunning) {
      return run.port;
    }
  }
  return 0;
}

Header LoadHeader(const RequestTable& table, const ServiceId& service) {
  for (const ServiceLoad& load : CollectServiceLoads(table)) {
    if (load.service != service) continue;
    return {header::kLoad, std::to_string(load.in_use) + "/" +
                               std::to_string(load.queued) + "/" +
                               std::to_string(load.limit)};
  }
  return {header::kLoad, "0/0/0"};
}

}  // namespace

RequestServer::RequestServer(TargetContext& context) : context_(context) {}

void RequestServer::Handle(const Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  const auto path = SplitServicePath(request.path);
  const std::string* id = FindHeader(request.headers, header::kRequest);
  const auto deadline = NumberHeader(request.headers, header::kDeadline);
  const auto as_of = NumberHeader(request.headers, header::kAsOf);
  const auto incarnation = NumberHeader(request.headers, header::kIncarnation);
  if (!path || id == nullptr || !deadline || !as_of || !incarnation) {
    Log(Event::kPeerGarbage, {{"path", request.path}});
    return Refuse(exchange, kBadRequest, RequestOutcome::kNotRun,
                  "not a request of an entry", RequestId());
  }
  auto relay = std::make_shared<Relay>(exchange);
  relay->arrival.service = path->service;
  relay->arrival.request = RequestId(*id);
  relay->arrival.keyed = FindHeader(request.headers, header::kKeyed) != nullptr;
  relay->arrival.deadline = Duration(*deadline);
  relay->arrival.as_of = MonotonicTime(Duration(*as_of));
  relay->incarnation = Incarnation(static_cast<uint64_t>(*incarnation));
  relay->executor_path = path->rest;
  relay->idempotent = IsIdempotent(request.method);
  relay->deadline = context_.loop.now() + relay->arrival.deadline;
  Admit(relay);
}

void RequestServer::Admit(const std::shared_ptr<Relay>& relay) {
  const RequestArrival& arrival = relay->arrival;
  // A previous target process on this VM may have run a keyed request. A
  // request without a key is sent only once, so it certainly did not run.
  if (relay->incarnation != context_.tasks.incarnation) {
    const RequestOutcome outcome =
        arrival.keyed ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
    return Refuse(relay->exchange, kUnavailable, outcome,
                  "the target process was replaced", arrival.request);
  }
  context_.requests.draining = context_.leaving || context_.config.draining;
  const AdmitResult result =
      AdmitRequest(context_.requests, context_.loop.now(), arrival);
  switch (result.verdict) {
    case AdmitVerdict::kRefused:
      return Refuse(relay->exchange, kUnavailable, RequestOutcome::kNotRun,
                    result.reason, arrival.request);
    case AdmitVerdict::kUnknown:
      return Refuse(relay->exchange, kConflict, RequestOutcome::kUnknown,
                    result.reason, arrival.request);
    case AdmitVerdict::kKnown:
      return AnswerKnown(relay);
    case AdmitVerdict::kWait:
      waiting_[arrival.request] = relay;
      return;
    case AdmitVerdict::kRun:
      return Run(relay);
  }
}

void RequestServer::Run(const std::shared_ptr<Relay>& relay) {
  const RequestId request = relay->arrival.request;
  const ServiceId service = relay->arrival.service;
  Log(Event::kRequestAdmitted,
      {{"request", request.value}, {"service", service.value}});
  const uint16_t port = ExecutorPort(context_.tasks, service);
  const HttpRequest& from = relay->exchange.request();
  HttpRequest to{from.method, relay->executor_path,
                 EndToEndHeaders(from.headers), from.body};
  CallHooks hooks;
  hooks.on_headers = [this, relay](int status, const Headers& headers) {
    relay->head_seen = true;
    relay->stored_answer.status = status;
    relay->stored_answer.headers = EndToEndHeaders(headers);
    Headers out = relay->stored_answer.headers;
    out.push_back({header::kOutcome, "ran"});
    out.push_back({header::kRequest, relay->arrival.request.value});
    out.push_back(LoadHeader(context_.requests, relay->arrival.service));
    relay->exchange.Begin(status, out);
  };
  hooks.on_body = [relay](std::string_view piece) {
    relay->answer_fits =
        relay->answer_fits && relay->stored_answer.body.size() + piece.size() <=
                                  kMaxStoredAnswerBytes;
    if (relay->answer_fits) relay->stored_answer.body += piece;
    relay->exchange.Write(piece);
    const bool full = relay->exchange.queued() > kMaxQueuedBytes;
    if (full && relay->call != nullptr) relay->call->SetPaused(true);
  };
  hooks.on_end = [this, relay](CallStatus end) { Finish(relay, end); };
  relay->exchange.OnDrained([weak = std::weak_ptr(relay)] {
    const auto it = weak.lock();
    if (it != nullptr && it->call != nullptr) it->call->SetPaused(false);
  });
  relay->exchange.OnCallerDisconnected([weak = std::weak_ptr(relay)] {
    // The caller is gone, so nothing drains the answer: resume the call to let
    // the executor finish.
    const auto it = weak.lock();
    if (it != nullptr && it->call != nullptr) it->call->SetPaused(false);
  });
  const Address executor{context_.settings.worker.host, port};
  const Duration left =
      std::max(Duration(1), relay->deadline - context_.loop.now());
  relay->call = context_.http.Start(executor, to, relay->idempotent, left,
                                    std::move(hooks));
}

void RequestServer::Finish(const std::shared_ptr<Relay>& relay,
                           CallStatus end) {
  const RequestId request = relay->arrival.request;
  relay->call = nullptr;
  std::optional<HttpResponse> kept;
  const bool whole = end.error == WireError::kNone && relay->answer_fits;
  const bool wanted = relay->arrival.keyed || relay->exchange.closed();
  if (whole && wanted) kept = std::move(relay->stored_answer);
  RequestOutcome outcome = RequestOutcome::kRan;
  if (end.error != WireError::kNone && !relay->head_seen) {
    outcome = end.sent == SendStatus::kNo ? RequestOutcome::kNotRun
                                          : RequestOutcome::kUnknown;
  }
  if (end.error == WireError::kNone) {
    relay->exchange.End();
  } else if (relay->head_seen) {
    relay->exchange.Abort();
  } else if (outcome == RequestOutcome::kNotRun) {
    Refuse(relay->exchange, kUnavailable, outcome,
           "the executor cannot be reached", request);
  } else {
    Refuse(relay->exchange, kBadGateway, outcome,
           "the executor's answer was lost", request);
  }
  FinishRequest(context_.requests, context_.loop.now(), relay->arrival.service,
                request, outcome, std::move(kept));
  AnswerRepeats(request);
  StartQueued(relay->arrival.service);
}

void RequestServer::StartQueued(const ServiceId& service) {
  while (const auto request =
             DequeueRequest(context_.requests, context_.loop.now(), service)) {
    const auto node = waiting_.extract(*request);
    if (!node.empty()) Run(node.mapped());
  }
}

void RequestServer::AnswerKnown(const std::shared_ptr<Relay>& relay) {
  const RequestId request = relay->arrival.request;
  const RequestRecord& record = context_.requests.records.at(request);
  if (record.state == RequestState::kWithdrawn) {
    return Refuse(relay->exchange, kUnavailable, RequestOutcome::kNotRun,
                  "withdrawn before it started", request);
  }
  if (record.state != RequestState::kDone) {
    repeats_[request].push_back(relay);
    return;
  }
  if (!record.answer) {
    return Refuse(relay->exchange, kConflict, record.outcome,
                  "an earlier try was made; its answer is not kept", request);
  }
  Log(Event::kRequestReplayed, {{"request", request.value}});
  Headers headers = record.answer->headers;
  headers.push_back({header::kOutcome, "ran"});
  headers.push_back({header::kRequest, request.value});
  relay->exchange.Answer(record.answer->status, headers, record.answer->body);
}

void RequestServer::AnswerRepeats(const RequestId& request) {
  const auto node = repeats_.extract(request);
  if (node.empty()) return;
  for (const auto& relay : node.mapped()) AnswerKnown(relay);
}

WithdrawAnswer RequestServer::HandleWithdraw(const WithdrawRequest& request) {
  WithdrawAnswer answer;
  if (request.incarnation != context_.tasks.incarnation) return answer;
  const MonotonicTime as_of{Duration(request.as_of_ms.value)};
  answer.verdict =
      Withdraw(context_.requests, context_.loop.now(), request.request, as_of);
  if (answer.verdict == WithdrawVerdict::kNeverRuns) {
    waiting_.erase(request.request);
  }
  if (answer.verdict == WithdrawVerdict::kDone) {
    const auto& record = context_.requests.records.at(request.request);
    answer.status = record.answer->status;
    answer.headers = record.answer->headers;
    answer.body = record.answer->body;
  }
  return answer;
}

void RequestServer::Tick() {
  const MonotonicTime now = context_.loop.now();
  for (const RequestId& request :
       ExpireQueuedRequests(context_.requests, now)) {
    const auto node = waiting_.extract(request);
    if (node.empty()) continue;
    Refuse(node.mapped()->exchange, kUnavailable, RequestOutcome::kNotRun,
           "its deadline passed while it waited", request);
  }
  RunMaintenance(context_.requests, now);
}

}  // namespace almondtally
