#include <algorithm>

#include "buckthornmux/detail/core/invariant.h"
#include "steps.h"

namespace buckthornmux::home {
namespace {

/// Sends the only Reply of a call. `key` is the key of its job.
void Send(Step& step, std::uint64_t token, const std::string& key,
          Reply reply) {
  if (token == 0) {
    return;
  }
  const auto call = step.state.calls.find(token);
  Invariant(call != step.state.calls.end(), "one_answer_per_call", key);
  Invariant(call->second.key == key, "answer_matches_request", key);
  step.state.calls.erase(call);
  if (step.now >= step.state.lease_until) {
    reply.status.ran = std::max(reply.status.ran, Ran::kUnknown);
  }
  reply.token = token;
  step.actions.emplace_back(std::move(reply));
}

void SendAbout(Step& step, std::uint64_t token, const Job& job, Reply reply) {
  Invariant(reply.status.ran != Ran::kNo || job.possibly_run.empty(),
            "not_run_is_true", KeyOf(job));
  Send(step, token, KeyOf(job), std::move(reply));
}

}  // namespace

Ran RanOf(const Job& job) {
  Ran ran = Ran::kNo;
  for (const Task& task : job.tasks) {
    if (task.started) {
      return Ran::kYes;
    }
    if (task.uncertain || task.state == TaskState::kSent) {
      ran = Ran::kUnknown;
    }
  }
  // If the end of a durable job is not in the journal, a successor that reads
  // only its acceptance may still start it.
  const bool may_still_run = job.Durable() && job.Ended() && !job.end_durable &&
                             !(job.cancelled && job.cancel_durable);
  return job.held || may_still_run ? std::max(ran, Ran::kUnknown) : ran;
}

Ran RanOfUnknownRequest(const PartitionState& partition,
                        const JobRequest& request) {
  // Only urgent idempotent work starts without a journal record. Until every
  // shard has reported, a former owner may have started it.
  const bool has_no_record =
      request.work_class == WorkClass::kUrgent && request.idempotent;
  const std::string id_prefix = KeyOf(request.team, request.id) + "/";
  const auto adopted = partition.adopted.lower_bound(id_prefix);
  const bool has_adopted = adopted != partition.adopted.end() &&
                           adopted->first.starts_with(id_prefix);
  return has_adopted || (has_no_record && !partition.settled) ? Ran::kUnknown
                                                              : Ran::kNo;
}

JobStatus StatusOf(const Job& job) {
  JobStatus status;
  status.id = job.request.id;
  status.team = job.request.team;
  status.kind = job.request.kind;
  status.phase = job.phase;
  const bool may_be_undone = job.Durable() && !job.cancel_durable;
  if (job.phase == JobPhase::kCancelled && may_be_undone) {
    status.phase = JobPhase::kRunning;  // Reported as cancelled once durable.
  }
  status.ran = RanOf(job);
  status.error = job.error;
  status.retry_after = job.retry_after;
  status.history = job.history;
  status.tasks = static_cast<std::uint32_t>(job.tasks.size());
  status.results.reserve(job.tasks.size());
  for (const Task& task : job.tasks) {
    const bool done =
        task.state == TaskState::kEnded && task.end == TaskEnd::kDone;
    status.tasks_done += done ? 1 : 0;
    status.results.push_back(done ? task.result : std::string());
  }
  return status;
}

void OpenCallFor(Step& step, std::uint64_t token, Partition partition,
                 std::string key) {
  if (token == 0) {
    return;
  }
  const bool fresh =
      step.state.calls.emplace(token, OpenCall{partition, std::move(key)})
          .second;
  Invariant(fresh, "one_answer_per_call", "token used twice");
}

void Refuse(Step& step, std::uint64_t token, const JobRequest& request,
            ErrorKind error, Ran ran) {
  Reply reply;
  reply.status.id = request.id;
  reply.status.team = request.team;
  reply.status.kind = request.kind;
  reply.status.phase = JobPhase::kFailed;
  reply.status.ran = ran;
  reply.status.error = error;
  reply.status.retry_after = AnswerFor(error).retry_after;
  reply.status.tasks = request.tasks;
  Send(step, token, KeyOf(request.team, request.id), std::move(reply));
}

void AnswerStatus(Step& step, std::uint64_t token, const Job& job,
                  bool accepted) {
  Reply reply{token, accepted, StatusOf(job)};
  Invariant(!accepted || job.acceptance_durable, "accepted_is_durable",
            KeyOf(job));
  SendAbout(step, token, job, std::move(reply));
}

void AnswerError(Step& step, std::uint64_t token, const Job& job,
                 ErrorKind error) {
  Reply reply{token, false, StatusOf(job)};
  reply.status.error = error;
  reply.status.retry_after = AnswerFor(error).retry_after;
  if (!job.Ended()) {
    reply.status.phase = JobPhase::kFailed;
  }
  if (!job.Ended() && reply.status.ran == Ran::kNo) {
    reply.status.ran = Ran::kUnknown;  // It has not run, but may still run.
  }
  SendAbout(step, token, job, std::move(reply));
}

void AnswerWaiters(Step& step, Job& job, Waiter::For until, bool accepted) {
  std::vector<Waiter> rest;
  std::vector<Waiter> answered;
  for (const Waiter& waiter : job.waiters) {
    (waiter.until == until ? answered : rest).push_back(waiter);
  }
  job.waiters = std::move(rest);
  for (const Waiter& waiter : answered) {
    AnswerStatus(step, waiter.token, job, accepted);
  }
}

void AnswerAllWaiters(Step& step, Job& job) {
  const std::vector<Waiter> waiters = std::exchange(job.waiters, {});
  for (const Waiter& waiter : waiters) {
    const bool accepted =
        waiter.until == Waiter::For::kAcceptance && job.acceptance_durable;
    AnswerStatus(step, waiter.token, job, accepted);
  }
}

void AnswerLateWaiters(Step& step, Job& job) {
  const auto late = std::stable_partition(
      job.waiters.begin(), job.waiters.end(),
      [&](const Waiter& waiter) { return waiter.deadline > step.now; });
  const std::vector<Waiter> answered(late, job.waiters.end());
  job.waiters.erase(late, job.waiters.end());
  for (const Waiter& waiter : answered) {
    AnswerError(step, waiter.token, job,
                job.held ? ErrorKind::kNotReady : ErrorKind::kDeadlinePassed);
  }
}

void Note(Step& step, Job& job, std::string what) {
  if (job.history.size() >= step.state.options.max_history_steps) {
    job.history.erase(job.history.begin());
  }
  job.history.push_back({step.state.anchor.ToWall(step.now), std::move(what)});
}

}  // namespace buckthornmux::home
