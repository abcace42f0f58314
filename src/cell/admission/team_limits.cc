#include "src/cell/admission/team_limits.h"

#include <algorithm>
#include <limits>
#include <span>
#include <utility>

#include "src/cell/runs/verdicts.h"

namespace buckthornmux::cell {
namespace {

/// Minimum interval between two log lines about the limit of one team.
constexpr Millis kLimitLogInterval{1000};

bool IsWithin(const Resources& used, const Resources& most) {
  const auto within = [](std::int64_t value, std::int64_t limit) {
    return limit == 0 || value <= limit;
  };
  return within(used.cpu_milli, most.cpu_milli) &&
         within(used.memory_mb, most.memory_mb) &&
         within(used.accelerators, most.accelerators);
}

/// Whether a team may exceed its limit by one task that is larger than it: only
/// while the team uses less than half of the limit of each resource that the
/// task exceeds. Work that uses more is within its right, and ends.
bool MayExceed(const Resources& used, const Resources& task,
               const Resources& most) {
  const auto allows = [](std::int64_t in_use, std::int64_t demand,
                         std::int64_t limit) {
    return limit == 0 || in_use + demand <= limit ||
           (demand > limit && in_use < limit - limit / 2);
  };
  return allows(used.cpu_milli, task.cpu_milli, most.cpu_milli) &&
         allows(used.memory_mb, task.memory_mb, most.memory_mb) &&
         allows(used.accelerators, task.accelerators, most.accelerators);
}

/// Formats resources for log lines as CPU/memory/accelerators.
std::string Text(const Resources& resources) {
  return std::to_string(resources.cpu_milli) + '/' +
         std::to_string(resources.memory_mb) + '/' +
         std::to_string(resources.accelerators);
}

/// More than any cell has of a resource. Sums and products stay below it, so
/// that they don't overflow.
constexpr std::int64_t kPlenty = std::int64_t{1} << 60;

std::int64_t SumOf(std::int64_t left, std::int64_t right) {
  return std::min(kPlenty, left + right);
}

std::int64_t Product(std::int64_t left, std::int64_t right) {
  return right > 0 && left > kPlenty / right ? kPlenty : left * right;
}

/// Resources of several equal tasks.
Resources Times(const Resources& one, std::int64_t count) {
  return {Product(one.slots, count), Product(one.cpu_milli, count),
          Product(one.memory_mb, count), Product(one.accelerators, count)};
}

void Add(Resources& sum, const Resources& more) {
  sum = {SumOf(sum.slots, more.slots), SumOf(sum.cpu_milli, more.cpu_milli),
         SumOf(sum.memory_mb, more.memory_mb),
         SumOf(sum.accelerators, more.accelerators)};
}

Resources LargerOf(const Resources& left, const Resources& right) {
  return {std::max(left.slots, right.slots),
          std::max(left.cpu_milli, right.cpu_milli),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

/// Adds what the tasks of an occurrence may have running that no report has
/// shown: a waiting task may have one run. A step runs only after those that it
/// follows, so that of steps in a row the largest counts.
/// @param waiting number of waiting tasks of each step, in all occurrences that
///   are in the same state
void AddOpenDemand(const JobSpec& spec, std::span<const std::int64_t> waiting,
                   OpenDemand& demand) {
  std::vector<OpenDemand> rows;
  std::vector<std::optional<std::size_t>> row_ending_at(spec.steps.size());
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    const Resources most = Times(step.demand, waiting[i]);
    std::optional<std::size_t> row;
    for (const std::uint32_t before : step.after) {
      if (before < i && row_ending_at[before] && !row) {
        row = std::exchange(row_ending_at[before], std::nullopt);
      }
    }
    if (!row) {
      row = rows.size();
      rows.emplace_back();
    }
    row_ending_at[i] = row;
    OpenDemand& of_row = rows[*row];
    of_row.all = LargerOf(of_row.all, most);
    if (step.fills) {
      of_row.filling_cpu = std::max(of_row.filling_cpu, most.cpu_milli);
    }
  }
  for (const OpenDemand& row : rows) {
    Add(demand.all, row.all);
    demand.filling_cpu = SumOf(demand.filling_cpu, row.filling_cpu);
  }
}

/// Calls `add` with the number of waiting tasks of each step, for each state
/// that open occurrences of a job are in.
template <class Add>
void ForEachState(const Cell& cell, const Job& job, Time now, const Add& add) {
  const std::vector<StepSpec>& steps = job.spec.steps;
  std::vector<std::int64_t> waiting(steps.size());
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < steps.size(); ++i) {
      waiting[i] = occurrence.steps[i].CountWaiting();
    }
    add(waiting);
  }
  const auto add_alike = [&](DoneSteps done, std::uint64_t count) {
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const bool is_done = ((done >> i) & 1U) != 0;
      waiting[i] =
          is_done ? 0
                  : Product(steps[i].count, static_cast<std::int64_t>(count));
    }
    add(waiting);
  };
  for (const auto& [done, numbers] : job.shelved) {
    add_alike(done, numbers.Count());
  }
  if (job.occurrences_begun < job.spec.recurrence.count) {
    // By the clock of a former owner, one more may have been due.
    add_alike(0, CountNotBegun(cell, job, now) + 1);
  }
}

std::map<TeamName, OpenDemand> DemandOfFormerRuns(const Cell& cell, Time now) {
  std::map<TeamName, OpenDemand> demands;
  for (const auto& [id, job] : cell.jobs) {
    if (!job.adopted || job.Ended()) {
      continue;
    }
    OpenDemand& demand = demands[job.spec.team];
    const JobSpec& spec = job.spec;
    ForEachState(cell, job, now, [&](std::span<const std::int64_t> waiting) {
      AddOpenDemand(spec, waiting, demand);
    });
  }
  for (const auto& [step, runs] : cell.unknown.of_ended_jobs) {
    const Job* job = FindJob(cell, step.first);
    if (job != nullptr && job->Ended()) {
      const Resources charged = Times(runs.charged, runs.count);
      OpenDemand& demand = demands[job->spec.team];
      Add(demand.all, charged);
      // They may fill.
      demand.filling_cpu = SumOf(demand.filling_cpu, charged.cpu_milli);
    }
  }
  return demands;
}

/// Returns the largest capacity of any target, as far as it is stored.
Resources LargestRoom(const Cell& cell) {
  Resources largest;
  for (const auto& [service, rooms] : cell.largest) {
    for (const Resources& room : rooms) {
      largest = LargerOf(largest, room);
    }
  }
  return largest;
}

/// Returns the total room of the targets that may have unknown runs. Rooms may
/// have shrunk below what runs, so that the largest one known counts.
std::optional<Resources> RoomOfUnreported(const Cell& cell, Time now) {
  const Resources largest = LargestRoom(cell);
  Resources total;
  for (const TargetId& id : Unreported(cell, now)) {
    const auto target = cell.targets.find(id);
    if (target == cell.targets.end() && cell.largest.empty()) {
      return std::nullopt;
    }
    total += target == cell.targets.end()
                 ? largest
                 : LargerOf(largest, target->second.largest);
  }
  return total;
}

/// Returns an upper bound on the unknown runs of a team.
Resources UnknownOf(const Cell& cell, const TeamName& team) {
  const auto found = cell.unknown.of_jobs.find(team);
  if (found == cell.unknown.of_jobs.end()) {
    return {};
  }
  Resources most = found->second.all;
  if (const auto& rooms = cell.unknown.of_targets) {
    most.cpu_milli =
        std::min(most.cpu_milli, rooms->cpu_milli + found->second.filling_cpu);
    most.memory_mb = std::min(most.memory_mb, rooms->memory_mb);
    most.accelerators = std::min(most.accelerators, rooms->accelerators);
  }
  return most;
}

std::string_view HoldsBack(std::optional<bool> by_unknown) {
  return !by_unknown ? "no" : *by_unknown ? "unknown runs" : "known runs";
}

}  // namespace

void CountUnknownRuns(Cell& cell, Time now) {
  // Only falls meanwhile: tasks become known, and those of adopted jobs don't
  // start before the recovery is over.
  constexpr Millis kCountInterval{100};
  UnknownRuns& unknown = cell.unknown;
  if (cell.recovered) {
    return;
  }
  if (now - unknown.jobs_counted_at >= kCountInterval) {
    unknown.of_jobs = DemandOfFormerRuns(cell, now);
    unknown.jobs_counted_at = now;
  }
  unknown.of_targets = RoomOfUnreported(cell, now);
}

void KeepUnknownRuns(Cell& cell, const Job& job, Time now) {
  if (cell.recovered || !job.adopted) {
    return;
  }
  ForEachState(cell, job, now, [&](std::span<const std::int64_t> waiting) {
    for (std::uint32_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i] == 0) {
        continue;
      }
      EndedRuns& runs = cell.unknown.of_ended_jobs[{job.spec.id, i}];
      constexpr std::int64_t kMaxCount =
          std::numeric_limits<std::uint32_t>::max();
      runs = {static_cast<std::uint32_t>(
                  std::min(kMaxCount, SumOf(runs.count, waiting[i]))),
              job.spec.steps[i].demand};
      cell.ended_runs_dirty = true;
    }
  });
}

Run MakeFormerRun(Cell& cell, const Target& target, const RunId& id, Time now) {
  const Job* job = FindJob(std::as_const(cell), id.task.job);
  Run run;
  if (job != nullptr && id.task.step < job->spec.steps.size()) {
    run = MakeRun(*job, id.task.step, now);
  } else {
    run.phase = RunPhase::kRunning;
    run.demand_unknown = true;
    run.charged = LargerOf(LargestRoom(cell), target.largest);
    run.team_unknown = job == nullptr;
    run.team = job == nullptr ? TeamName() : job->spec.team;
  }
  EndedRunsBySteps& former = cell.unknown.of_ended_jobs;
  const auto stored = former.find({id.task.job, id.task.step});
  if (stored != former.end()) {
    run.charged = stored->second.charged;
    if (--stored->second.count == 0) {
      former.erase(stored);
    }
    cell.ended_runs_dirty = true;
  }
  return run;
}

TeamCount CountOf(const Cell& cell, const TeamName& team) {
  Resources known = cell.unattributed;
  if (const auto usage = cell.usage.find(team); usage != cell.usage.end()) {
    known += usage->second.used;
  }
  return {known, UnknownOf(cell, team)};
}

Resources RoomOfTeam(const Cell& cell, const TeamName& name) {
  const auto team = cell.teams.find(name);
  if (team == cell.teams.end()) {
    return {kPlenty, kPlenty, kPlenty, kPlenty};
  }
  const TeamCount count = CountOf(cell, name);
  const auto left = [](std::int64_t most, std::int64_t known,
                       std::int64_t unknown) {
    return most == 0 ? kPlenty : most - known - unknown;
  };
  const Resources& most = team->second.maximum;
  return {kPlenty,
          left(most.cpu_milli, count.known.cpu_milli, count.unknown.cpu_milli),
          left(most.memory_mb, count.known.memory_mb, count.unknown.memory_mb),
          left(most.accelerators, count.known.accelerators,
               count.unknown.accelerators)};
}

bool KnownRunsAllow(const Cell& cell, const TeamName& name,
                    const Resources& more) {
  const auto team = cell.teams.find(name);
  if (team == cell.teams.end()) {
    return true;  // Queues open to all have no team limit.
  }
  Resources used = CountOf(cell, name).known;
  used += more;
  return IsWithin(used, team->second.maximum);
}

bool TeamAllows(const Cell& cell, const TeamName& team, const Resources& more) {
  Resources with_unknown = CountOf(cell, team).unknown;
  with_unknown += more;
  return KnownRunsAllow(cell, team, with_unknown);
}

bool TeamAllowsTask(const Cell& cell, const TeamName& name,
                    const Resources& task) {
  if (TeamAllows(cell, name, task)) {
    return true;
  }
  const auto team = cell.teams.find(name);
  if (team == cell.teams.end() || IsWithin(task, team->second.maximum)) {
    return false;
  }
  const TeamCount count = CountOf(cell, name);
  Resources used = count.known;
  used += count.unknown;
  return MayExceed(used, task, team->second.maximum);
}

bool TeamAllowsRun(const Cell& cell, const Run& run) {
  if (TeamAllows(cell, run.team, {})) {
    return true;
  }
  const auto team = cell.teams.find(run.team);
  if (run.team_unknown || team == cell.teams.end()) {
    return false;
  }
  const TeamCount count = CountOf(cell, run.team);
  Resources others = count.known;
  others += count.unknown;
  others -= run.charged;
  return !IsWithin(run.charged, team->second.maximum) &&
         MayExceed(others, run.charged, team->second.maximum);
}

void NoteLimits(Cell& cell, Actions& actions,
                const std::map<TeamName, bool>& limited, Time now) {
  for (const auto& [name, team] : cell.teams) {
    TeamUsage& usage = cell.usage[name];
    const auto found = limited.find(name);
    const std::optional<bool> by_unknown =
        found == limited.end() ? std::nullopt : std::optional(found->second);
    if (by_unknown == usage.limited_logged ||
        now < usage.limit_logged_at + kLimitLogInterval) {
      continue;
    }
    usage.limited_logged = by_unknown;
    usage.limit_logged_at = now;
    const TeamCount count = CountOf(cell, name);
    Note(actions, "team_limit",
         {{"team", name},
          {"held_back_by", std::string(HoldsBack(by_unknown))},
          {"known", Text(count.known)},
          {"unknown", Text(count.unknown)},
          {"limit", Text(team.maximum)}});
  }
}

}  // namespace buckthornmux::cell
