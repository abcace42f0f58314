// Occurrences of jobs: when they begin, and which of them have objects. Those
// that wait alike are shelved as numbers, so that a job that is far behind
// needs no more memory, time and storage than one that is not.
#include <algorithm>
#include <string>

#include "buckthornmux/detail/core/invariant.h"
#include "src/cell/internal.h"

namespace buckthornmux::cell {
namespace {

/// Waiting occurrences with objects for each step of a recurring job; no more
/// are planned in one round.
constexpr std::uint64_t kMaxWindow = 150;
/// Steps in the windows of all jobs.
constexpr std::uint64_t kWindowSteps = 10'000;
/// Occurrences that get objects in one round, and jobs that are looked at.
constexpr std::size_t kMaxOpenedPerRound = 300;
constexpr std::size_t kMaxJobsPerRound = 100;
/// A former owner's clock may have been ahead by this.
constexpr Millis kClockTolerance{5000};

constexpr DoneSteps BitOf(std::size_t step) { return DoneSteps{1} << step; }

bool IsRecurring(const Job& job) { return job.spec.recurrence.count > 0; }

/// Returns how many occurrences are due by a time on the wall clock.
std::uint32_t CountDueAt(const Recurrence& recurrence, WallMillis wall) {
  if (wall < recurrence.first) {
    return 0;
  }
  const std::int64_t interval = recurrence.interval.count();
  if (interval <= 0) {
    return recurrence.count;
  }
  const std::int64_t due = (wall - recurrence.first) / interval + 1;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(due, recurrence.count));
}

std::uint32_t CountDue(const Cell& cell, const Job& job, Time now) {
  return CountDueAt(job.spec.recurrence, ToMs(now) + cell.wall_offset);
}

/// For each step, the steps that it follows.
std::vector<DoneSteps> PredecessorsOf(const JobSpec& spec) {
  std::vector<DoneSteps> before(spec.steps.size());
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    for (const std::uint32_t step : spec.steps[i].after) {
      before[i] |= BitOf(step);
    }
  }
  return before;
}

/// Steps that an occurrence may start once those in `done` are done.
DoneSteps ReadySteps(std::span<const DoneSteps> before, DoneSteps done) {
  DoneSteps ready = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if ((done & BitOf(i)) == 0 && (before[i] & ~done) == 0) {
      ready |= BitOf(i);
    }
  }
  return ready;
}

/// Steps of which fewer than `window` occurrences wait with objects.
DoneSteps WantedSteps(const Job& job, std::uint64_t window) {
  DoneSteps wanted = 0;
  for (std::size_t i = 0; i < job.untouched.size(); ++i) {
    wanted |= job.untouched[i] < window ? BitOf(i) : 0;
  }
  return wanted;
}

std::uint64_t WindowOf(const Cell& cell, const Job& job) {
  const std::uint64_t jobs = std::max<std::size_t>(1, cell.behind.size());
  return std::clamp<std::uint64_t>(
      kWindowSteps / (jobs * job.spec.steps.size()), 1, kMaxWindow);
}

/// Whether one more occurrence of a job may get objects.
bool MayOpen(const Cell& cell, const Job& job) {
  return job.occurrences.empty() ||
         cell.recurring_steps < cell.options.max_recurring_steps;
}

Occurrence& Open(Cell& cell, Job& job, std::uint32_t number, DoneSteps done) {
  const auto [found, added] =
      job.occurrences.emplace(number, MakeOccurrence(cell, job));
  Invariant(added, "occurrence_opened_once", job.spec.id);
  Occurrence& occurrence = found->second;
  for (std::size_t i = 0; done != 0 && i < occurrence.steps.size(); ++i) {
    if ((done & BitOf(i)) != 0) {
      Step& step = occurrence.steps[i];
      step.done = step.tasks.Count();
      step.tasks.MarkDone(0, step.tasks.Count() - 1);
      ++occurrence.steps_done;
    }
  }
  job.untouched.resize(job.spec.steps.size());
  if (IsRecurring(job)) {
    cell.recurring_steps += occurrence.steps.size();
  }
  return occurrence;
}

/// Puts occurrence numbers on a shelf, which may be a new one.
void Shelve(Cell& cell, Job& job, DoneSteps done, std::uint32_t first,
            std::uint32_t last) {
  job.shelved[done].Add(first, last);
  cell.behind.insert(job.spec.id);
}

void Unshelve(Job& job, DoneSteps done, std::uint32_t number) {
  const auto shelf = job.shelved.find(done);
  shelf->second.Remove(number);
  if (shelf->second.Empty()) {
    job.shelved.erase(shelf);
  }
}

/// The lowest waiting occurrence without objects that is due and has a step
/// that is wanted.
struct NextOccurrence {
  std::uint32_t number = 0;
  DoneSteps done = 0;
  bool begun = false;
};

std::optional<NextOccurrence> FindNext(const Job& job,
                                       std::span<const DoneSteps> before,
                                       std::uint32_t due, DoneSteps wanted) {
  std::optional<NextOccurrence> next;
  for (const auto& [done, numbers] : job.shelved) {
    const std::uint32_t number = numbers.First();
    if (number < due && (!next || number < next->number) &&
        (ReadySteps(before, done) & wanted) != 0) {
      next = {number, done, true};
    }
  }
  if (job.occurrences_begun < due &&
      (!next || job.occurrences_begun < next->number) &&
      (ReadySteps(before, 0) & wanted) != 0) {
    next = {job.occurrences_begun, 0, false};
  }
  return next;
}

/// Gives objects to the next occurrences of a job.
/// @return how many of at most `most`
std::size_t OpenNext(Cell& cell, Actions& actions, Job& job, std::size_t most,
                     Time now) {
  const std::vector<DoneSteps> before = PredecessorsOf(job.spec);
  const std::uint32_t due = CountDue(cell, job, now);
  const std::uint64_t window = WindowOf(cell, job);
  const std::uint32_t begun_before = job.occurrences_begun;
  job.untouched.resize(job.spec.steps.size());
  std::size_t opened = 0;
  while (opened < most && MayOpen(cell, job)) {
    const auto next = FindNext(job, before, due, WantedSteps(job, window));
    if (!next) {
      break;
    }
    if (next->begun) {
      Unshelve(job, next->done, next->number);
    } else {
      ++job.occurrences_begun;
    }
    Open(cell, job, next->number, next->done);
    RefreshReady(cell, job, next->number, now);
    ++opened;
  }
  if (job.occurrences_begun != begun_before) {
    MarkChanged(cell, job, false, now);
    Note(actions, "occurrences_begun",
         {{"job", job.spec.id},
          {"first", std::to_string(begun_before)},
          {"next", std::to_string(job.occurrences_begun)},
          {"due", std::to_string(due)},
          {"open", std::to_string(job.occurrences.size())},
          {"window", std::to_string(window)}});
  }
  return opened;
}

/// Steps that are done, if nothing else of an occurrence has been started.
std::optional<DoneSteps> IdleAfter(const Occurrence& occurrence) {
  DoneSteps done = 0;
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    const Step& step = occurrence.steps[i];
    if (step.done >= step.tasks.Count()) {
      done |= BitOf(i);
    } else if (!step.tasks.Unstarted() || step.live > 0) {
      return std::nullopt;
    }
  }
  return done;
}

/// Whether occurrences of a record have begun and are not known yet.
bool MayRestore(const Job& job, std::uint32_t first, std::uint32_t last) {
  const auto open = job.occurrences.lower_bound(first);
  return last < job.occurrences_begun &&
         (open == job.occurrences.end() || open->first > last) &&
         std::ranges::none_of(job.shelved, [&](const auto& shelf) {
           return shelf.second.Overlaps(first, last);
         });
}

}  // namespace

Occurrence MakeOccurrence(const Cell& cell, const Job& job) {
  Occurrence occurrence;
  occurrence.steps.reserve(job.spec.steps.size());
  for (const StepSpec& spec : job.spec.steps) {
    occurrence.steps.emplace_back().tasks =
        TaskTable(spec.count, FirstRunOf(cell, job));
  }
  return occurrence;
}

std::uint64_t CountNotBegun(const Cell& cell, const Job& job, Time now) {
  const std::uint32_t due = IsRecurring(job) ? CountDue(cell, job, now) : 0;
  return due - std::min(due, job.occurrences_begun);
}

std::uint64_t CountUnopened(const Cell& cell, const Job& job, Time now) {
  std::uint64_t count = 0;
  for (const auto& [done, numbers] : job.shelved) {
    count += numbers.Count();
  }
  return count + CountNotBegun(cell, job, now);
}

void BeginDue(Cell& cell, Job& job, Time now) {
  if (job.Ended()) {
    return;
  }
  if (IsRecurring(job)) {
    if (CountUnopened(cell, job, now) > 0 &&
        cell.behind.insert(job.spec.id).second) {
      cell.plan_due = true;
    }
  } else if (job.occurrences_begun == 0) {
    ++job.occurrences_begun;
    Open(cell, job, 0, 0);
    RefreshReady(cell, job, 0, now);
  }
}

void OpenDue(Cell& cell, Actions& actions, Time now) {
  std::size_t left = kMaxOpenedPerRound;
  const std::size_t jobs = std::min(cell.behind.size(), kMaxJobsPerRound);
  // Each job may open its part of the round, so that none waits for another.
  const std::size_t part = std::max<std::size_t>(
      1, kMaxOpenedPerRound / std::max<std::size_t>(1, jobs));
  for (std::size_t i = 0; i < jobs && left > 0; ++i) {
    auto next = cell.behind.upper_bound(cell.behind_last);
    if (next == cell.behind.end()) {
      next = cell.behind.begin();
    }
    cell.behind_last = *next;
    Job* job = FindJob(cell, *next);
    if (job == nullptr || job->Ended()) {
      cell.behind.erase(next);
      continue;
    }
    if (job->durable > 0) {
      left -= OpenNext(cell, actions, *job, std::min(left, part), now);
    }
    if (CountUnopened(cell, *job, now) == 0) {
      cell.behind.erase(job->spec.id);
    }
  }
}

void OpenReported(Cell& cell, Job& job, const TaskId& task, Time now) {
  const std::uint32_t number = task.occurrence;
  if (!IsRecurring(job) || job.Ended() || job.occurrences.contains(number) ||
      task.step >= job.spec.steps.size()) {
    return;
  }
  for (const auto& [done, numbers] : job.shelved) {
    if (!numbers.Contains(number)) {
      continue;
    }
    const DoneSteps of_shelf = done;
    if ((of_shelf & BitOf(task.step)) == 0) {
      Unshelve(job, of_shelf, number);
      Open(cell, job, number, of_shelf);
      RefreshReady(cell, job, number, now);
    }
    return;
  }
  const std::uint32_t begun = job.occurrences_begun;
  if (number < begun || number >= CountDue(cell, job, now + kClockTolerance)) {
    return;
  }
  if (number > begun) {
    Shelve(cell, job, 0, begun, number - 1);
  }
  job.occurrences_begun = number + 1;
  Open(cell, job, number, 0);
  RefreshReady(cell, job, number, now);
  MarkChanged(cell, job, false, now);
}

void RestoreOccurrence(Cell& cell, Job& job, std::uint32_t number,
                       Occurrence occurrence) {
  if (!MayRestore(job, number, number)) {
    return;
  }
  const auto idle =
      IsRecurring(job) ? IdleAfter(occurrence) : std::optional<DoneSteps>();
  if (idle) {
    Shelve(cell, job, *idle, number, number);
    return;
  }
  for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
    AccuseRestored(cell, {job.spec.id, number, i}, occurrence.steps[i]);
  }
  Open(cell, job, number, 0) = std::move(occurrence);
}

void RestoreShelf(Cell& cell, Job& job, DoneSteps done, std::uint32_t first,
                  std::uint32_t last) {
  if (IsRecurring(job) && MayRestore(job, first, last)) {
    Shelve(cell, job, done, first, last);
  }
}

void CloseOccurrence(Cell& cell, Job& job, std::uint32_t number) {
  const auto found = job.occurrences.find(number);
  for (std::uint32_t i = 0; i < found->second.steps.size(); ++i) {
    job.untouched[i] -= found->second.steps[i].untouched ? 1U : 0U;
    cell.ready.erase({job.spec.id, number, i});
  }
  if (IsRecurring(job)) {
    cell.recurring_steps -= found->second.steps.size();
  }
  job.occurrences.erase(found);
}

void CloseOccurrences(Cell& cell, Job& job) {
  while (!job.occurrences.empty()) {
    CloseOccurrence(cell, job, job.occurrences.begin()->first);
  }
  job.shelved.clear();
  cell.behind.erase(job.spec.id);
}

void ShelveIfIdle(Cell& cell, Job& job, std::uint32_t number) {
  const Occurrence& occurrence = job.occurrences.at(number);
  const auto done =
      IsRecurring(job) ? IdleAfter(occurrence) : std::optional<DoneSteps>();
  if (!done) {
    return;
  }
  const std::uint64_t window = WindowOf(cell, job);
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    if (occurrence.steps[i].untouched && job.untouched[i] <= window) {
      return;
    }
  }
  CloseOccurrence(cell, job, number);
  Shelve(cell, job, *done, number, number);
}

}  // namespace buckthornmux::cell
