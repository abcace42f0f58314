#include <algorithm>
#include <array>

#include "buckthornmux/detail/core/invariant.h"
#include "src/cell/admission/admission.h"
#include "src/cell/admission/queues.h"
#include "src/cell/placement/health.h"
#include "src/cell/placement/interference.h"
#include "src/cell/placement/target_speed.h"
#include "src/cell/runs/verdicts.h"

namespace buckthornmux::cell {
namespace {

/// Failed runs that are remembered of a task that lasts, which may fail without
/// limit: enough to count each once.
constexpr std::size_t kMaxFailuresOfService = 16;
/// Longer checkpoints are not kept, bytes.
constexpr std::size_t kMaxCheckpointBytes = 4000;
/// Epochs above this don't count in run numbers, which have 32 bits.
constexpr Epoch kMaxNumberedEpoch = 10'000'000;

/// Returns the first run number of an epoch.
std::uint32_t FirstRunOf(Epoch epoch) {
  return static_cast<std::uint32_t>(
      std::min(epoch, kMaxNumberedEpoch) * kTakeoverRunNumberGap + 1);
}

/// Leaves a gap in a task's run numbers. Numbers of several owners in a row may
/// be unknown, since starts aren't stored, so that each epoch has its own.
/// @return whether the number must be stored to differ from the next owner's
bool SkipFormerRuns(Task& task, Epoch epoch) {
  const std::uint32_t of_epoch = FirstRunOf(epoch);
  const std::uint32_t after_known = task.next_run + kTakeoverRunNumberGap;
  task.next_run = std::max(after_known, of_epoch);
  return after_known > of_epoch;
}

bool IsDone(const Occurrence& occurrence, const JobSpec& spec,
            std::uint32_t step) {
  return occurrence.steps[step].done >= spec.steps[step].count;
}

void EndOccurrence(Cell& cell, Actions& actions, Job& job, std::uint32_t number,
                   Time now) {
  CloseOccurrence(cell, job, number);
  ++job.occurrences_done;
  const std::uint32_t wanted =
      std::max<std::uint32_t>(1, job.spec.recurrence.count);
  if (job.occurrences_done >= wanted) {
    EndJob(cell, actions, job, JobPhase::kCompleted, "all tasks done", now);
  } else {
    MarkChanged(cell, job, false, now);
  }
}

/// Marks tasks done; a gang is done as a whole.
void MarkDone(Step& step, const StepSpec& spec, std::uint32_t index) {
  const std::uint32_t first = spec.gang ? 0 : index;
  const std::uint32_t last = spec.gang ? step.tasks.Count() - 1 : index;
  for (std::uint32_t i = first; i <= last; ++i) {
    if (step.tasks.IsDone(i)) {
      continue;
    }
    const Task* task = step.tasks.Find(i);
    if (task != nullptr && task->phase == TaskPhase::kLive) {
      --step.live;
    }
    step.tasks.MarkDone(i);
    ++step.done;
  }
}

void TaskDone(Cell& cell, Actions& actions, Job& job, const TaskId& id,
              Time now) {
  Step& step = *FindStep(job, id.occurrence, id.step);
  const StepSpec& spec = job.spec.steps[id.step];
  const std::uint32_t done = step.done;
  MarkDone(step, spec, id.index);
  AddAmount(cell.ended_work, WorkOf(spec, step.done - done), now);
  MarkChanged(cell, job, false, now);
  RefreshStep(cell, job, id.occurrence, id.step);
  if (step.done < spec.count) {
    return;
  }
  Occurrence& occurrence = job.occurrences.at(id.occurrence);
  if (++occurrence.steps_done >= job.spec.steps.size()) {
    EndOccurrence(cell, actions, job, id.occurrence, now);
  } else {
    RefreshReady(cell, job, id.occurrence, now);
    ShelveIfIdle(cell, job, id.occurrence);
  }
}

/// Counts a failed run once, even if its end is reported several times.
void TaskFailed(Cell& cell, Actions& actions, Job& job, const RunId& run,
                const TargetId& target, Time now) {
  Step& step = *FindStep(job, run.task.occurrence, run.task.step);
  const StepSpec& spec = job.spec.steps[run.task.step];
  Task& counted = step.tasks.Get(spec.gang ? 0 : run.task.index);
  if (std::ranges::count(counted.failed_runs, run.number) > 0) {
    return;
  }
  counted.failed_runs.push_back(run.number);
  if (spec.service && counted.failed_runs.size() > kMaxFailuresOfService) {
    counted.failed_runs.erase(counted.failed_runs.begin());
  }
  counted.failed_on = target;
  counted.failed_at = now;
  MarkChanged(cell, job, false, now);
  const Queue* queue = QueueOf(cell, job);
  const std::uint32_t attempts =
      queue == nullptr ? counted.Failures() + 1 : queue->max_attempts;
  if (!spec.service && counted.Failures() >= attempts) {
    EndJob(cell, actions, job, JobPhase::kFailed,
           "task " + TaskName(run.task) + " failed in every attempt", now);
  }
}

/// Draws conclusions about a target from the end of a run. A gang's failures
/// are counted for its first task.
void UpdateHealth(Cell& cell, Actions& actions, Target& target,
                  const EndReport& end, Job* job, Time now) {
  if (end.end == RunEnd::kDone) {
    HandleSuccess(actions, target, end.run, now);
  } else if (end.end == RunEnd::kFailed) {
    TaskId counted = end.run.task;
    if (job != nullptr && counted.step < job->spec.steps.size() &&
        job->spec.steps[counted.step].gang) {
      counted.index = 0;
    }
    const Task* task =
        job == nullptr || job->Ended() ? nullptr : FindTask(*job, counted);
    HandleFailure(cell, actions, target, end.run, task, now);
  }
}

/// Whether the duration of a run tells how fast its target is. Members of a
/// gang wait for each other, and a run that resumes is shorter.
bool ShowsSpeed(const Run& run, const StepSpec& spec, const Task& task) {
  return !spec.gang && !spec.service && !spec.fills && spec.data_rack.empty() &&
         task.checkpoint.empty() && !run.of_former_owner && !run.inherited;
}

/// Complete runs of a step on other targets.
struct Peers {
  std::vector<SpeedPeer> speeds;
  std::vector<StepRun> runs;
};

/// Returns the complete runs on the targets that come next in order of id, so
/// that a step of many tasks doesn't take long to compare.
Peers PeersOf(Cell& cell, const Step& step, const TargetId& target) {
  constexpr std::size_t kMaxPeers = 32;
  Peers peers;
  const auto own = step.run_times.upper_bound(target);
  const auto add = [&](auto next, auto end) {
    for (; next != end && peers.runs.size() < kMaxPeers; ++next) {
      const RunTimes& times = next->second;
      Target* other = next->first == target || times.complete == Millis(0)
                          ? nullptr
                          : FindTarget(cell, next->first);
      if (other != nullptr) {
        TargetSpeed& speed = other->health.speed;
        peers.speeds.push_back({&speed, times.complete});
        peers.runs.push_back(
            {LogTimeAtUsualSpeed(speed, times.complete), times.beside});
      }
    }
  };
  add(own, step.run_times.end());
  add(step.run_times.begin(), own);
  return peers;
}

/// Time that a run has had beside another one that is there now.
Millis SharedTime(const Run& run, const Run& other, Time now) {
  return now - std::max(BeganAt(run), BeganAt(other));
}

/// Notes the time of a run that ends for those beside it.
void NoteSharedTime(Target& target, const RunId& id, Time now) {
  /// Further kinds are too many to tell what each does.
  constexpr std::size_t kMaxBeside = 8;
  const auto ending = target.runs.find(id);
  if (ending == target.runs.end() || ending->second.kind == 0) {
    return;
  }
  const KindNumber kind = ending->second.kind;
  for (auto& [other_id, other] : target.runs) {
    if (other_id == id || other.kind == 0) {
      continue;
    }
    const Millis shared = SharedTime(ending->second, other, now);
    const auto known = std::ranges::find(other.beside, kind, &BesideTime::kind);
    if (known != other.beside.end()) {
      known->time += shared;
    } else if (other.beside.size() < kMaxBeside) {
      other.beside.push_back({kind, shared});
    }
  }
}

/// Returns the kinds that were beside a run for at least half of its time.
KindSet KindsBeside(const Target& target, const RunId& id, const Run& run,
                    Time now) {
  std::array<Millis, kMaxKinds> times{};
  for (const auto& [other_id, other] : target.runs) {
    if (other_id != id) {
      times[other.kind] =
          std::max(times[other.kind], SharedTime(run, other, now));
    }
  }
  for (const BesideTime& beside : run.beside) {
    times[beside.kind] += beside.time;
  }
  KindSet kinds = 0;
  for (std::size_t kind = 1; kind < kMaxKinds; ++kind) {
    kinds |=
        2 * times[kind] >= now - run.confirmed_at && times[kind] > Millis(0)
            ? SetOf(static_cast<KindNumber>(kind))
            : 0;
  }
  return kinds;
}

/// Records the duration of a complete run, to compare other runs with it.
void RecordRunTime(Cell& cell, Job& job, Target& target, const RunId& id,
                   const Task& task, Time now) {
  const auto found = target.runs.find(id);
  if (found == target.runs.end() || found->second.phase != RunPhase::kRunning) {
    return;
  }
  const Run& run = found->second;
  const Millis run_time = std::max(Millis(1), now - run.confirmed_at);
  Step& step = *FindStep(job, id.task.occurrence, id.task.step);
  RunTimes& times = step.run_times[target.entry.id];
  times.latest = run_time;
  if (!ShowsSpeed(run, job.spec.steps[id.task.step], task)) {
    return;
  }
  TargetSpeed& speed = target.health.speed;
  const Peers peers = PeersOf(cell, step, target.entry.id);
  times.complete = run_time;
  if (cell.options.interference) {
    times.beside = KindsBeside(target, id, run, now);
    Observe(cell.interference, run.kind,
            {LogTimeAtUsualSpeed(speed, run_time), times.beside}, peers.runs,
            id.task.job, run.team, now);
  }
  // The target isn't to blame for what is known to be beside the run.
  if ((cell.interference.apart[run.kind] & times.beside) == 0) {
    AddRunTime(speed, run_time, peers.speeds, now);
  }
}

}  // namespace

std::uint32_t FirstRunOf(const Cell& cell, const Job& job) {
  // A former owner may have started any task of a job that was taken over.
  return job.adopted
             ? std::max(FirstRunOf(cell.epoch), kTakeoverRunNumberGap + 1)
             : 1;
}

std::vector<TargetId> Unreported(const Cell& cell, Time now) {
  std::vector<TargetId> unreported;
  for (const auto& [id, expected] : cell.expected) {
    if (MayHaveUnknownRuns(cell, id, expected.until, now)) {
      unreported.push_back(id);
    }
  }
  return unreported;
}

std::string_view EndName(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kAlone:
      return "alone";
  }
  return "unknown";
}

void KeepCheckpoint(Actions& actions, Job& job, const RunId& id,
                    const Target& target, const std::string& checkpoint) {
  Task* task = FindTask(job, id.task);
  if (checkpoint.empty() || task == nullptr) {
    return;
  }
  if (checkpoint.size() <= kMaxCheckpointBytes) {
    const bool gang = job.spec.steps[id.task.step].gang;
    Step& step = *FindStep(job, id.task.occurrence, id.task.step);
    step.tasks.Get(gang ? 0 : id.task.index).checkpoint = checkpoint;
  } else if (task->checkpoint_refused != id.number) {
    task->checkpoint_refused = id.number;
    Note(actions, "checkpoint_too_long",
         {{"job", id.task.job},
          {"task", TaskName(id.task)},
          {"run", std::to_string(id.number)},
          {"target", target.entry.id},
          {"bytes", std::to_string(checkpoint.size())},
          {"max_bytes", std::to_string(kMaxCheckpointBytes)}});
  }
}

void RefreshStep(Cell& cell, Job& job, std::uint32_t occurrence,
                 std::uint32_t number) {
  const StepRef ref{job.spec.id, occurrence, number};
  const auto found = job.occurrences.find(occurrence);
  if (job.Ended() || found == job.occurrences.end()) {
    cell.ready.erase(ref);
    return;
  }
  Step& step = found->second.steps[number];
  const bool waits = step.ready && step.CountWaiting() > 0;
  const bool untouched = waits && step.tasks.CountUnstarted() > 0;
  if (untouched != step.untouched) {
    step.untouched = untouched;
    std::uint32_t& count = job.untouched[number];
    count = untouched ? count + 1 : count - 1;
  }
  if (waits) {
    cell.ready.insert(ref);
  } else {
    cell.ready.erase(ref);
  }
}

void RefreshReady(Cell& cell, Job& job, std::uint32_t number, Time now) {
  Occurrence& occurrence = job.occurrences.at(number);
  for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
    Step& step = occurrence.steps[i];
    const bool can_start =
        std::ranges::all_of(job.spec.steps[i].after, [&](std::uint32_t before) {
          return IsDone(occurrence, job.spec, before);
        });
    if (can_start && !step.ready) {
      step.ready = true;
      step.ready_at = now;
    }
    RefreshStep(cell, job, number, i);
  }
  cell.plan_due = true;
}

void HandleRunEnd(Cell& cell, Actions& actions, Target& target,
                  const EndReport& end, Time now) {
  Job* job = FindJob(cell, end.run.task.job);
  if (job != nullptr) {
    NoteBegun(cell, *job);
    OpenReported(cell, *job, end.run.task, now);
  }
  Task* task =
      job == nullptr || job->Ended() ? nullptr : FindTask(*job, end.run.task);
  UpdateHealth(cell, actions, target, end, job, now);
  Note(actions, "task_ended",
       {{"job", end.run.task.job},
        {"task", TaskName(end.run.task)},
        {"run", std::to_string(end.run.number)},
        {"target", target.entry.id},
        {"life", std::to_string(target.entry.life)},
        {"end", std::string(EndName(end.end))},
        {"sequence", std::to_string(end.sequence)}});
  if (task != nullptr && end.end == RunEnd::kDone) {
    RecordRunTime(cell, *job, target, end.run, *task, now);
  }
  NoteSharedTime(target, end.run, now);
  ReleaseRun(cell, target, end.run);
  if (task == nullptr) {
    return;
  }
  ReleaseSupersededRun(cell, *job, end.run);
  task->next_run = std::max(task->next_run, end.run.number + 1);
  const StepSpec& spec = job->spec.steps[end.run.task.step];
  KeepCheckpoint(actions, *job, end.run, target, end.checkpoint);
  if (end.end == RunEnd::kDone || end.end == RunEnd::kFailed) {
    ClearSuspicion(cell, actions, end.run, true, now);
  }
  if (end.end == RunEnd::kDone) {
    if (!spec.service) {
      TaskDone(cell, actions, *job, end.run.task, now);
    }
  } else if (end.end == RunEnd::kFailed) {
    TaskFailed(cell, actions, *job, end.run, target.entry.id, now);
  }
  cell.plan_due = true;
}

void CheckRecovery(Cell& cell, Actions& actions, Time now) {
  if (cell.recovered || !cell.loaded) {
    return;
  }
  const std::vector<TargetId> unreported = Unreported(cell, now);
  if (!unreported.empty()) {
    return;
  }
  cell.recovered = true;
  std::vector<TargetId> lapsed;
  for (const auto& [id, expected] : cell.expected) {
    const auto target = cell.targets.find(id);
    if (target == cell.targets.end() || !target->second.reported) {
      lapsed.push_back(id);
    }
  }
  // The stored list still allows for unreported runs of a former owner.
  cell.targets_dirty = true;
  cell.expected.clear();
  cell.ended_runs_dirty =
      cell.ended_runs_dirty || !cell.unknown.of_ended_jobs.empty();
  cell.unknown = {};
  Note(actions, "recovery_done",
       {{"epoch", std::to_string(cell.epoch)},
        {"unreported", std::to_string(lapsed.size())},
        {"first", lapsed.empty() ? std::string() : lapsed.front()},
        {"after_ms", std::to_string((now - cell.claimed_at).count())}});
  for (auto& [id, job] : cell.jobs) {
    if (!job.adopted || job.Ended()) {
      continue;
    }
    for (auto& [number, occurrence] : job.occurrences) {
      for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        Step& step = occurrence.steps[i];
        bool store = false;
        for (auto& [index, task] : step.tasks.Started()) {
          store = SkipFormerRuns(task, cell.epoch) || store;
        }
        if (store) {
          MarkChanged(cell, job, false, now);
        }
        // A gang of which only some members run can't continue.
        const bool partial = job.spec.steps[i].gang && step.live > 0 &&
                             step.live < step.tasks.Count();
        if (!partial) {
          continue;
        }
        for (const auto& [t, task] : step.tasks.Started()) {
          Target* target = task.phase == TaskPhase::kLive
                               ? FindTarget(cell, task.target)
                               : nullptr;
          if (target != nullptr) {
            StopRun(cell, actions, *target, {{id, number, i, t}, task.run},
                    "gang incomplete after takeover", now);
          }
        }
      }
    }
  }
  cell.plan_due = true;
}

}  // namespace buckthornmux::cell
