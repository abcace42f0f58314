#include "buckthornmux/detail/target/link_state.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/sched/policy.h"

namespace buckthornmux::target {
namespace {

using sched::Event;
using sched::ReportedTask;

/// Applies one listed task to the state.
void ApplyTask(LinkState& state, const ReportedTask& task, bool send_end,
               std::vector<Event>& events) {
  if (task.running) {
    state.running.insert_or_assign(task.id, task);
    return;
  }
  const auto known = state.running.find(task.id);
  const bool was_running =
      known != state.running.end() && known->second.attempt <= task.attempt;
  if (was_running) {
    state.running.erase(known);
  }
  if (send_end || was_running) {
    events.emplace_back(sched::TaskEnded{state.target, task.id, task.attempt,
                                         task.end, task.result});
  }
}

/// Removes the running tasks that a full answer does not list.
void RemoveUnlisted(LinkState& state, const std::vector<ReportedTask>& tasks) {
  std::erase_if(state.running, [&](const auto& known) {
    return std::ranges::none_of(tasks, [&](const ReportedTask& task) {
      return task.id == known.first;
    });
  });
}

sched::TargetReport MakeReport(const LinkState& state,
                               const RenewAnswer& answer) {
  sched::TargetReport report{state.target, {}, answer.used};
  if (answer.full) {
    report.tasks = answer.tasks;
    return report;
  }
  for (const auto& [id, task] : state.running) {
    report.tasks.push_back(task);
  }
  return report;
}

}  // namespace

std::vector<Event> OnRenewed(LinkState& state, const RenewAnswer& answer,
                             Time sent_at, Time now) {
  std::vector<Event> events;
  const bool health_changed =
      !state.reachable || state.leaving != answer.leaving;
  state.last_answer = now;
  state.reachable = true;
  state.leaving = answer.leaving;
  state.instance = answer.instance;
  state.after = answer.sequence;
  if (health_changed) {
    events.emplace_back(
        sched::TargetHealth{state.target, true, answer.leaving});
  }
  bool report_due = answer.full || !state.reported || !answer.tasks.empty();
  for (const ReportedTask& task : answer.tasks) {
    ApplyTask(state, task, !answer.full, events);
  }
  if (answer.full) {
    RemoveUnlisted(state, answer.tasks);
  }
  if (state.uncertain_until && sent_at > *state.uncertain_until) {
    state.uncertain_until.reset();
    report_due = true;
  }
  if (report_due || state.used != answer.used) {
    state.used = answer.used;
    state.reported = true;
    events.emplace_back(MakeReport(state, answer));
  }
  return events;
}

std::vector<Event> OnRenewFailed(LinkState& state, Millis unreachable_after,
                                 Time now) {
  if (!state.reachable || now - state.last_answer < unreachable_after) {
    return {};
  }
  state.reachable = false;
  state.after = 0;
  return {sched::TargetHealth{state.target, false, state.leaving}};
}

void OnStartUncertain(LinkState& state, Time start_by) {
  // The shard's owner trusts a report only if it arrives at least
  // `report_delay` after `start_by`.
  const Time conclusive_at = start_by + sched::Policy{}.report_delay;
  state.uncertain_until =
      std::max(state.uncertain_until.value_or(conclusive_at), conclusive_at);
}

}  // namespace buckthornmux::target
