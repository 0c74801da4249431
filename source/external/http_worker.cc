#include "external/http_worker.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/untrusted_json.h"

namespace almondtally {
namespace {

using nlohmann::json;

constexpr size_t kMaxResponseBytes = 4 << 20;
constexpr int kOk = 200;
constexpr int kFirstServerError = 500;

struct HttpWorker {
  HttpClient& client;
  Address address;
  Duration timeout;

  using JsonFn =
      std::function<void(std::optional<json>, const PlatformReason&)>;

  void Call(const char* method, const std::string& path, const json& body,
            JsonFn fn) {
    HttpRequest request{method, path, {}, body.is_null() ? "" : body.dump()};
    auto on_response = [fn = std::move(fn)](
                           std::optional<HttpResponse> response,
                           CallStatus end) {
      if (!response) {
        const auto code = end.sent == SendStatus::kNo
                              ? PlatformError::kUnreachable
                              : PlatformError::kUnknown;
        return fn(std::nullopt, {code, std::string(ToString(end.error))});
      }
      if (response->status != kOk) {
        const auto code = response->status >= kFirstServerError
                              ? PlatformError::kUnknown
                              : PlatformError::kRefused;
        return fn(std::nullopt, {code, response->body});
      }
      json parsed = ParseJson(response->body);
      if (parsed.is_discarded()) {
        return fn(std::nullopt,
                  {PlatformError::kDecode, "the response is not JSON"});
      }
      fn(std::move(parsed), {});
    };
    client.Start(address, request, true, timeout,
                 CollectResponse(kMaxResponseBytes, std::move(on_response)));
  }

  template <typename T>
  void CallAndDecode(
      const char* method, const std::string& path, const json& body,
      std::function<void(std::optional<T>, const PlatformReason&)> fn) {
    Call(method, path, body,
         [fn = std::move(fn)](const std::optional<json>& parsed,
                              const PlatformReason& why) {
           if (!parsed) return fn(std::nullopt, why);
           std::optional<T> out;
           try {
             out = parsed->get<T>();
           } catch (const json::exception& error) {
             return fn(std::nullopt, {PlatformError::kDecode, error.what()});
           }
           fn(std::move(out), {});
         });
  }

  void CallAndConfirm(const std::string& path, const json& body,
                      Worker::DoneFn fn) {
    Call("POST", path, body,
         [fn = std::move(fn)](const std::optional<json>& parsed,
                              const PlatformReason& why) {
           fn(parsed.has_value(), why);
         });
  }
};

}  // namespace

Worker MakeHttpWorker(HttpClient& client, Address worker, Duration timeout) {
  auto self = std::make_shared<HttpWorker>(
      HttpWorker{client, std::move(worker), timeout});
  Worker out;
  out.list = [self](Worker::StateFn fn) {
    self->CallAndDecode<WorkerState>("GET", "/v1/worker", nullptr,
                                     std::move(fn));
  };
  out.start = [self](const WorkerStart& start, Worker::DoneFn fn) {
    self->CallAndConfirm("/v1/worker/start", start, std::move(fn));
  };
  out.renew = [self](const std::vector<WorkerRun>& runs, WorkerTime until,
                     Worker::DoneFn fn) {
    const json body = {{"runs", runs}, {"lease_until_ms", until}};
    self->CallAndConfirm("/v1/worker/renew", body, std::move(fn));
  };
  out.stop = [self](const WorkerRun& run, bool with_checkpoint,
                    Worker::StoppedFn fn) {
    const json body = {{"run", run}, {"checkpoint", with_checkpoint}};
    self->CallAndDecode<WorkerStopped>("POST", "/v1/worker/stop", body,
                                       std::move(fn));
  };
  out.throttle = [self](const WorkerRun& run, int64_t percent,
                        Worker::DoneFn fn) {
    const json body = {{"run", run}, {"speed", percent}};
    self->CallAndConfirm("/v1/worker/throttle", body, std::move(fn));
  };
  out.forget = [self](const WorkerRun& run) {
    self->CallAndConfirm("/v1/worker/forget", {{"run", run}},
                         [](bool, const PlatformReason&) {});
  };
  return out;
}

}  // namespace almondtally
