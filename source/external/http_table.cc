#include "external/http_table.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace almondtally {
namespace {

using nlohmann::json;

constexpr size_t kMaxAnswerBytes = 64 << 20;
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kFirstServerError = 500;

PlatformReason FromWire(CallEnd end) {
  const std::string text(ToString(end.error));
  if (end.sent == Sent::kNo) return {PlatformError::kUnreachable, text};
  return {PlatformError::kUnknown, text};
}

PlatformReason FromStatus(const WholeAnswer& answer) {
  if (answer.status == kConflict) return {PlatformError::kConflict, "conflict"};
  const std::string text = "status " + std::to_string(answer.status);
  // A server error says nothing about whether the write was applied.
  if (answer.status >= kFirstServerError) {
    return {PlatformError::kUnknown, text};
  }
  return {PlatformError::kRefused, text + ": " + answer.body};
}

std::optional<std::vector<Row>> ReadRows(const std::string& body) {
  const json in = json::parse(body, nullptr, false);
  if (!in.is_object() || !in.contains("rows")) return std::nullopt;
  std::vector<Row> rows;
  try {
    for (const json& it : in.at("rows")) {
      rows.push_back({it.at("key").get<std::string>(),
                      RowVersion(it.at("version").get<uint64_t>()),
                      it.at("value").get<std::string>()});
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

  void Post(const std::string& path, const json& body, WholeAnswerFn fn) {
    HttpRequest request{
        "POST", path, {{"content-type", "application/json"}}, body.dump()};
    client.Start(platform, request, true, timeout,
                 CollectWhole(kMaxAnswerBytes, std::move(fn)));
  }

  void Commit(const Transaction& transaction, CommitFn fn) {
    ++counters.transactions;
    counters.rows_written +=
        transaction.puts.size() + transaction.deletes.size();
    Post("/v1/table/transact", ToJson(transaction),
         [this, fn = std::move(fn)](auto answer, CallEnd end) {
           FinishCommit(answer, end, fn);
         });
  }

  void FinishCommit(const std::optional<WholeAnswer>& answer, CallEnd end,
                    const CommitFn& fn) {
    if (!answer) {
      ++counters.failures;
      return fn(std::nullopt, FromWire(end));
    }
    if (answer->status != kOk) {
      if (answer->status != kConflict) ++counters.failures;
      return fn(std::nullopt, FromStatus(*answer));
    }
    const json in = json::parse(answer->body, nullptr, false);
    if (!in.is_object() || !in.contains("version") ||
        !in["version"].is_number_unsigned()) {
      return fn(std::nullopt, {PlatformError::kUnknown, "unreadable answer"});
    }
    fn(Committed{RowVersion(in["version"].get<uint64_t>())}, {});
  }

  void Read(const std::string& path, const json& body, RowsFn fn) {
    Post(path, body, [this, fn = std::move(fn)](auto answer, CallEnd end) {
      if (!answer) {
        ++counters.failures;
        return fn(std::nullopt, FromWire(end));
      }
      if (answer->status != kOk) {
        ++counters.failures;
        return fn(std::nullopt, FromStatus(*answer));
      }
      auto rows = ReadRows(answer->body);
      if (!rows) {
        return fn(std::nullopt, {PlatformError::kDecode, "unreadable rows"});
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
