#include "peer/links.h"

#include <utility>

namespace almondtally {
namespace {

constexpr size_t kMaxAnswerBytes = 16 << 20;
constexpr int kOk = 200;

}  // namespace

PeerLinks::PeerLinks(EventLoop& loop)
    : loop_(loop),
      transport_([this](const Address& to, const char* path, std::string bytes,
                        Duration timeout, BytesCallback callback) {
        SendBytes(to, path, std::move(bytes), timeout, std::move(callback));
      }) {}

PeerLink& PeerLinks::To(const Address& address) {
  auto& link = links_[address];
  if (link == nullptr) link = std::make_unique<PeerLink>(loop_, address);
  return *link;
}

uint64_t PeerLinks::bytes_out() const {
  uint64_t sum = 0;
  for (const auto& [address, link] : links_) sum += link->bytes_out();
  return sum;
}

uint64_t PeerLinks::bytes_in() const {
  uint64_t sum = 0;
  for (const auto& [address, link] : links_) sum += link->bytes_in();
  return sum;
}

void PeerLinks::SendBytes(const Address& to, const char* path,
                          std::string bytes, Duration timeout,
                          BytesCallback callback) {
  HttpRequest request{"POST", path, {}, std::move(bytes)};
  auto on_answer = [callback = std::move(callback)](
                       std::optional<HttpResponse> answer, CallStatus end) {
    if (!answer) {
      return callback(std::nullopt,
                      {end.error, std::string(ToString(end.error))});
    }
    if (answer->status != kOk) {
      return callback(std::nullopt, {WireError::kRefusedByPeer, answer->body});
    }
    callback(std::move(answer->body), {});
  };
  To(to).Start(std::move(request), timeout,
               CollectResponse(kMaxAnswerBytes, std::move(on_answer)));
}

}  // namespace almondtally
