/// A small world around one shard for randomised runs: targets that keep their
/// own truth, messages that are lost, doubled, late and crossed, takeovers.
/// Checks what must hold from the targets' truth, not from the shard's state.
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

/// One random step of a run.
struct WorldStep {
  std::uint8_t kind = 0;
  std::uint32_t seed = 0;
};

using TaskTry = std::pair<std::string, std::uint32_t>;  ///< Id and attempt.

/// A run as the target has it.
struct WorldRun {
  Start start;
  Time end_at;
};

struct WorldTarget {
  std::map<TaskTry, WorldRun> running;
  std::vector<std::pair<Time, ReportedTask>> ended;  ///< Kept for a while.
  Epoch fence = 0;
  bool reachable = true;
  bool leaving = false;
  std::optional<std::pair<Time, TargetReport>> report;  ///< On its way.
};

/// A start on its way to a target.
struct WorldStart {
  Time arrives;
  Start start;
  bool answered = false;  ///< The link has told the shard `may_run`.
};

class ShardWorld {
 public:
  explicit ShardWorld(Policy policy);

  /// Does one random thing, then checks what must hold.
  void Do(const WorldStep& step);

  /// Ends the faults and lets everything finish; every task must be answered.
  void Settle();

  std::vector<std::string> breaches;  ///< What did not hold.
  std::size_t runs = 0;               ///< Tasks begun at targets.
  std::size_t answers = 0;

 private:
  void Feed(const Event& event);
  void Take(const Action& action);
  void CheckGangs();
  void CheckWorld();
  void Pass(Millis by);
  void ArriveStarts();
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
  [[nodiscard]] bool Lucky(std::uint32_t percent);

  ShardDriver m_driver;
  std::map<TargetId, WorldTarget> m_targets;
  std::vector<WorldStart> m_starts;
  std::vector<Event> m_pending;  ///< To the shard, delivered in any order.
  std::map<std::string, TaskSpec> m_asked;  ///< Latest attempt of each task.
  std::vector<TaskSpec> m_sent;             ///< To this owner.
  std::set<TaskTry> m_unanswered;
  std::set<TaskTry> m_in_doubt;  ///< Asked of a former owner.
  std::set<TaskTry> m_ended;
  std::map<TaskTry, int> m_begun;
  std::set<std::string> m_cancelled;
  std::map<TeamName, std::int64_t> m_grants;
  std::map<std::string, int> m_gang_starts;  ///< In the last decision.
  std::uint32_t m_next_job = 0;
  Epoch m_epoch = 1;
  Epoch m_home_epoch = kHome.epoch;
  Epoch m_heard_epoch = 0;  ///< Of homes, by the shard.
  bool m_faults = true;
  bool m_may_start = true;
  bool m_inquiring = false;
  std::minstd_rand m_random;
};

}  // namespace buckthornmux::sched::testing
