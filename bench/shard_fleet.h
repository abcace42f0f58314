/// Targets that do as they are told, in simulated time, to measure a shard's
/// policy on generated arrivals.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::bench {

inline constexpr sched::Home kBenchHome{1, 1};

/// One shard with its targets.
class ShardFleet {
 public:
  using OnStarted = std::function<void(const sched::Started&, Time)>;
  using OnEnded = std::function<void(const sched::Ended&, Time)>;

  ShardFleet(sched::Policy policy, config::Config config)
      : m_config(std::move(config)),
        m_state(sched::MakeShard("s0", policy, ClockAnchor{Time{}, 0})) {
    Feed(sched::ConfigInForce{&m_config});
    Feed(sched::OwnershipChanged{1, true});
    for (const config::Team& team : m_config.teams) {
      Feed(sched::GrantChanged{team.name, team.limit});
    }
    for (const TargetSpec& target : m_config.targets) {
      Feed(sched::TargetReport{target.id, {}, {}});
    }
  }

  /// Asks for a task that truly runs for `run`.
  void Ask(const TaskSpec& spec, Millis run) {
    m_runs[spec.Id()] = run;
    Feed(sched::Enqueue{kBenchHome, {spec}});
  }

  /// Runs simulated time on, up to `until`.
  void RunTo(Time until) {
    while (!m_events.empty() && m_events.top().at <= until) {
      const Due due = m_events.top();
      m_events.pop();
      m_now = due.at;
      Feed(due.event);
    }
    m_now = until;
  }

  [[nodiscard]] Time Now() const { return m_now; }
  [[nodiscard]] const sched::ShardState& State() const { return m_state; }

  OnStarted on_started;
  OnEnded on_ended;
  std::size_t preempted = 0;

 private:
  struct Due {
    Time at;
    std::uint64_t order = 0;
    sched::Event event;
    bool operator<(const Due& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  static constexpr Millis kStopTakes{50};
  static constexpr Millis kLedgerTakes{5};

  void Later(Millis by, sched::Event event) {
    m_events.push({m_now + by, ++m_order, std::move(event)});
  }

  void Feed(const sched::Event& event) {
    for (const sched::Action& action : sched::Apply(m_state, event, m_now)) {
      Take(action);
    }
  }

  void Take(const sched::Action& action) {
    if (const auto* start = std::get_if<sched::Start>(&action)) {
      const std::string id = start->task.Id();
      const std::uint32_t attempt = start->task.attempt;
      Later(Millis(0), sched::StartAnswered{start->target, id, attempt, true,
                                            false, ErrorKind::kInternal});
      Later(m_runs[id],
            sched::TaskEnded{start->target, id, attempt, TaskEnd::kDone, {}});
    } else if (const auto* stop = std::get_if<sched::Stop>(&action)) {
      ++preempted;  // All of its work is lost: no checkpoint is assumed.
      Later(kStopTakes, sched::TaskEnded{stop->target,
                                         stop->task_id,
                                         stop->attempt,
                                         TaskEnd::kCancelled,
                                         {}});
    } else if (const auto* want = std::get_if<sched::RequestGrant>(&action)) {
      Later(kLedgerTakes, sched::GrantChanged{want->team, want->slots});
    } else if (const auto* wake = std::get_if<sched::Wake>(&action)) {
      m_events.push({wake->at, ++m_order, sched::Tick{}});
    } else if (const auto* started = std::get_if<sched::Started>(&action)) {
      if (on_started) on_started(*started, m_now);
    } else if (const auto* ended = std::get_if<sched::Ended>(&action)) {
      if (on_ended) on_ended(*ended, m_now);
    }
  }

  config::Config m_config;
  sched::ShardState m_state;
  Time m_now{};
  std::uint64_t m_order = 0;
  std::priority_queue<Due> m_events;
  std::unordered_map<std::string, Millis> m_runs;
};

}  // namespace buckthornmux::bench
