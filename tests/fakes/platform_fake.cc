// Test double for the platform's table service and object store. One process
// holds all rows in memory; tests inject faults through /control.

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "settings/setting.h"
#include "wire/http_server.h"

namespace almondtally {
namespace {

using nlohmann::json;

enum class Fault { kNone, kDown, kHang, kDropResponses };

struct StoredRow {
  uint64_t version = 0;
  std::string value;
};

struct Platform {
  std::map<std::string, StoredRow> rows;
  std::map<std::string, std::string> objects;
  uint64_t version = 0;
  uint64_t rows_written = 0;
  uint64_t rows_read = 0;
  uint64_t transactions = 0;
  Fault fault = Fault::kNone;
  Duration delay{0};
};

struct Reply {
  int status = 200;
  std::string body = "{}";
};

uint64_t VersionOf(const Platform& platform, const std::string& key) {
  const auto it = platform.rows.find(key);
  return it == platform.rows.end() ? 0 : it->second.version;
}

json ToJson(const std::string& key, const StoredRow& row) {
  return {{"key", key}, {"version", row.version}, {"value", row.value}};
}

Reply Transact(Platform& platform, const json& in) {
  for (const json& check : in.at("checks")) {
    const auto key = check.at("key").get<std::string>();
    if (VersionOf(platform, key) != check.at("version").get<uint64_t>()) {
      return {409, json{{"conflict", key}}.dump()};
    }
  }
  ++platform.transactions;
  ++platform.version;
  for (const json& put : in.at("puts")) {
    platform.rows[put.at("key").get<std::string>()] = {
        platform.version, put.at("value").get<std::string>()};
    ++platform.rows_written;
  }
  for (const json& key : in.at("deletes")) {
    platform.rows.erase(key.get<std::string>());
    ++platform.rows_written;
  }
  return {200, json{{"version", platform.version}}.dump()};
}

Reply Get(Platform& platform, const json& in) {
  json rows = json::array();
  for (const json& key : in.at("keys")) {
    ++platform.rows_read;
    const auto it = platform.rows.find(key.get<std::string>());
    if (it != platform.rows.end())
      rows.push_back(ToJson(it->first, it->second));
  }
  return {200, json{{"rows", rows}}.dump()};
}

Reply Scan(Platform& platform, const json& in) {
  const auto prefix = in.at("prefix").get<std::string>();
  json rows = json::array();
  for (auto it = platform.rows.lower_bound(prefix);
       it != platform.rows.end() && it->first.starts_with(prefix); ++it) {
    ++platform.rows_read;
    rows.push_back(ToJson(it->first, it->second));
  }
  return {200, json{{"rows", rows}}.dump()};
}

Reply Object(Platform& platform, const HttpRequest& request) {
  if (request.method == "PUT") {
    platform.objects[request.path] = request.body;
    return {};
  }
  const auto it = platform.objects.find(request.path);
  if (it == platform.objects.end()) return {404, "{}"};
  return {200, it->second};
}

Reply Control(Platform& platform, const json& in) {
  const std::string fault = in.value("fault", "none");
  platform.fault = fault == "down"           ? Fault::kDown
                   : fault == "hang"         ? Fault::kHang
                   : fault == "lose-answers" ? Fault::kDropResponses
                                             : Fault::kNone;
  platform.delay = Duration(in.value("delay_ms", 0));
  return {};
}

Reply Stats(const Platform& platform) {
  const json out = {{"rows", platform.rows.size()},
                    {"rows_written", platform.rows_written},
                    {"rows_read", platform.rows_read},
                    {"transactions", platform.transactions}};
  return {200, out.dump()};
}

Reply Dispatch(Platform& platform, const HttpRequest& request) {
  if (request.path.starts_with("/v1/objects/")) {
    return Object(platform, request);
  }
  if (request.path == "/stats") return Stats(platform);
  const json in = json::parse(request.body, nullptr, false);
  if (in.is_discarded()) return {400, R"({"error":"not JSON"})"};
  try {
    if (request.path == "/v1/table/transact") return Transact(platform, in);
    if (request.path == "/v1/table/get") return Get(platform, in);
    if (request.path == "/v1/table/scan") return Scan(platform, in);
    if (request.path == "/control") return Control(platform, in);
  } catch (const json::exception& error) {
    return {400, json{{"error", error.what()}}.dump()};
  }
  return {404, "{}"};
}

void HandleRequest(EventLoop& loop, Platform& platform,
                   const Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  const bool is_control =
      request.path == "/control" || request.path == "/stats";
  if (!is_control && platform.fault == Fault::kDown) {
    return exchange.Answer(503, {}, "{}");
  }
  if (!is_control && platform.fault == Fault::kHang) return;
  const Reply reply = Dispatch(platform, request);
  if (!is_control && platform.fault == Fault::kDropResponses) return;
  if (is_control || platform.delay.count() == 0) {
    return exchange.Answer(reply.status, {}, reply.body);
  }
  loop.RunAfter(platform.delay, [exchange, reply] {
    exchange.Answer(reply.status, {}, reply.body);
  });
}

int Main(const std::vector<std::string>& args) {
  const std::vector<SettingInfo> infos = {
      {"listen", SettingKind::kAddress, "", true, 0, 0, "where to listen"}};
  SettingsReason why;
  const auto settings = Settings::Read(infos, args, why);
  if (!settings) {
    std::fprintf(stderr, "%s\n", why.text.c_str());
    return 2;
  }
  EventLoop loop;
  Platform platform;
  ServerLimits limits;
  limits.max_body = 64 << 20;
  HttpServer server(loop, limits, [&](const Exchange& exchange) {
    HandleRequest(loop, platform, exchange);
  });
  WireReason listen_why;
  if (!server.Listen(settings->AddressOf("listen"), listen_why)) {
    std::fprintf(stderr, "%s\n", listen_why.text.c_str());
    return 1;
  }
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace almondtally

int main(int argc, char** argv) {
  return almondtally::Main({argv + 1, argv + argc});
}
