#include "standins/verify.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "standins/json_http.h"

namespace buckthornmux::standins {
namespace {

constexpr WallMillis kForEver = std::numeric_limits<WallMillis>::max();

/// One run of a task at a target.
struct Interval {
  const TargetLine* start = nullptr;
  WallMillis end = kForEver;
};

/// A change of use at one time; what ends counts before what starts.
struct Step {
  WallMillis at = 0;
  bool starts = false;
  Resources demand;

  bool operator<(const Step& other) const {
    return std::pair(at, starts) < std::pair(other.at, other.starts);
  }
};

using Process = std::pair<TargetId, std::string>;

void Breach(Finding& finding, const std::string& example) {
  if (++finding.breaches == 1) {
    finding.example = example;
  }
}

/// Ends what a process left running: at its last line where it was followed by
/// another one or killed, never otherwise.
void CloseDead(const Evidence& evidence, std::vector<Interval>& intervals) {
  std::map<Process, WallMillis> last_line;
  std::map<TargetId, std::string> last_instance;
  for (const TargetLine& line : evidence.target_lines) {
    last_line[{line.target, line.instance}] = line.at;
    last_instance[line.target] = line.instance;
  }
  for (Interval& interval : intervals) {
    const TargetLine& start = *interval.start;
    const bool replaced = last_instance[start.target] != start.instance;
    const bool killed = std::ranges::find(evidence.killed, start.target) !=
                        evidence.killed.end();
    if (interval.end == kForEver && (replaced || killed)) {
      interval.end = last_line[{start.target, start.instance}];
    }
  }
}

std::vector<Interval> RunsOf(const Evidence& evidence) {
  std::vector<Interval> intervals;
  std::map<std::pair<Process, std::string>, std::size_t> open;
  for (const TargetLine& line : evidence.target_lines) {
    const std::pair key{Process{line.target, line.instance}, line.task};
    if (line.what == "start") {
      open[key] = intervals.size();
      intervals.push_back({&line});
    } else if (line.what != "refused") {
      const auto found = open.find(key);
      if (found != open.end()) {
        intervals[found->second].end = line.at;
        open.erase(found);
      }
    }
  }
  CloseDead(evidence, intervals);
  return intervals;
}

Finding AtMostOnce(const std::vector<Interval>& runs) {
  Finding finding{"at_most_once"};
  std::map<std::string, std::size_t> counts;
  for (const Interval& run : runs) {
    if (!run.start->idempotent) {
      ++counts[run.start->task];
    }
  }
  finding.checked = counts.size();
  for (const auto& [task, count] : counts) {
    if (count > 1) {
      Breach(finding, task + " ran " + std::to_string(count) + " times");
    }
  }
  return finding;
}

Finding NotRunIsTrue(const Evidence& evidence,
                     const std::vector<Interval>& runs) {
  Finding finding{"not_run_is_true"};
  std::set<std::pair<TeamName, std::string>> ran;
  for (const Interval& run : runs) {
    ran.emplace(run.start->team, run.start->job);
    ran.emplace("", run.start->job);  // A refusal does not name the team.
  }
  // A copy that has reached no host says nothing of another one that has.
  std::set<std::string> sent;
  for (const CallerLine& line : evidence.caller_lines) {
    if (line.ran != "unsent") {
      sent.insert(line.id);
    }
  }
  for (const CallerLine& line : evidence.caller_lines) {
    const bool unsent = line.ran == "unsent" && !sent.contains(line.id);
    if ((line.ran != "no" && !unsent) || line.answer == "done") {
      continue;
    }
    ++finding.checked;
    if (ran.contains({line.team, line.id})) {
      Breach(finding, line.team + "/" + line.id + " ran");
    }
  }
  return finding;
}

Finding NoOverlap(std::vector<Interval> runs) {
  Finding finding{"no_overlap"};
  finding.checked = runs.size();
  std::ranges::sort(runs, {}, [](const Interval& run) {
    return std::pair(run.start->task, run.start->at);
  });
  WallMillis busy_until = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const TargetLine& start = *runs[i].start;
    const bool same_task = i > 0 && runs[i - 1].start->task == start.task;
    if (same_task && start.at < busy_until) {
      Breach(finding, start.task + " at " + runs[i - 1].start->target +
                          " and " + start.target);
    }
    busy_until = same_task ? std::max(busy_until, runs[i].end) : runs[i].end;
  }
  return finding;
}

/// Largest excess over a limit: the first time at which the use does not fit.
void CheckUse(Finding& finding, std::vector<Step> steps, const Resources& limit,
              const std::string& name) {
  std::ranges::sort(steps, std::less<>());
  Resources used;
  for (const Step& step : steps) {
    if (!step.starts) {
      used -= step.demand;
      continue;
    }
    used += step.demand;
    ++finding.checked;
    if (!used.FitsIn(limit)) {
      Breach(finding, name + " uses " + std::to_string(used.slots) +
                          " slots at " + std::to_string(step.at));
    }
  }
}

template <class Key>
std::map<std::string, std::vector<Step>> StepsBy(
    const std::vector<Interval>& runs, Key key) {
  std::map<std::string, std::vector<Step>> steps;
  for (const Interval& run : runs) {
    auto& list = steps[key(*run.start)];
    list.push_back({run.start->at, true, run.start->demand});
    list.push_back({run.end, false, run.start->demand});
  }
  return steps;
}

Finding WithinCapacity(const Evidence& evidence,
                       const std::vector<Interval>& runs) {
  Finding finding{"within_capacity"};
  const auto by_target =
      StepsBy(runs, [](const TargetLine& line) { return line.target; });
  for (const auto& [target, steps] : by_target) {
    const auto capacity = evidence.capacity.find(target);
    if (capacity == evidence.capacity.end()) {
      Breach(finding, target + " is not in the inventory");
    } else {
      CheckUse(finding, steps, capacity->second, target);
    }
  }
  return finding;
}

Finding WithinTeamLimit(const Evidence& evidence,
                        const std::vector<Interval>& runs) {
  Finding finding{"within_team_limit"};
  constexpr std::int64_t kAny = std::numeric_limits<std::int64_t>::max();
  const auto by_team =
      StepsBy(runs, [](const TargetLine& line) { return line.team; });
  for (const auto& [team, steps] : by_team) {
    const auto limit = evidence.limits.find(team);
    if (limit == evidence.limits.end()) {
      Breach(finding, team + " is not in the rules");
    } else {
      CheckUse(finding, steps, {limit->second, kAny, kAny, kAny}, team);
    }
  }
  return finding;
}

Finding OwnAnswer(const Evidence& evidence) {
  Finding finding{"own_answer"};
  for (const CallerLine& line : evidence.caller_lines) {
    if (line.answer != "done") {
      continue;
    }
    ++finding.checked;
    const auto result = ParseObject(line.result);
    if (!result || StringAt(*result, "echo") != line.echo) {
      Breach(finding, line.id + " was answered " + line.result);
    }
  }
  return finding;
}

Finding PatientHasEnd(const Evidence& evidence) {
  Finding finding{"patient_has_end"};
  for (const CallerLine& line : evidence.caller_lines) {
    if (!line.patient || !line.accepted) {
      continue;
    }
    ++finding.checked;
    if (line.answer != "done" && line.answer != "error") {
      Breach(finding, line.id + " has no end");
    }
  }
  return finding;
}

}  // namespace

std::vector<Finding> Verify(const Evidence& evidence) {
  const std::vector<Interval> runs = RunsOf(evidence);
  return {AtMostOnce(runs),
          NotRunIsTrue(evidence, runs),
          NoOverlap(runs),
          WithinCapacity(evidence, runs),
          WithinTeamLimit(evidence, runs),
          OwnAnswer(evidence),
          PatientHasEnd(evidence)};
}

}  // namespace buckthornmux::standins
