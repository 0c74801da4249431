#pragma once

#include <string>

#include "entry/batch_system.h"
#include "entry/entry_context.h"
#include "entry/request_router.h"
#include "wire/http_server.h"

namespace almondtally {

/// HTTP API for operators: JSON under /admin/v1. See docs/API.md.
class AdminApi {
 public:
  AdminApi(EntryContext& context, BatchScheduler& batch,
           const RequestRouter& router)
      : context_(context), batch_(batch), router_(router) {}

  void Handle(const Exchange& exchange);

 private:
  void GetConfig(const Exchange& exchange, const std::string& name);
  void ChangeConfig(const Exchange& exchange, const std::string& name);
  void SubmitJob(const Exchange& exchange);
  void AnswerExistingJob(const Exchange& exchange, const JobSpec& spec);
  void GetJob(const Exchange& exchange, const JobId& job);
  void CancelJob(const Exchange& exchange, const JobId& job, int attempts_left);
  void ListJobs(const Exchange& exchange);
  void GetStatus(const Exchange& exchange);
  void Explain(const Exchange& exchange, const std::string& subject);
  void ExplainJob(const Exchange& exchange, const JobId& job);
  void NotifyOwner(const JobSpec& spec);

  EntryContext& context_;
  BatchScheduler& batch_;
  const RequestRouter& router_;
};

}  // namespace almondtally
