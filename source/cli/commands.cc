#include "cli/commands.h"

#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "cli/admin_client.h"
#include "cli/questionnaire.h"
#include "cli/text_table.h"
#include "settings/setting.h"

namespace almondtally {
namespace {

using nlohmann::json;

/// A parsed command line.
struct Invocation {
  Settings settings;
  Address entry;
  bool json_output = false;

  const std::string& Argument(size_t position) const {
    static const std::string empty;
    const auto& arguments = settings.Positional();
    return position < arguments.size() ? arguments[position] : empty;
  }
};

struct Command {
  std::string usage;
  std::string meaning;
  std::vector<SettingInfo> infos;
  std::function<int(const Invocation&)> run;
};

int ReportFailure(const AdminAnswer& answer) {
  if (answer.status == 0) {
    std::fprintf(stderr, "almondtally: %s\n", answer.error.c_str());
    return exit_code::kUnavailable;
  }
  const std::string text = answer.body.is_object()
                               ? answer.body.value("error", "no reason given")
                               : "unreadable answer";
  std::fprintf(stderr, "almondtally: refused (%d): %s\n", answer.status,
               text.c_str());
  constexpr int kFirstServerError = 500;
  return answer.status >= kFirstServerError ? exit_code::kUnavailable
                                            : exit_code::kRefused;
}

int PrintUsage(const Command& command) {
  std::fprintf(stderr, "usage: almondtally %s\n", command.usage.c_str());
  return exit_code::kUsage;
}

void PrintJson(const json& value) {
  std::printf("%s\n", value.dump(2).c_str());
}

std::string ToPlainText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string FormatCpus(const json& resources) {
  constexpr double kMilliPerCpu = 1'000.0;
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.1f",
                resources.value("cpu", 0.0) / kMilliPerCpu);
  return buf;
}

int RunStatus(const Invocation& invocation) {
  const AdminAnswer answer =
      CallAdmin(invocation.entry, "GET", "status", nullptr);
  if (!answer.ok()) return ReportFailure(answer);
  const json& body = answer.body;
  if (invocation.json_output) {
    PrintJson(body);
    return exit_code::kOk;
  }
  std::printf(
      "entry %s  config %s (oldest in force %s)  table age %s ms  "
      "requests %s\n",
      ToPlainText(body["entry"]).c_str(), ToPlainText(body["config"]).c_str(),
      ToPlainText(body["oldest_in_force"]).c_str(),
      ToPlainText(body["table_age_ms"]).c_str(),
      ToPlainText(body["requests"]).c_str());
  std::string entries;
  for (const json& entry : body["entries"]) {
    entries += " " + ToPlainText(entry["entry"]);
  }
  std::printf("entries:%s\n", entries.c_str());
  for (const json& limit : body["overridden_limits"]) {
    std::printf("limit: %s on %s: %s slots declared, %s in force\n",
                ToPlainText(limit["service"]).c_str(),
                ToPlainText(limit["vm"]).c_str(),
                ToPlainText(limit["declared"]).c_str(),
                ToPlainText(limit["in_force"]).c_str());
  }
  TextTable table({"VM", "DATA CENTRE", "RACK", "STATE", "CPUS", "COMMITTED",
                   "USED", "CONFIG"});
  for (const json& vm : body["vms"]) {
    std::string state = vm["ready"] == true ? "ready" : "starting";
    for (const char* flag : {"leaving", "draining", "quarantined", "silent"}) {
      if (vm[flag] == true) state = flag;
    }
    table.Add({ToPlainText(vm["vm"]), ToPlainText(vm["data_centre"]),
               ToPlainText(vm["rack"]), state, FormatCpus(vm["capacity"]),
               FormatCpus(vm["committed"]), FormatCpus(vm["used"]),
               ToPlainText(vm["config"])});
  }
  std::printf("%s", table.Text().c_str());
  return exit_code::kOk;
}

int RunJobs(const Invocation& invocation) {
  const AdminAnswer answer =
      CallAdmin(invocation.entry, "GET", "jobs", nullptr);
  if (!answer.ok()) return ReportFailure(answer);
  if (invocation.json_output) {
    PrintJson(answer.body);
    return exit_code::kOk;
  }
  TextTable table({"JOB", "TEAM", "TASKS", "URGENT", "CANCELLED"});
  for (const json& job : answer.body["jobs"]) {
    table.Add({ToPlainText(job["job"]), ToPlainText(job["team"]),
               ToPlainText(job["tasks"]), ToPlainText(job["urgent"]),
               ToPlainText(job["cancelled"])});
  }
  std::printf("%s", table.Text().c_str());
  return exit_code::kOk;
}

int RunJob(const Invocation& invocation) {
  const AdminAnswer answer = CallAdmin(
      invocation.entry, "GET", "jobs/" + invocation.Argument(0), nullptr);
  if (!answer.ok()) return ReportFailure(answer);
  if (invocation.json_output) {
    PrintJson(answer.body);
    return exit_code::kOk;
  }
  std::printf("job %s  team %s\n", invocation.Argument(0).c_str(),
              ToPlainText(answer.body["spec"]["team"]).c_str());
  for (const auto& [state, n] : answer.body["tasks"].items()) {
    std::printf("  %s: %s\n", state.c_str(), ToPlainText(n).c_str());
  }
  const std::string parked = answer.body.value("parked", "");
  if (!parked.empty()) std::printf("  waiting: %s\n", parked.c_str());
  if (answer.body.value("finished", false)) std::printf("  finished\n");
  return exit_code::kOk;
}

int RunSubmit(const Invocation& invocation) {
  json spec = {
      {"team", invocation.settings.Text("team")},
      {"count", invocation.settings.Number("tasks")},
      {"work_ms", invocation.settings.Number("work-ms")},
      {"urgent", invocation.settings.Flag("urgent")},
      {"command", invocation.settings.Text("command")},
      {"each",
       {{"cpu", invocation.settings.Number("cpu-milli")},
        {"memory", invocation.settings.Number("memory-mib")},
        {"accelerators", invocation.settings.Number("accelerators")}}}};
  const std::string& id = invocation.settings.Text("job");
  if (!id.empty()) spec["id"] = id;
  const AdminAnswer answer = CallAdmin(invocation.entry, "POST", "jobs", spec);
  if (!answer.ok()) return ReportFailure(answer);
  if (invocation.json_output) {
    PrintJson(answer.body);
  } else {
    std::printf("submitted %s\n", ToPlainText(answer.body["job"]).c_str());
  }
  return exit_code::kOk;
}

int RunCancel(const Invocation& invocation) {
  const AdminAnswer answer = CallAdmin(
      invocation.entry, "DELETE", "jobs/" + invocation.Argument(0), nullptr);
  if (!answer.ok()) return ReportFailure(answer);
  std::printf("cancelling %s\n", invocation.Argument(0).c_str());
  return exit_code::kOk;
}

int RunConfig(const Invocation& invocation) {
  const std::string& verb = invocation.Argument(0);
  const std::string& name = invocation.Argument(1);
  AdminAnswer answer;
  if (verb == "get") {
    answer = CallAdmin(invocation.entry, "GET",
                       name.empty() ? "config" : "config/" + name, nullptr);
    if (answer.ok()) PrintJson(answer.body);
  } else if (verb == "set" && !name.empty()) {
    const json value = json::parse(invocation.Argument(2), nullptr, false);
    if (!value.is_object()) {
      std::fprintf(stderr, "almondtally: the value is not a JSON object\n");
      return exit_code::kUsage;
    }
    json body = {{"value", value}};
    const std::string& expected = invocation.settings.Text("expected");
    if (!expected.empty())
      body["expected"] = invocation.settings.Number("expected");
    const std::string& change = invocation.settings.Text("change");
    if (!change.empty()) body["change"] = change;
    answer = CallAdmin(invocation.entry, "PUT", "config/" + name, body);
    if (answer.ok()) {
      std::printf("accepted as version %s\n",
                  ToPlainText(answer.body["version"]).c_str());
    }
  } else if (verb == "delete" && !name.empty()) {
    answer = CallAdmin(invocation.entry, "DELETE", "config/" + name, nullptr);
    if (answer.ok()) {
      std::printf("accepted as version %s\n",
                  ToPlainText(answer.body["version"]).c_str());
    }
  } else {
    std::fprintf(stderr,
                 "usage: almondtally config get [KIND/NAME] | set KIND/NAME "
                 "JSON | delete KIND/NAME\n");
    return exit_code::kUsage;
  }
  return answer.ok() ? exit_code::kOk : ReportFailure(answer);
}

int SetDraining(const Invocation& invocation, bool draining) {
  const AdminAnswer answer =
      CallAdmin(invocation.entry, "PUT", "config/vm/" + invocation.Argument(0),
                {{"value", {{"draining", draining}}}});
  if (!answer.ok()) return ReportFailure(answer);
  std::printf("%s %s (version %s)\n",
              draining ? "draining" : "accepting work on",
              invocation.Argument(0).c_str(),
              ToPlainText(answer.body["version"]).c_str());
  return exit_code::kOk;
}

int RunExplain(const Invocation& invocation) {
  const AdminAnswer answer = CallAdmin(
      invocation.entry, "GET", "explain/" + invocation.Argument(0), nullptr);
  if (!answer.ok()) return ReportFailure(answer);
  if (invocation.json_output || !answer.body.contains("tasks")) {
    PrintJson(answer.body);
    return exit_code::kOk;
  }
  const std::string parked = answer.body.value("parked", "");
  if (!parked.empty()) std::printf("waiting: %s\n", parked.c_str());
  TextTable table(
      {"TASK", "STATE", "EPOCH", "VM", "FAILURES", "EVICTIONS", "REASON"});
  for (const json& task : answer.body["tasks"]) {
    table.Add({ToPlainText(task["index"]), ToPlainText(task["state"]),
               ToPlainText(task["epoch"]), ToPlainText(task["vm"]),
               ToPlainText(task["failures"]), ToPlainText(task["evictions"]),
               ToPlainText(task["reason"])});
  }
  std::printf("%s", table.Text().c_str());
  return exit_code::kOk;
}

AnswerFn AnswersFromFile(const std::string& path, bool& readable) {
  std::ifstream in(path);
  readable = in.good();
  json answers = json::parse(in, nullptr, false);
  if (!answers.is_object()) readable = false;
  return [answers](const Question& question) -> std::optional<std::string> {
    if (!answers.is_object() || !answers.contains(question.name)) {
      return std::nullopt;
    }
    return ToPlainText(answers[question.name]);
  };
}

std::optional<std::string> PromptUser(const Question& question) {
  std::printf("%s [%s]: ", question.text.c_str(),
              question.default_answer.c_str());
  std::fflush(stdout);
  std::string text;
  if (!std::getline(std::cin, text)) return std::nullopt;
  return text;
}

int RunQuestionnaire(const Invocation& invocation) {
  const std::string& file = invocation.settings.Text("answers");
  bool readable = true;
  const AnswerFn answer =
      file.empty() ? AnswerFn(PromptUser) : AnswersFromFile(file, readable);
  if (!readable) {
    std::fprintf(stderr, "almondtally: %s is not a JSON file of answers\n",
                 file.c_str());
    return exit_code::kUsage;
  }
  QuestionnaireReason why;
  const auto objects = GenerateTeamConfig(answer, why);
  if (!objects) {
    std::fprintf(stderr, "almondtally: %s\n", why.text.c_str());
    return exit_code::kUsage;
  }
  for (const GeneratedObject& object : *objects) {
    std::printf("%s\n%s\n", object.path.c_str(), object.value.dump(2).c_str());
  }
  if (!invocation.settings.Flag("apply")) {
    std::printf(
        "nothing was changed; add --apply to apply this configuration\n");
    return exit_code::kOk;
  }
  for (const GeneratedObject& object : *objects) {
    const AdminAnswer result =
        CallAdmin(invocation.entry, "PUT", "config/" + object.path,
                  {{"value", object.value}});
    if (!result.ok()) return ReportFailure(result);
    std::printf("%s accepted as version %s\n", object.path.c_str(),
                ToPlainText(result.body["version"]).c_str());
  }
  return exit_code::kOk;
}

int RunEvents(const Invocation& invocation) {
  TextTable table({"NUMBER", "NAME", "MEANING"});
  json all = json::array();
  for (const EventInfo& info : EventCatalogue()) {
    const auto number = static_cast<int>(info.event);
    table.Add({std::to_string(number), std::string(info.name),
               std::string(info.meaning)});
    all.push_back(
        {{"number", number}, {"name", info.name}, {"meaning", info.meaning}});
  }
  if (invocation.json_output) {
    PrintJson(all);
  } else {
    std::printf("%s", table.Text().c_str());
  }
  return exit_code::kOk;
}

std::vector<SettingInfo> SubmitSettings() {
  using enum SettingKind;
  return {{"team", kName, "", true, 0, 0, "team that the job belongs to"},
          {"job", kText, "", false, 0, 0,
           "id of the job; submitting the same again is safe"},
          {"tasks", kNumber, "1", false, 1, 100'000, "number of tasks"},
          {"work-ms", kNumber, "1000", false, 1, INT64_MAX,
           "declared run time of one task in milliseconds"},
          {"cpu-milli", kNumber, "1000", false, 1, INT64_MAX,
           "CPU of one task in thousandths of a processor"},
          {"memory-mib", kNumber, "512", false, 0, INT64_MAX,
           "memory of one task in MiB"},
          {"accelerators", kNumber, "0", false, 0, 1'000,
           "accelerators of one task"},
          {"urgent", kFlag, "false", false, 0, 0, "schedule before other work"},
          {"command", kText, "", false, 0, 0, "passed to the worker"}};
}

const std::map<std::string, Command>& Commands() {
  using enum SettingKind;
  static const std::map<std::string, Command> all = {
      {"status", {"status", "VMs, entries and limits", {}, RunStatus}},
      {"jobs", {"jobs", "jobs that have not ended", {}, RunJobs}},
      {"job", {"job ID", "states of one job's tasks", {}, RunJob}},
      {"submit",
       {"submit --team NAME ...", "submit a job", SubmitSettings(), RunSubmit}},
      {"cancel", {"cancel ID", "cancel a job", {}, RunCancel}},
      {"config",
       {"config get|set|delete ...",
        "show or change teams, services and VMs",
        {{"expected", kNumber, "", false, 0, INT64_MAX,
          "apply only if the object still has this version"},
         {"change", kName, "", false, 0, 0,
          "id of the change; a repeated id is applied only once"}},
        RunConfig}},
      {"drain",
       {"drain VM",
        "move work off a VM and send it no more",
        {},
        [](const Invocation& invocation) {
          return SetDraining(invocation, true);
        }}},
      {"undrain",
       {"undrain VM",
        "send work to a VM again",
        {},
        [](const Invocation& invocation) {
          return SetDraining(invocation, false);
        }}},
      {"explain",
       {"explain job/ID | request/ID",
        "why something runs where it does",
        {},
        RunExplain}},
      {"questionnaire",
       {"questionnaire [--answers FILE] [--apply]",
        "generate the configuration of a new team from its answers",
        {{"answers", kText, "", false, 0, 0, "JSON file of answers"},
         {"apply", kFlag, "false", false, 0, 0,
          "apply the generated configuration"}},
        RunQuestionnaire}},
      {"events", {"events", "the catalogue of log events", {}, RunEvents}}};
  return all;
}

size_t RequiredArgumentCount(const Command& command) {
  const bool one = command.usage.ends_with(" ID") ||
                   command.usage.ends_with(" VM") ||
                   command.usage.starts_with("explain");
  return one ? 1 : 0;
}

}  // namespace

int RunCommand(const std::string& name, const std::vector<std::string>& args) {
  const auto found = Commands().find(name);
  if (found == Commands().end()) return -1;
  const Command& command = found->second;
  std::vector<SettingInfo> infos = command.infos;
  using enum SettingKind;
  infos.push_back({"entry", kAddress, "127.0.0.1:7000", false, 0, 0,
                   "address of an entry or of the load balancer"});
  infos.push_back({"json", kFlag, "false", false, 0, 0, "print JSON"});
  SettingsReason why;
  auto settings = Settings::Read(infos, args, why);
  if (!settings && why.code == SettingsError::kHelpRequested) {
    std::printf("almondtally %s: %s\n\n%s", command.usage.c_str(),
                command.meaning.c_str(), why.text.c_str());
    return exit_code::kOk;
  }
  if (!settings) {
    std::fprintf(stderr, "almondtally %s: %s\n", name.c_str(),
                 why.text.c_str());
    return exit_code::kUsage;
  }
  if (settings->Positional().size() < RequiredArgumentCount(command)) {
    return PrintUsage(command);
  }
  const Address entry = settings->AddressOf("entry");
  const bool json_output = settings->Flag("json");
  return command.run({std::move(*settings), entry, json_output});
}

std::string CommandHelp() {
  TextTable table({"COMMAND", "MEANING"});
  table.Add({"serve", "run an entry process"});
  for (const auto& [name, command] : Commands()) {
    table.Add({command.usage, command.meaning});
  }
  return table.Text();
}

}  // namespace almondtally
