/// Judges homes by what targets ran and what callers were told, and by nothing
/// else: it shares no code with the home.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "buckthornmux/detail/home/home.h"

namespace buckthornmux::home {

/// What callers were told and what targets ran, and whether both agree.
class Checker {
 public:
  void Submitted(std::uint64_t token, const JobRequest& request) {
    m_calls[token] = {request, ++m_submits[request.id]};
    m_not_run.erase(request.id);
    if (request.work_class == WorkClass::kUrgent) {
      m_over.erase(request.id);  // Asked for anew, after it was cancelled.
    }
  }

  void Asked(std::uint64_t token, const JobRequest& request) {
    m_calls[token] = {request, 0};
  }

  void Started(const sched::ReportedTask& task) {
    const std::string& job = task.spec.job;
    RC_ASSERT(m_running.insert(task.id).second);  // One place at a time.
    RC_ASSERT(!m_not_run.contains(job));
    RC_ASSERT(!m_over.contains(job));
    ++runs[task.id];
    ++job_runs[job];
    RC_ASSERT(task.spec.idempotent || runs[task.id] == 1);
  }

  void Ended(const std::string& task_id) { m_running.erase(task_id); }

  void Answered(const Reply& reply, bool by_owner) {
    const auto call = m_calls.find(reply.token);
    RC_ASSERT(call != m_calls.end());  // One answer for each call.
    const auto [request, submit] = call->second;
    m_calls.erase(call);
    const JobStatus& status = reply.status;
    RC_ASSERT(status.id == request.id);
    RC_ASSERT(status.team == request.team);
    for (std::size_t index = 0; index < status.results.size(); ++index) {
      const std::string whole =
          "result of red/" + request.id + "/" + std::to_string(index);
      RC_ASSERT(status.results[index].empty() ||
                status.results[index] == whole);
    }
    // A later submit by the same caller is answered on its own call.
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
      m_over.insert(request.id);
    }
    if (status.phase == JobPhase::kDone) {
      RC_ASSERT(job_runs[request.id] >= request.tasks);
    }
  }

  std::map<std::string, int> runs;                ///< By task.
  std::map<std::string, std::uint32_t> job_runs;  ///< By job.
  std::map<std::string, JobRequest> accepted;

 private:
  struct Call {
    JobRequest request;
    int submit = 0;  ///< Number among the job's submits; 0: no submit.
  };
  std::map<std::uint64_t, Call> m_calls;
  std::map<std::string, int> m_submits;
  std::set<std::string> m_running;
  std::set<std::string> m_not_run;  ///< Told so, and not submitted since.
  std::set<std::string> m_over;     ///< Told cancelled.
};

}  // namespace buckthornmux::home
