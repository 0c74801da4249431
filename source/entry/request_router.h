#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "entry/entry_context.h"
#include "peer/request_headers.h"
#include "wire/http_server.h"

namespace almondtally {

/// Routes callers' requests to targets and returns the answers.
class RequestRouter {
 public:
  explicit RequestRouter(EntryContext& context) : context_(context) {}

  void Handle(const Exchange& exchange);
  /// @return requests that are not answered yet.
  int64_t open() const { return open_; }
  /// @return what is known of a recent request, or empty text.
  std::string Explain(const RequestId& request) const;

 private:
  struct Routed;
  using RoutedPtr = std::shared_ptr<Routed>;

  bool Check(const RoutedPtr& it);
  void Attempt(const RoutedPtr& it);
  void Claim(const RoutedPtr& it);
  void ReadClaim(const RoutedPtr& it);
  bool Choose(const RoutedPtr& it);
  void Send(const RoutedPtr& it);
  void TakeHead(const RoutedPtr& it, int status, const Headers& headers);
  void TakeEnd(const RoutedPtr& it, CallEnd end);
  void RetryElsewhere(const RoutedPtr& it, const std::string& reason);
  void Withdraw(const RoutedPtr& it, int tries_left);
  void TakeWithdrawn(const RoutedPtr& it, const WithdrawAnswer& answer,
                     int tries_left);
  void Refuse(const RoutedPtr& it, int status, Outcome outcome,
              const std::string& reason);
  void Close(const RoutedPtr& it, Outcome outcome, const std::string& reason);
  void NoteTarget(const RoutedPtr& it, bool failed);
  TargetLoad* LoadOf(const RoutedPtr& it);

  EntryContext& context_;
  int64_t open_ = 0;
  std::map<RequestId, std::string> history_;
  std::deque<RequestId> history_order_;
};

}  // namespace almondtally
