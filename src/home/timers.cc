#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

void SetTimer(Step& step, Time& current, Time wanted, Partition partition,
              const std::string& key) {
  if (wanted == current) {
    return;
  }
  if (current != Time::max()) {
    step.state.timers.erase({current, {partition, key}});
  }
  current = wanted;
  if (wanted == Time::max()) {
    return;
  }
  step.state.timers.insert({wanted, {partition, key}});
}

/// When a job must be processed again if no event arrives for it.
Time NextDueTime(const Step& step, const Job& job) {
  if (job.Ended()) {
    return Time::max();
  }
  Time next = job.withdrawn ? Time::max() : job.deadline;
  for (const Waiter& waiter : job.waiters) {
    next = std::min(next, waiter.deadline);
  }
  for (const std::uint32_t index : job.waiting) {
    const Time not_before = job.tasks[index].not_before;
    const bool waits_for_event = not_before <= step.now;
    next = waits_for_event ? next : std::min(next, not_before);
  }
  return std::min({next, job.next_cancel_at, job.overrun_at});
}

/// Sets when tasks that run past the deadline are stopped: late patient work
/// may finish, but a target that never ends a task must not keep its job open
/// forever.
void AllowOverrun(const Step& step, Job& job) {
  const HomeOptions& options = step.state.options;
  const double runs_ms = options.overrun_factor *
                         static_cast<double>(job.request.expected_run.count());
  const Millis allowed{static_cast<std::int64_t>(runs_ms)};
  job.overrun_at = step.now + std::max(options.min_overrun, allowed);
}

bool StopsStarted(const Job& job) {
  return job.cancelled || job.overrun || !job.Durable();
}

void HandleDurableAcceptance(Step& step, PartitionState& partition, Job& job) {
  if (job.acceptance_sequence != 0 &&
      job.acceptance_sequence <= partition.durable) {
    job.acceptance_sequence = 0;
    job.acceptance_durable = true;
    AnswerWaiters(step, job, Waiter::For::kAcceptance, true);
  }
}

void HandleDurableEnd(Step& step, PartitionState& partition, Job& job) {
  if (job.Ended() && !job.end_durable && job.last_append <= partition.durable) {
    job.end_durable = true;
    AnswerAllWaiters(step, job);
  }
}

}  // namespace

void SetJobTimer(Step& step, PartitionState& partition, Job& job) {
  SetTimer(step, job.wake, NextDueTime(step, job), partition.home.partition,
           KeyOf(job));
}

void DropJobTimer(Step& step, PartitionState& partition, Job& job) {
  SetTimer(step, job.wake, Time::max(), partition.home.partition, KeyOf(job));
}

void SetPartitionTimer(Step& step, PartitionState& partition) {
  Time next = Time::max();
  for (const auto& [shard, inquiry] : partition.inquiries) {
    next = std::min(next, inquiry.next_inquire_at);
  }
  if (!partition.expiries.empty()) {
    next = std::min(next, partition.expiries.begin()->first);
  }
  SetTimer(step, partition.wake, next, partition.home.partition, {});
}

void DriveJob(Step& step, PartitionState& partition, Job& job) {
  HandleDurableAcceptance(step, partition, job);
  if (job.cancellation_sequence <= partition.durable) {
    job.cancel_durable = job.cancelled;
    AnswerWaiters(step, job, Waiter::For::kCancel, false);
  }
  if (!job.Ended()) {
    if (!job.withdrawn && job.deadline <= step.now) {
      job.withdrawn = true;
      if (job.Durable()) {
        AllowOverrun(step, job);
      }
      WithdrawTasks(
          step, partition, job, !job.Durable(),
          job.held ? ErrorKind::kNotReady : ErrorKind::kDeadlinePassed);
    } else if (job.overrun_at <= step.now) {
      job.overrun_at = Time::max();
      job.overrun = true;
      Note(step, job, "stopped long after its deadline");
      WithdrawTasks(step, partition, job, true, ErrorKind::kDeadlinePassed);
    } else if (job.next_cancel_at <= step.now) {
      job.next_cancel_at = Time::max();
      WithdrawTasks(step, partition, job, StopsStarted(job),
                    ErrorKind::kCancelled);
    }
    SendIntended(step, partition, job);
    bool again = true;
    // Terminates: each attempt consumes a retry or excludes a shard.
    while (again) {
      StartWaiting(step, partition, job);
      again = FinishIfEnded(step, partition, job);
    }
  }
  HandleDurableEnd(step, partition, job);
  AnswerLateWaiters(step, job);
  SetJobTimer(step, partition, job);
}

void OnTick(Step& step) {
  HomeState& state = step.state;
  if (state.pending_wake <= step.now) {
    state.pending_wake = Time::max();
  }
  while (!state.timers.empty() && state.timers.begin()->first <= step.now) {
    const auto [partition_number, key] = state.timers.begin()->second;
    state.timers.erase(state.timers.begin());
    PartitionState* partition = FindPartition(state, partition_number);
    if (partition == nullptr) {
      continue;
    }
    if (key.empty()) {
      partition->wake = Time::max();
      InquireDue(step, *partition);
      DropExpired(step, *partition);
      SetPartitionTimer(step, *partition);
    } else if (Job* job = FindJobByKey(*partition, key)) {
      job->wake = Time::max();
      DriveJob(step, *partition, *job);
    }
  }
}

}  // namespace buckthornmux::home
