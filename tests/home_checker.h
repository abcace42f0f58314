/// Checks partition owners by the tasks that targets ran and the answers that
/// callers received. It shares no code with the owner.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "buckthornmux/detail/home/home.h"

namespace buckthornmux::home {

/// Records the answers to callers and the runs at targets, and checks that both
/// agree.
class Checker {
 public:
  void Submitted(std::uint64_t token, const JobRequest& request) {
    m_calls[token] = {request, ++m_submits[request.id]};
    m_not_run.erase(request.id);
    if (request.work_class == WorkClass::kUrgent) {
      m_cancelled.erase(request.id);  // Submitted again after a cancellation.
    }
  }

  void Queried(std::uint64_t token, const JobRequest& request) {
    m_calls[token] = {request, 0};
  }

  void Started(const sched::ReportedTask& task) {
    const std::string& job = task.spec.job;
    // A task runs at one target at a time.
    RC_ASSERT(m_running.insert(task.id).second);
    RC_ASSERT(!m_not_run.contains(job));
    RC_ASSERT(!m_cancelled.contains(job));
    ++runs[task.id];
    ++job_runs[job];
    RC_ASSERT(task.spec.idempotent || runs[task.id] == 1);
  }

  void Ended(const std::string& task_id) { m_running.erase(task_id); }

  void Answered(const Reply& reply, bool by_owner) {
    const auto call = m_calls.find(reply.token);
    RC_ASSERT(call != m_calls.end());  // Each call is answered exactly once.
    const auto [request, submit] = call->second;
    m_calls.erase(call);
    const JobStatus& status = reply.status;
    RC_ASSERT(status.id == request.id);
    RC_ASSERT(status.team == request.team);
    for (std::size_t index = 0; index < status.results.size(); ++index) {
      const std::string expected =
          "result of red/" + request.id + "/" + std::to_string(index);
      RC_ASSERT(status.results[index].empty() ||
                status.results[index] == expected);
    }
    // A later submit of the same request is answered on its own call.
    const bool latest = submit != 0 && submit == m_submits[request.id];
    if (reply.accepted) {
      accepted[request.id] = request;
    } else if (status.ran == Ran::kNo && latest) {
      RC_ASSERT(job_runs[request.id] == 0);
      m_not_run.insert(request.id);
    }
    const bool stale_answer =
        request.work_class == WorkClass::kUrgent && !(latest && by_owner);
    if (status.phase == JobPhase::kCancelled && !stale_answer) {
      m_cancelled.insert(request.id);
    }
    if (status.phase == JobPhase::kDone) {
      RC_ASSERT(job_runs[request.id] >= request.tasks);
    }
  }

  std::map<std::string, int> runs;  ///< Number of runs, keyed by task id.
  /// Number of task runs, keyed by job.
  std::map<std::string, std::uint32_t> job_runs;
  std::map<std::string, JobRequest> accepted;

 private:
  struct Call {
    JobRequest request;
    int submit = 0;  ///< Ordinal among the job's submits; 0: not a submit.
  };
  std::map<std::uint64_t, Call> m_calls;
  std::map<std::string, int> m_submits;
  std::set<std::string> m_running;
  /// Jobs answered as not run and not submitted since.
  std::set<std::string> m_not_run;
  std::set<std::string> m_cancelled;  ///< Jobs answered as cancelled.
};

}  // namespace buckthornmux::home
