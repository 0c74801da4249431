#include "entry/admin_api.h"

#include <algorithm>
#include <optional>

#include "base/log.h"
#include "base/untrusted_json.h"
#include "entry/members.h"

namespace almondtally {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr Duration kHintTimeout{1'000};
constexpr int kMaxCancelAttempts = 5;
const std::string kAdminPathPrefix = "/admin/v1/";

void Answer(const Exchange& exchange, int status, const json& body) {
  exchange.Answer(
      status, {{"content-type", "application/json"}},
      body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

void AnswerError(const Exchange& exchange, int status,
                 const std::string& error) {
  Log(Event::kInputRejected,
      {{"path", exchange.request().path}, {"reason", error}});
  Answer(exchange, status, {{"error", error}});
}

std::optional<json> ParseJsonBody(const Exchange& exchange) {
  json in = ParseJson(exchange.request().body);
  if (!in.is_object()) {
    AnswerError(exchange, kBadRequest, "the body is not a JSON object");
    return std::nullopt;
  }
  return in;
}

std::optional<ConfigKey> ParseConfigName(const std::string& text) {
  const size_t slash = text.find('/');
  if (slash == std::string::npos || slash + 1 == text.size()) {
    return std::nullopt;
  }
  const std::string kind = text.substr(0, slash);
  ConfigKey key;
  key.name = text.substr(slash + 1);
  if (kind == "team") {
    key.kind = ConfigKind::kTeam;
  } else if (kind == "service") {
    key.kind = ConfigKind::kService;
  } else if (kind == "vm") {
    key.kind = ConfigKind::kVm;
  } else {
    return std::nullopt;
  }
  return key;
}

json DescribeConfigObject(const ConfigKey& key, const ConfigObject& object) {
  return {{"kind", key.kind},
          {"name", key.name},
          {"version", object.version},
          {"value", ParseJson(object.value)}};
}

json CountTasksByState(const JobEntity& job) {
  json counts = json::object();
  for (const auto& [state, n] : CountTasks(job)) {
    counts[std::string(ToString(state))] = n;
  }
  return counts;
}

json DescribeVm(const VmRecord& vm, const Config& config, MonotonicTime now) {
  return {{"vm", vm.vm},
          {"data_centre", vm.data_centre},
          {"rack", vm.rack},
          {"address", ToString(vm.address)},
          {"ready", vm.ready},
          {"leaving", vm.leaving},
          {"draining", IsDraining(config, vm.vm)},
          {"quarantined", now < vm.quarantined_until},
          {"silent", IsSilent(vm, now, kVmSilenceTimeout)},
          {"generation", vm.generation},
          {"config", vm.config},
          {"capacity", vm.capacity},
          {"committed", vm.committed},
          {"used", vm.used}};
}

json DescribeTask(const JobEntity& job, const TrackedChunk& chunk, size_t at) {
  const TaskRecord& task = chunk.committed.tasks[at];
  return {{"index", chunk.committed.first + at},
          {"state", ToString(task.state)},
          {"epoch", task.epoch},
          {"vm", task.vm},
          {"failures", task.failures},
          {"evictions", task.evictions},
          {"checkpoint", task.checkpoint},
          {"confirmed", chunk.notes[at].confirmed_by.value != 0},
          {"reason", chunk.notes[at].reason.empty() ? job.parked
                                                    : chunk.notes[at].reason}};
}

/// @return the oldest configuration version in use by this entry and the VMs
/// that are not silent.
ConfigVersion OldestConfigInForce(const EntryContext& context) {
  ConfigVersion oldest = context.config.config().version;
  for (const auto& [id, vm] : context.vms) {
    if (IsSilent(vm, context.loop.now(), kVmSilenceTimeout)) continue;
    oldest = std::min(oldest, vm.config);
  }
  return oldest;
}

/// @return the services and VMs whose measured limit is below the declared one,
/// such as a limit that was raised and never lowered.
json OverriddenLimits(const EntryContext& context) {
  json out = json::array();
  for (const auto& [service, targets] : context.targets) {
    const auto config = FindService(context.config.config(), service);
    if (!config) continue;
    for (const TargetLoad& target : targets) {
      // The limit has only been measured once load has reached it.
      const bool saturated = target.announced >= target.limit;
      if (!saturated || target.limit >= config->slots) continue;
      out.push_back({{"service", service},
                     {"vm", target.vm},
                     {"declared", config->slots},
                     {"in_force", target.limit}});
    }
  }
  return out;
}

}  // namespace

void AdminApi::Handle(const Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.path.substr(0, request.path.find('?'))
                               .substr(kAdminPathPrefix.size());
  const bool is_get = request.method == "GET";
  if (path == "status" && is_get) return GetStatus(exchange);
  if (path == "jobs" && is_get) return ListJobs(exchange);
  if (path == "jobs" && request.method == "POST") return SubmitJob(exchange);
  if (path.starts_with("jobs/")) {
    const JobId job(path.substr(5));
    if (is_get) return GetJob(exchange, job);
    if (request.method == "DELETE") {
      return CancelJob(exchange, job, kMaxCancelAttempts);
    }
    return AnswerError(exchange, kMethodNotAllowed, "use GET or DELETE");
  }
  if (path == "config" && is_get) return GetConfig(exchange, "");
  if (path.starts_with("config/")) {
    if (is_get) return GetConfig(exchange, path.substr(7));
    if (request.method == "PUT" || request.method == "DELETE") {
      return ChangeConfig(exchange, path.substr(7));
    }
    return AnswerError(exchange, kMethodNotAllowed, "use GET, PUT or DELETE");
  }
  if (path.starts_with("explain/") && is_get) {
    return Explain(exchange, path.substr(8));
  }
  AnswerError(exchange, kNotFound, "no such path; see docs/API.md");
}

void AdminApi::GetConfig(const Exchange& exchange, const std::string& name) {
  const Config& config = context_.config.config();
  if (name.empty()) {
    json objects = json::array();
    for (const auto& [key, object] : config.objects) {
      objects.push_back(DescribeConfigObject(key, object));
    }
    return Answer(exchange, kOk,
                  {{"version", config.version},
                   {"oldest_in_force", OldestConfigInForce(context_)},
                   {"objects", objects}});
  }
  const auto key = ParseConfigName(name);
  if (!key) {
    return AnswerError(exchange, kBadRequest,
                       "give team/NAME, service/NAME or vm/NAME");
  }
  const auto it = config.objects.find(*key);
  if (it == config.objects.end()) {
    return AnswerError(exchange, kNotFound, "no such object");
  }
  Answer(exchange, kOk, DescribeConfigObject(it->first, it->second));
}

void AdminApi::ChangeConfig(const Exchange& exchange, const std::string& name) {
  const auto key = ParseConfigName(name);
  if (!key) {
    return AnswerError(exchange, kBadRequest,
                       "give team/NAME, service/NAME or vm/NAME");
  }
  ConfigProposal proposal;
  proposal.kind = key->kind;
  proposal.name = key->name;
  proposal.id = ChangeId(RandomName(context_.random, "change-"));
  if (exchange.request().method == "PUT") {
    const auto in = ParseJsonBody(exchange);
    if (!in) return;
    ConfigReason why;
    const json value = in->contains("value") ? in->at("value") : *in;
    const auto checked =
        ValidateConfigValue(key->kind, key->name, value.dump(), why);
    if (!checked) return AnswerError(exchange, kBadRequest, why.text);
    proposal.value = *checked;
    if (in->contains("value")) {
      if (in->contains("expected") && in->at("expected").is_number_unsigned()) {
        proposal.expected = in->at("expected").get<ConfigVersion>();
      }
      if (in->contains("change") && in->at("change").is_string()) {
        proposal.id = in->at("change").get<ChangeId>();
      }
    }
  }
  const ChangeId id = proposal.id;
  context_.config.Propose(proposal, [this, exchange, id](const auto& accepted,
                                                         const auto& why) {
    if (accepted) {
      Log(Event::kConfigAccepted,
          {{"version", static_cast<int64_t>(accepted->value)},
           {"change", id.value}});
      return Answer(exchange, kOk, {{"version", *accepted}, {"change", id}});
    }
    const bool conflict = why.code == ConfigError::kConflict;
    if (conflict) {
      Log(Event::kConfigConflict, {{"change", id.value}});
    }
    Answer(exchange, conflict ? kConflict : kUnavailable,
           {{"error", why.text}, {"change", id}});
  });
}

void AdminApi::NotifyOwner(const JobSpec& spec) {
  const EntryId owner = OwnerOf(context_, spec.team);
  if (owner == context_.settings.id) return batch_.RefreshJob(spec.id);
  const auto peer = context_.peers.find(owner);
  if (peer == context_.peers.end()) return;
  context_.links.Send<JobHint>(peer->second.address, peer_path::kJobHint,
                               JobHint{kMessageVersion, spec.id}, kHintTimeout,
                               [](const auto&, const auto&) {});
}

void AdminApi::SubmitJob(const Exchange& exchange) {
  const auto in = ParseJsonBody(exchange);
  if (!in) return;
  JobSpec spec;
  try {
    spec = in->get<JobSpec>();
  } catch (const json::exception& error) {
    return AnswerError(exchange, kBadRequest, error.what());
  }
  if (spec.id.empty()) spec.id = JobId(RandomName(context_.random, "job-"));
  if (!spec.service.empty()) {
    return AnswerError(exchange, kBadRequest,
                       "service: services are configured, not submitted");
  }
  JobReason why;
  if (!ValidateJobSpec(spec, why))
    return AnswerError(exchange, kBadRequest, why.text);
  const auto team = FindTeam(context_.config.config(), spec.team);
  if (!team)
    return AnswerError(exchange, kForbidden, "the team does not exist");
  if (spec.urgent && !team->may_submit_urgent) {
    return AnswerError(exchange, kForbidden,
                       "the team may not submit urgent jobs");
  }
  if (!Fits(spec.each, team->quota)) {
    return AnswerError(exchange, kForbidden,
                       "one task needs more than the team's whole quota");
  }
  const JobRow row{spec, false, WallClockMillis()};
  Transaction transaction;
  transaction.checks = {{JobKey(spec.id), RowVersion(0)},
                        {DoneKey(spec.id), RowVersion(0)}};
  transaction.puts = {{JobKey(spec.id), Encode(row)}};
  for (const Chunk& chunk : MakeChunks(spec)) {
    const std::string key = ChunkKey(spec.id, chunk.first);
    transaction.checks.push_back({key, RowVersion(0)});
    transaction.puts.push_back({key, Encode(chunk)});
  }
  context_.table.commit(transaction, [this, exchange, spec](const auto& done,
                                                            const auto& why) {
    if (done) {
      Log(Event::kJobAccepted, {{"job", spec.id.value},
                                {"team", spec.team.value},
                                {"tasks", static_cast<int64_t>(spec.count)}});
      NotifyOwner(spec);
      return Answer(exchange, kAccepted, {{"job", spec.id}});
    }
    if (why.code == PlatformError::kConflict) {
      return AnswerExistingJob(exchange, spec);
    }
    const bool unknown = why.code == PlatformError::kUnknown;
    Answer(exchange, kUnavailable,
           {{"error", unknown ? "the table's answer was lost; submit again "
                                "with the same id: " +
                                    spec.id.value
                              : "the table cannot be used: " + why.text},
            {"job", spec.id},
            {"outcome", unknown ? "unknown" : "not_run"}});
  });
}

void AdminApi::AnswerExistingJob(const Exchange& exchange,
                                 const JobSpec& spec) {
  const std::vector<std::string> keys = {JobKey(spec.id), DoneKey(spec.id)};
  context_.table.get(keys, [this, exchange, spec](const auto& rows,
                                                  const auto& why) {
    if (!rows) return AnswerError(exchange, kUnavailable, why.text);
    for (const Row& row : *rows) {
      const json in = ParseJson(row.value);
      if (!in.is_object() || in.value("spec", json()) != json(spec)) continue;
      // The same job was submitted again after a lost answer.
      NotifyOwner(spec);
      return Answer(exchange, kAccepted, {{"job", spec.id}, {"existed", true}});
    }
    AnswerError(exchange, kConflict,
                "another job of this id exists: " + spec.id.value);
  });
}

void AdminApi::GetJob(const Exchange& exchange, const JobId& job) {
  const auto it = context_.board.jobs.find(job);
  if (it != context_.board.jobs.end() && !it->second.chunks.empty()) {
    return Answer(exchange, kOk,
                  {{"spec", it->second.row.spec},
                   {"cancelled", it->second.row.cancelled},
                   {"parked", it->second.parked},
                   {"tasks", CountTasksByState(it->second)}});
  }
  context_.table.get(
      {JobKey(job), DoneKey(job)},
      [this, exchange, job](const auto& rows, const auto& why) {
        if (!rows) return AnswerError(exchange, kUnavailable, why.text);
        if (rows->empty())
          return AnswerError(exchange, kNotFound, "no such job");
        const Row& row = rows->front();
        if (row.key == DoneKey(job)) {
          json out = ParseJson(row.value);
          if (!out.is_object()) {
            return AnswerError(exchange, kUnavailable,
                               "the row of the job cannot be read");
          }
          out["finished"] = true;
          return Answer(exchange, kOk, out);
        }
        context_.table.scan(
            ChunkPrefix(job), [exchange, text = row.value](
                                  const auto& chunks, const auto& chunk_why) {
              if (!chunks)
                return AnswerError(exchange, kUnavailable, chunk_why.text);
              JobEntity entity;
              JobReason ignored;
              if (const auto row = DecodeJobRow(text, ignored))
                entity.row = *row;
              for (const Row& it : *chunks) {
                const auto chunk = DecodeChunk(it.value, ignored);
                if (chunk) entity.chunks[chunk->first].wanted = *chunk;
              }
              Answer(exchange, kOk,
                     {{"spec", entity.row.spec},
                      {"cancelled", entity.row.cancelled},
                      {"tasks", CountTasksByState(entity)}});
            });
      });
}

void AdminApi::CancelJob(const Exchange& exchange, const JobId& job,
                         int attempts_left) {
  context_.table.get({JobKey(job)}, [this, exchange, job, attempts_left](
                                        const auto& rows, const auto& why) {
    if (!rows) return AnswerError(exchange, kUnavailable, why.text);
    if (rows->empty()) {
      return AnswerError(exchange, kNotFound, "no such job, or it has ended");
    }
    JobReason decode_why;
    auto row = DecodeJobRow(rows->front().value, decode_why);
    if (!row) return AnswerError(exchange, kUnavailable, decode_why.text);
    if (row->cancelled) {
      NotifyOwner(row->spec);
      return Answer(exchange, kAccepted, {{"job", job}, {"cancelled", true}});
    }
    row->cancelled = true;
    Transaction transaction;
    transaction.checks = {{JobKey(job), rows->front().version}};
    transaction.puts = {{JobKey(job), Encode(*row)}};
    context_.table.commit(transaction, [this, exchange, job, row,
                                        attempts_left](const auto& done,
                                                       const auto& commit_why) {
      if (done) {
        NotifyOwner(row->spec);
        return Answer(exchange, kAccepted, {{"job", job}, {"cancelled", true}});
      }
      if (attempts_left > 1) return CancelJob(exchange, job, attempts_left - 1);
      AnswerError(exchange, kUnavailable, commit_why.text);
    });
  });
}

void AdminApi::ListJobs(const Exchange& exchange) {
  context_.table.scan("job/", [exchange](const auto& rows, const auto& why) {
    if (!rows) return AnswerError(exchange, kUnavailable, why.text);
    json jobs = json::array();
    for (const Row& row : *rows) {
      JobReason ignored;
      const auto job = DecodeJobRow(row.value, ignored);
      if (!job) continue;
      jobs.push_back({{"job", job->spec.id},
                      {"team", job->spec.team},
                      {"tasks", job->spec.count},
                      {"urgent", job->spec.urgent},
                      {"service", job->spec.service},
                      {"cancelled", job->cancelled}});
    }
    Answer(exchange, kOk, {{"jobs", jobs}});
  });
}

void AdminApi::GetStatus(const Exchange& exchange) {
  const MonotonicTime now = context_.loop.now();
  json vms = json::array();
  for (const auto& [id, vm] : context_.vms) {
    vms.push_back(DescribeVm(vm, context_.config.config(), now));
  }
  json entries = json::array();
  for (const EntryPeer& entry : LiveEntries(context_)) {
    entries.push_back(
        {{"entry", entry.id}, {"address", ToString(entry.address)}});
  }
  json services = json::array();
  for (const auto& [service, targets] : context_.targets) {
    services.push_back({{"service", service}, {"targets", targets.size()}});
  }
  const auto as_of = context_.config.current_as_of();
  Answer(exchange, kOk,
         {{"entry", context_.settings.id},
          {"draining", context_.draining},
          {"config", context_.config.config().version},
          {"oldest_in_force", OldestConfigInForce(context_)},
          {"table_age_ms", as_of ? (now - *as_of).count() : -1},
          {"requests", router_.open()},
          {"jobs_here", context_.board.jobs.size()},
          {"entries", entries},
          {"services", services},
          {"overridden_limits", OverriddenLimits(context_)},
          {"vms", vms}});
}

void AdminApi::Explain(const Exchange& exchange, const std::string& subject) {
  if (subject.starts_with("request/")) {
    const std::string text = router_.Explain(RequestId(subject.substr(8)));
    if (text.empty()) {
      return AnswerError(exchange, kNotFound,
                         "this entry does not remember such a request");
    }
    return Answer(exchange, kOk, {{"explanation", text}});
  }
  if (subject.starts_with("job/"))
    return ExplainJob(exchange, JobId(subject.substr(4)));
  AnswerError(exchange, kBadRequest,
              "give explain/job/ID or explain/request/ID");
}

void AdminApi::ExplainJob(const Exchange& exchange, const JobId& job) {
  const auto it = context_.board.jobs.find(job);
  if (it == context_.board.jobs.end()) {
    return AnswerError(
        exchange, kNotFound,
        "this entry does not look after such a job; the others are "
        "listed by status");
  }
  constexpr size_t kMaxTasks = 1'000;
  json tasks = json::array();
  for (const auto& [first, chunk] : it->second.chunks) {
    for (size_t i = 0; i < chunk.committed.tasks.size(); ++i) {
      if (tasks.size() >= kMaxTasks || i >= chunk.notes.size()) break;
      tasks.push_back(DescribeTask(it->second, chunk, i));
    }
  }
  Answer(exchange, kOk,
         {{"job", job},
          {"owner", context_.settings.id},
          {"parked", it->second.parked},
          {"tasks", tasks}});
}

}  // namespace almondtally
