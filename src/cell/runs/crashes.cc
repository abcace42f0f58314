// Crashes of targets: which tasks are suspected, on probation, cleared or given
// up.
#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "src/cell/internal.h"

namespace buckthornmux::cell {
namespace {

/// A task is given up after this many crashes soon after its start, the last of
/// them without tasks of other jobs that could have caused it.
constexpr std::ptrdiff_t kMaxFreshCrashes = 2;
/// Crashes of any kind after which a task is suspected, and given up if one
/// more happens with no other task on the target.
constexpr std::size_t kMaxCrashes = 2;
/// The same if no start of the task was answered before the crash.
constexpr std::size_t kMaxUnconfirmedCrashes = 5;

bool IsFresh(const TaskCrash& crash) { return crash.fresh && !crash.outlived; }

bool IsCertain(const TaskCrash& crash) {
  return IsFresh(crash) && crash.confirmed;
}

/// Number of crashes for which a task is suspected.
std::size_t CountOpen(const Task& task) {
  return static_cast<std::size_t>(
      std::ranges::count(task.crashes, false, &TaskCrash::outlived));
}

bool BeganWithin(Millis window, const Run& run, Time crashed_at) {
  return !run.of_former_owner && crashed_at - BeganAt(run) < window;
}

std::string Describe(const std::vector<TaskCrash>& crashes) {
  std::string text;
  for (const TaskCrash& crash : crashes) {
    text += (text.empty() ? "" : ", ") + crash.target + " (life " +
            std::to_string(crash.life) + ", run " + std::to_string(crash.run) +
            ")";
  }
  return text;
}

std::size_t CountConfirmed(const Task& task) {
  return static_cast<std::size_t>(
      std::ranges::count_if(task.crashes, [](const TaskCrash& crash) {
        return crash.confirmed && !crash.outlived;
      }));
}

/// Whether a task's crashes leave no doubt, if nothing else explains the last.
bool IsGuilty(const Task& task) {
  return (IsCertain(task.crashes.back()) &&
          std::ranges::count_if(task.crashes, IsCertain) >= kMaxFreshCrashes) ||
         CountConfirmed(task) > kMaxCrashes ||
         CountOpen(task) >= kMaxUnconfirmedCrashes;
}

bool IsSameProcess(const TaskCrash& left, const TaskCrash& right) {
  return left.target == right.target && left.life == right.life;
}

/// Clears the tasks of other jobs of the crashes that a guilty one explains.
void ClearBystanders(Cell& cell, Actions& actions,
                     std::span<const TaskCrash> explained, Time now) {
  const auto is_explained = [&](const TaskCrash& crash) {
    return std::ranges::any_of(explained, [&](const TaskCrash& other) {
      return IsSameProcess(other, crash);
    });
  };
  for (auto& [id, job] : cell.jobs) {
    if (job.Ended()) {
      continue;
    }
    bool cleared = false;
    for (auto& [number, occurrence] : job.occurrences) {
      for (Step& step : occurrence.steps) {
        for (auto& [index, task] : step.tasks.Started()) {
          cleared = std::erase_if(task.crashes, is_explained) > 0 || cleared;
        }
      }
    }
    if (cleared) {
      MarkChanged(cell, job, false, now);
      Note(actions, "bystander_cleared", {{"job", id}});
    }
  }
  cell.plan_due = true;
}

/// Which of a task's crashes other jobs may have caused: their tasks were on
/// the target too, and no run of them has ended without a crash since.
struct SharedCrashes {
  std::vector<bool> any;       ///< For each crash: any other job may have.
  bool latest_by_one = false;  ///< One other job may have caused the last ones.
};

SharedCrashes FindShared(const Cell& cell, const JobId& job,
                         std::span<const TaskCrash> crashes) {
  constexpr std::size_t kLatest = 3;
  SharedCrashes shared{std::vector<bool>(crashes.size())};
  std::set<std::size_t> latest;
  const auto add = [&](const TaskCrash& other) {
    for (std::size_t i = 0; i < crashes.size(); ++i) {
      if (IsSameProcess(crashes[i], other)) {
        shared.any[i] = true;
        if (i + kLatest >= crashes.size()) {
          latest.insert(i);
        }
      }
    }
  };
  std::ranges::for_each(cell.explained_crashes, add);
  for (const auto& [id, other] : cell.jobs) {
    if (other.Ended() || id == job) {
      continue;
    }
    latest.clear();
    for (const auto& [number, occurrence] : other.occurrences) {
      for (const Step& step : occurrence.steps) {
        for (const auto& [index, task] : step.tasks.Started()) {
          std::ranges::for_each(task.crashes, add);
        }
      }
    }
    shared.latest_by_one = shared.latest_by_one || latest.size() == kLatest;
  }
  return shared;
}

/// Whether a task's crashes leave no doubt, given the jobs that were beside it.
/// After so many crashes that the limit of starts is near, it is enough that no
/// other job explains all of the latest ones.
bool IsGuiltyByHistory(const Cell& cell, const JobId& job, const Task& task) {
  const std::size_t confirmed = CountConfirmed(task);
  if (confirmed <= kMaxCrashes) {
    return false;
  }
  std::vector<TaskCrash> crashes;
  std::ranges::remove_copy(task.crashes, std::back_inserter(crashes), true,
                           &TaskCrash::outlived);
  const SharedCrashes shared = FindShared(cell, job, crashes);
  const auto alone =
      static_cast<std::size_t>(std::ranges::count(shared.any, false));
  return !shared.any.back() || alone > kMaxCrashes ||
         (CountOpen(task) >= kMaxUnconfirmedCrashes && !shared.latest_by_one);
}

void LimitExplained(Cell& cell) {
  constexpr std::size_t kMostExplained = 500;
  while (cell.explained_crashes.size() > kMostExplained) {
    cell.explained_crashes.pop_front();
  }
}

/// Notes that the crashes of a job's tasks need no other cause.
void NoteExplained(Cell& cell, const Job& job) {
  std::deque<TaskCrash>& explained = cell.explained_crashes;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const Step& step : occurrence.steps) {
      for (const auto& [index, task] : step.tasks.Started()) {
        explained.insert(explained.end(), task.crashes.begin(),
                         task.crashes.end());
      }
    }
  }
  LimitExplained(cell);
}

/// Whether a job has failed, maybe since one of its tasks crashes targets. Its
/// runs may not have stopped yet.
bool HasFailed(const Cell& cell, const JobId& id) {
  const Job* job = FindJob(cell, id);
  return job != nullptr && job->phase == JobPhase::kFailed;
}

/// Ends the job of a task that crashes its targets.
void GiveUp(Cell& cell, Actions& actions, Job& job, const TaskId& id,
            const Task& task, Time now) {
  const std::vector<TaskCrash> explained = task.crashes;
  NoteExplained(cell, job);
  EndJob(cell, actions, job, JobPhase::kFailed,
         "task " + TaskName(id) + " crashed " + Describe(task.crashes), now);
  ClearBystanders(cell, actions, explained, now);
}

/// Bounds the memory and the record of a task's crashes; outlived ones go
/// first.
void LimitCrashes(Task& task) {
  constexpr std::size_t kMaxKeptCrashes = 16;
  while (task.crashes.size() > kMaxKeptCrashes) {
    const auto outlived =
        std::ranges::find(task.crashes, true, &TaskCrash::outlived);
    task.crashes.erase(outlived == task.crashes.end() ? task.crashes.begin()
                                                      : outlived);
  }
}

void RecordCrash(Cell& cell, Actions& actions, const Target& target,
                 const RunId& id, bool fresh, bool alone, Time now) {
  Job* job = FindJob(cell, id.task.job);
  Task* task =
      job == nullptr || job->Ended() ? nullptr : FindTask(*job, id.task);
  if (task == nullptr ||
      std::ranges::count(task->crashes, id.number, &TaskCrash::run) > 0) {
    return;
  }
  const Run& run = target.runs.at(id);
  const bool confirmed =
      !run.inherited && (run.listed || run.confirmed_at != Time());
  task->lived = std::max(task->lived, now - BeganAt(run));
  task->crashes.push_back(
      {id.number, target.entry.id, target.entry.life, fresh, confirmed});
  LimitCrashes(*task);
  MarkChanged(cell, *job, IsSuspect(*task), now);
  if (!IsSuspect(*task)) {
    return;
  }
  task->crash_version = job->version;
  Note(actions, "task_suspected",
       {{"job", id.task.job},
        {"task", TaskName(id.task)},
        {"run", std::to_string(id.number)},
        {"target", target.entry.id},
        {"life", std::to_string(target.entry.life)},
        {"fresh", fresh ? "true" : "false"},
        {"alone", alone ? "true" : "false"},
        {"crashes", std::to_string(task->crashes.size())}});
  if (task->crashes.size() > kMaxCrashes) {
    cell.accused.insert(id.task);
  }
}

/// Notes which of several repeated suspects on a target began first.
void NoteFirst(Cell& cell, const Target& target, std::span<const RunId> runs) {
  std::vector<std::pair<Time, Task*>> suspects;
  for (const RunId& id : runs) {
    Job* job = FindJob(cell, id.task.job);
    Task* task =
        job == nullptr || job->Ended() ? nullptr : FindTask(*job, id.task);
    if (task != nullptr && IsRepeatedSuspect(*task)) {
      task->yields = false;
      suspects.emplace_back(BeganAt(target.runs.at(id)), task);
    }
  }
  if (suspects.size() > 1) {
    const auto first = std::ranges::min_element(
        suspects, {}, [](const auto& entry) { return entry.first; });
    first->second->yields = true;
  }
}

/// Gives up a task whose crash leaves no doubt, as no other job had a task on
/// the target that could have caused it.
void JudgeAlone(Cell& cell, Actions& actions, const TaskId& id, Time now) {
  Job* job = FindJob(cell, id.job);
  const Task* task =
      job == nullptr || job->Ended() ? nullptr : FindTask(*job, id);
  if (task != nullptr && !task->crashes.empty() && IsGuilty(*task)) {
    GiveUp(cell, actions, *job, id, *task, now);
  }
}

}  // namespace

Time BeganAt(const Run& run) {
  return run.phase == RunPhase::kSent || run.confirmed_at == Time()
             ? run.sent
             : run.confirmed_at;
}

bool IsSuspect(const Task& task) {
  return IsRepeatedSuspect(task) || std::ranges::any_of(task.crashes, IsFresh);
}

bool IsRepeatedSuspect(const Task& task) {
  return task.crashes.size() >= kMaxCrashes && CountOpen(task) >= kMaxCrashes;
}

void HandleCrash(Cell& cell, Actions& actions, const Target& target,
                 Time crashed_at, std::span<const RunId> runs, Time now) {
  const auto fresh = [&](const RunId& id) {
    return BeganWithin(cell.options.crash_clearance, target.runs.at(id),
                       crashed_at);
  };
  const bool any_fresh = std::ranges::any_of(runs, fresh);
  std::set<JobId> possible;
  for (const auto& [id, run] : target.runs) {
    if (!any_fresh || BeganWithin(cell.options.crash_doubt, run, crashed_at)) {
      possible.insert(id.task.job);
    }
  }
  for (const auto& [id, run] : target.runs) {
    if (HasFailed(cell, id.task.job)) {
      cell.explained_crashes.push_back(
          {id.number, target.entry.id, target.entry.life, fresh(id), true});
    }
  }
  LimitExplained(cell);
  const auto alone = [&](const RunId& id) {
    return possible.size() == 1 && possible.contains(id.task.job);
  };
  for (const RunId& id : runs) {
    RecordCrash(cell, actions, target, id, fresh(id), alone(id), now);
  }
  NoteFirst(cell, target, runs);
  // Only now is it known of all tasks that they were there.
  for (const RunId& id : runs) {
    if (alone(id)) {
      JudgeAlone(cell, actions, id.task, now);
    }
  }
}

void AccuseRestored(Cell& cell, const StepRef& ref, const Step& step) {
  for (const auto& [index, task] : step.tasks.Started()) {
    if (task.crashes.size() > kMaxCrashes) {
      cell.accused.insert({ref.job, ref.occurrence, ref.step, index});
    }
  }
}

void JudgeAccused(Cell& cell, Actions& actions, Time now) {
  const std::set<TaskId> accused = cell.accused;
  for (const TaskId& id : accused) {
    Job* job = FindJob(cell, id.job);
    const Task* task =
        job == nullptr || job->Ended() ? nullptr : FindTask(*job, id);
    if (task == nullptr || task->crashes.size() <= kMaxCrashes) {
      cell.accused.erase(id);
    } else if (task->phase == TaskPhase::kWaiting &&
               IsGuiltyByHistory(cell, id.job, *task)) {
      cell.accused.erase(id);
      GiveUp(cell, actions, *job, id, *task, now);
    }
  }
}

void ClearSuspicion(Cell& cell, Actions& actions, const RunId& id,
                    bool of_all_crashes, Time now) {
  Job* job = FindJob(cell, id.task.job);
  Task* task = job == nullptr ? nullptr : FindTask(*job, id.task);
  if (task == nullptr || task->crashes.empty()) {
    return;
  }
  bool cleared = of_all_crashes;
  if (of_all_crashes) {
    task->crashes.clear();
  }
  for (TaskCrash& crash : task->crashes) {
    cleared = cleared || IsFresh(crash);
    crash.outlived = crash.outlived || crash.fresh;
  }
  if (!cleared) {
    return;
  }
  if (!job->Ended()) {
    MarkChanged(cell, *job, false, now);
  }
  Note(actions, "task_cleared",
       {{"job", id.task.job},
        {"task", TaskName(id.task)},
        {"run", std::to_string(id.number)},
        {"crashes", std::to_string(CountOpen(*task))}});
  cell.plan_due = true;
}

}  // namespace buckthornmux::cell
