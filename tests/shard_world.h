/// Simulated environment of one shard for randomised tests: targets with their
/// own state, takeovers, and messages that are lost, duplicated, late or out of
/// order. Invariants are checked against the state of the targets, not against
/// the shard's state.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "shard_driver.h"

namespace buckthornmux::sched::testing {

/// One random step of a test run.
struct SimulationStep {
  std::uint8_t kind = 0;
  std::uint32_t seed = 0;
};

/// Task id and attempt.
using TaskAttempt = std::pair<std::string, std::uint32_t>;

/// A run on a simulated target, which ends at `end_at`.
struct SimulatedRun {
  Start start;
  Time end_at;
};

struct SimulatedTarget {
  std::map<TaskAttempt, SimulatedRun> running;
  /// Ended tasks, kept for kEndedRetention.
  std::vector<std::pair<Time, ReportedTask>> ended;
  Epoch fence = 0;  ///< Starts of older epochs are refused.
  bool reachable = true;
  bool leaving = false;
  std::optional<std::pair<Time, TargetReport>> report;  ///< Report in flight.
};

/// A start in flight to a target.
struct PendingStart {
  Time arrives;
  Start start;
  bool answered = false;  ///< The link has answered with `may_run`.
};

class ShardWorld {
 public:
  explicit ShardWorld(Policy policy);

  /// Executes one random step; violated invariants are added to `breaches`.
  void Do(const SimulationStep& step);

  /// Ends the faults and lets all work finish; every task must be answered.
  void Settle();

  std::vector<std::string> breaches;  ///< Violated invariants.
  std::size_t runs = 0;               ///< Tasks started at targets.
  std::size_t answers = 0;

 private:
  void Feed(const Event& event);
  void Take(const Action& action);
  void CheckGangs();
  void CheckWorld();
  void AdvanceTime(Millis by);
  void DeliverStarts();
  void EndRuns();
  void SendReports();
  void Submit(std::uint32_t seed);
  void SubmitGang(std::uint32_t seed);
  void Resend(std::uint32_t seed);
  void CancelSome(std::uint32_t seed);
  void DeliverOne(std::uint32_t seed);
  void ChangeHealth(std::uint32_t seed);
  void RestartTarget(std::uint32_t seed);
  void TakeOver();
  void AfterTakeover(const Known& known);
  void ChangeGrant(std::uint32_t seed);
  void Breach(const std::string& what) { breaches.push_back(what); }
  [[nodiscard]] TaskSpec NewSpec(std::uint32_t seed);
  [[nodiscard]] bool RandomPercent(std::uint32_t percent);

  ShardDriver m_driver;
  std::map<TargetId, SimulatedTarget> m_targets;
  std::vector<PendingStart> m_starts;
  /// Events to the shard, delivered in any order.
  std::vector<Event> m_pending;
  /// Latest attempt of each task.
  std::map<std::string, TaskSpec> m_latest_specs;
  std::vector<TaskSpec> m_sent;  ///< Requests sent to the current owner.
  std::set<TaskAttempt> m_unanswered;
  /// Unanswered requests to a former owner.
  std::set<TaskAttempt> m_asked_before_takeover;
  std::set<TaskAttempt> m_ended;
  std::map<TaskAttempt, int> m_start_counts;
  std::set<std::string> m_cancelled;
  std::map<TeamName, std::int64_t> m_grants;
  /// Starts by job in the last step.
  std::map<std::string, int> m_gang_starts;
  std::uint32_t m_next_job = 0;
  Epoch m_epoch = 1;
  Epoch m_home_epoch = kHome.epoch;
  Epoch m_highest_epoch = 0;  ///< Highest home epoch sent to the shard.
  bool m_faults = true;
  bool m_may_start = true;
  bool m_inquiring = false;
  std::minstd_rand m_random;
};

}  // namespace buckthornmux::sched::testing
