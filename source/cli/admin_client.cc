#include "cli/admin_client.h"

#include "wire/http_client.h"

namespace almondtally {
namespace {

constexpr Duration kTimeout{15'000};
constexpr size_t kMaxAnswerBytes = 64 << 20;

}  // namespace

AdminAnswer CallAdmin(const Address& entry, const std::string& method,
                      const std::string& path, const nlohmann::json& body) {
  EventLoop loop;
  HttpClient client(loop, kTimeout);
  AdminAnswer out;
  HttpRequest request{
      method, "/admin/v1/" + path, {}, body.is_null() ? "" : body.dump()};
  client.Start(
      entry, request, false, kTimeout,
      CollectResponse(kMaxAnswerBytes, [&](const auto& answer, CallStatus end) {
        loop.Stop();
        if (!answer) {
          out.error = "no answer from " + ToString(entry) + ": " +
                      std::string(ToString(end.error));
          return;
        }
        out.status = answer->status;
        out.body = nlohmann::json::parse(answer->body, nullptr, false);
      }));
  loop.Run();
  return out;
}

}  // namespace almondtally
