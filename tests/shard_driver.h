/// Test driver for a shard's decisions: builds the configuration, feeds events
/// and keeps the actions of the last event.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched::testing {

inline constexpr Resources kTargetSize{8, 16'000, 32'000, 0};
inline constexpr Home kHome{3, 5};

inline TaskSpec MakeTask(const std::string& job, const std::string& team = "a",
                         WorkClass work_class = WorkClass::kPatient) {
  TaskSpec spec;
  spec.job = job;
  spec.team = team;
  spec.kind = work_class == WorkClass::kUrgent ? "preview" : "batch";
  spec.work_class = work_class;
  spec.idempotent = true;
  spec.demand = {1, 1000, 1000, 0};
  spec.expected_run = Millis(10'000);
  return spec;
}

class ShardDriver {
 public:
  explicit ShardDriver(std::size_t targets, Policy policy = {})
      : state(MakeShard("s0", policy, ClockAnchor{Time{}, 1'000'000})) {
    for (std::size_t i = 0; i < targets; ++i) {
      TargetSpec spec;
      spec.id = Target(i);
      spec.shard = "s0";
      spec.capacity = kTargetSize;
      config.targets.push_back(spec);
    }
    config.revision = 1;
    config.teams = {{"a", 0.5, 10'000}, {"b", 0.3, 10'000}, {"c", 0.2, 10'000}};
  }

  static std::string Target(std::size_t index) {
    return "t" + std::to_string(index);
  }

  void Feed(const Event& event) {
    actions = Apply(state, event, now);
    if (ledger_answers) {
      GrantAllWanted();
    }
  }

  /// Grants every team the slots that it requested.
  void GrantAllWanted() {
    for (const RequestGrant& want : All<RequestGrant>()) {
      for (Action& action :
           Apply(state, GrantChanged{want.team, want.slots}, now)) {
        actions.push_back(std::move(action));
      }
    }
  }

  void Advance(Millis by) {
    now += by;
    Feed(Tick{});
  }

  void TakeOver(Epoch epoch) {
    Feed(OwnershipChanged{epoch, true});
    for (const config::Team& team : config.teams) {
      Feed(GrantChanged{team.name, grant});
    }
  }

  /// Makes the shard ready to start work: configuration, ownership, grants and
  /// a report of each target.
  void Ready() {
    Feed(ConfigInForce{&config});
    TakeOver(1);
    ReportAllEmpty();
  }

  void ReportAllEmpty() {
    for (const TargetSpec& target : config.targets) {
      Feed(TargetReport{target.id, {}, {}});
    }
  }

  void Ask(const TaskSpec& spec) { Feed(Enqueue{kHome, {spec}}); }

  void Accept(const Start& start) {
    Feed(StartAnswered{start.target, start.task.Id(), start.task.attempt, true,
                       false, ErrorKind::kInternal});
  }

  void Finish(const Start& start, TaskEnd end = TaskEnd::kDone) {
    Feed(TaskEnded{start.target, start.task.Id(), start.task.attempt, end, {}});
  }

  /// Requests a task and lets its target accept the start.
  Start Run(const TaskSpec& spec) {
    Ask(spec);
    Start start = Only<Start>();
    Accept(start);
    return start;
  }

  template <class T>
  [[nodiscard]] std::vector<T> All() const {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const T* const one = std::get_if<T>(&action)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  /// The only action of a type; a default-constructed one if there is none or
  /// more than one.
  template <class T>
  [[nodiscard]] T Only() const {
    const std::vector<T> found = All<T>();
    return found.size() == 1 ? found.front() : T{};
  }

  [[nodiscard]] ReportedTask Running(const Start& start) const {
    ReportedTask task;
    task.id = start.task.Id();
    task.attempt = start.task.attempt;
    task.epoch = start.epoch;
    task.running = true;
    task.spec = start.task;
    task.home = start.home;
    return task;
  }

  config::Config config;
  ShardState state;
  std::int64_t grant = 10'000;
  bool ledger_answers = false;
  Time now{Millis(1'000'000)};
  std::vector<Action> actions;
};

}  // namespace buckthornmux::sched::testing
