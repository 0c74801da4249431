#include "external/http_table.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/untrusted_json.h"

namespace almondtally {
namespace {

using nlohmann::json;

constexpr size_t kMaxResponseBytes = 64 << 20;
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kFirstServerError = 500;

PlatformReason ReasonFromCallEnd(CallStatus end) {
  const std::string text(ToString(end.error));
  if (end.sent == SendStatus::kNo) return {PlatformError::kUnreachable, text};
  return {PlatformError::kUnknown, text};
}

PlatformReason ReasonFromStatus(const HttpResponse& response) {
  if (response.status == kConflict)
    return {PlatformError::kConflict, "conflict"};
  const std::string text = "status " + std::to_string(response.status);
  // After a server error the write may or may not have been applied.
  if (response.status >= kFirstServerError) {
    return {PlatformError::kUnknown, text};
  }
  return {PlatformError::kRefused, text + ": " + response.body};
}

std::optional<std::vector<Row>> ParseRows(const std::string& body) {
  const json parsed = ParseJson(body);
  if (!parsed.is_object() || !parsed.contains("rows")) return std::nullopt;
  std::vector<Row> rows;
  try {
    for (const json& row : parsed.at("rows")) {
      rows.push_back({row.at("key").get<std::string>(),
                      RowVersion(row.at("version").get<uint64_t>()),
                      row.at("value").get<std::string>()});
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return rows;
}

json ToJson(const Transaction& transaction) {
  json out = {{"checks", json::array()},
              {"puts", json::array()},
              {"deletes", transaction.deletes}};
  for (const RowCheck& check : transaction.checks) {
    out["checks"].push_back({{"key", check.key}, {"version", check.version}});
  }
  for (const RowPut& put : transaction.puts) {
    out["puts"].push_back({{"key", put.key}, {"value", put.value}});
  }
  return out;
}

struct HttpTable {
  HttpClient& client;
  Address platform;
  Duration timeout;
  TableCounters& counters;

  void Post(const std::string& path, const json& body,
            HttpResponseCallback fn) {
    HttpRequest request{
        "POST", path, {{"content-type", "application/json"}}, body.dump()};
    client.Start(platform, request, true, timeout,
                 CollectResponse(kMaxResponseBytes, std::move(fn)));
  }

  void Commit(const Transaction& transaction, CommitFn fn) {
    ++counters.transactions;
    counters.rows_written +=
        transaction.puts.size() + transaction.deletes.size();
    Post("/v1/table/transact", ToJson(transaction),
         [this, fn = std::move(fn)](auto response, CallStatus end) {
           HandleCommitResponse(response, end, fn);
         });
  }

  void HandleCommitResponse(const std::optional<HttpResponse>& response,
                            CallStatus end, const CommitFn& fn) {
    if (!response) {
      ++counters.failures;
      return fn(std::nullopt, ReasonFromCallEnd(end));
    }
    if (response->status != kOk) {
      if (response->status != kConflict) ++counters.failures;
      return fn(std::nullopt, ReasonFromStatus(*response));
    }
    const json parsed = ParseJson(response->body);
    if (!parsed.is_object() || !parsed.contains("version") ||
        !parsed["version"].is_number_unsigned()) {
      return fn(std::nullopt, {PlatformError::kUnknown, "malformed response"});
    }
    fn(Committed{RowVersion(parsed["version"].get<uint64_t>())}, {});
  }

  void Read(const std::string& path, const json& body, RowsFn fn) {
    Post(path, body, [this, fn = std::move(fn)](auto response, CallStatus end) {
      if (!response) {
        ++counters.failures;
        return fn(std::nullopt, ReasonFromCallEnd(end));
      }
      if (response->status != kOk) {
        ++counters.failures;
        return fn(std::nullopt, ReasonFromStatus(*response));
      }
      auto rows = ParseRows(response->body);
      if (!rows) {
        return fn(std::nullopt,
                  {PlatformError::kDecode, "malformed rows in the response"});
      }
      counters.rows_read += std::max<size_t>(rows->size(), 1);
      fn(std::move(rows), {});
    });
  }
};

}  // namespace

std::string_view ToString(PlatformError error) {
  switch (error) {
    case PlatformError::kNone:
      return "none";
    case PlatformError::kUnreachable:
      return "unreachable";
    case PlatformError::kUnknown:
      return "unknown";
    case PlatformError::kConflict:
      return "conflict";
    case PlatformError::kRefused:
      return "refused";
    case PlatformError::kDecode:
      return "decode";
  }
  return "unknown";
}

Table MakeHttpTable(HttpClient& client, Address platform, Duration timeout,
                    TableCounters& counters) {
  auto self = std::make_shared<HttpTable>(
      HttpTable{client, std::move(platform), timeout, counters});
  Table table;
  table.commit = [self](const Transaction& transaction, CommitFn fn) {
    self->Commit(transaction, std::move(fn));
  };
  table.get = [self](const std::vector<std::string>& keys, RowsFn fn) {
    self->Read("/v1/table/get", {{"keys", keys}}, std::move(fn));
  };
  table.scan = [self](const std::string& prefix, RowsFn fn) {
    self->Read("/v1/table/scan", {{"prefix", prefix}}, std::move(fn));
  };
  return table;
}

}  // namespace almondtally
