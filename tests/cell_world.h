/// A cell with targets, an adviser and a store that answer on a paused clock.
/// The decisions under test are the ones that the server runs. What must hold
/// is checked from what the targets see.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"

namespace buckthornmux::tests {

using cell::RunId;

/// A run at a simulated target.
struct SimRun {
  Time began;
  Time ends;
  Resources demand;
  bool fails = false;
  bool stuck = false;  ///< Makes no progress and never ends.
  std::string checkpoint;
};

/// How a simulated target misbehaves.
struct SimFaults {
  bool fails_all = false;
  bool stuck = false;
  bool cut = false;            ///< Nothing reaches it; it runs on.
  double answers_lost = 0;     ///< Share of orders done but not answered.
  double orders_late = 0;      ///< Share carried out seconds later, unanswered.
  double slowdown = 1;
};

struct SimTarget {
  cell::TargetEntry entry;
  double speed = 1;
  SimFaults faults;
  Epoch fence = 0;
  std::map<RunId, SimRun> running;
  std::map<cell::TaskId, std::uint32_t> refused_up_to;  ///< Run numbers.
  std::vector<cell::EndReport> ended;
  std::uint64_t sequence = 0;
  Time lease_until;
  bool reporting = false;
};

/// One queue's load.
struct SimLoad {
  cell::Queue queue;
  double per_second = 1;
  std::function<cell::JobSpec(std::mt19937_64&)> draw;
};

/// What became of a queue's jobs.
struct SimCount {
  int handed_in = 0;
  int refused = 0;
  int in_time = 0;
  int late = 0;
  int failed = 0;
  int open = 0;
  Millis worst{0};

  [[nodiscard]] double InTimeShare() const {
    return handed_in == 0 ? 1 : static_cast<double>(in_time) / handed_in;
  }
};

struct WorldOptions {
  std::uint64_t seed = 1;
  int targets = 48;
  int lanes = 6;
  Resources capacity{0, 16'000, 32'768, 0};
  int rack = 8;
  double good_share = 0.5;  ///< Of targets, as the adviser sees it.
  std::map<std::string, double> good_shares;  ///< By queue.
  Millis link{2};           ///< One way.
  Millis store{6};          ///< A write.
};

/// @brief The world around one cell.
class World {
 public:
  explicit World(WorldOptions options);

  /// @brief Puts queues and teams in force.
  void SetRules(std::vector<cell::Queue> queues,
                std::vector<cell::Team> teams = {});

  /// @brief Hands a job in now; its outcome is counted by queue.
  void Submit(cell::JobSpec spec);
  void Cancel(const std::string& job);

  /// @brief Draws jobs of a load at random moments until `until`.
  void AddLoad(const SimLoad& load, Time until);

  /// @brief Runs an action at a moment.
  void At(Time when, std::function<void()> action);

  /// @brief Lets time pass.
  void RunUntil(Time until);

  /// @brief The owner dies now; another one reads the records `after` later.
  void ReplaceOwner(Millis after);

  [[nodiscard]] cell::Cell& State() { return *m_cell; }
  [[nodiscard]] SimTarget& Target(int index) {
    return m_targets[static_cast<std::size_t>(index)];
  }
  [[nodiscard]] Time NowTime() const { return m_now; }
  [[nodiscard]] SimCount CountOf(const std::string& queue);
  [[nodiscard]] std::optional<cell::JobPhase> PhaseOf(const std::string& job) {
    return cell::PhaseOf(*m_cell, job);
  }
  /// @brief Breaches of what must hold, in words; empty where all held.
  [[nodiscard]] const std::vector<std::string>& Breaches() const {
    return m_breaches;
  }
  [[nodiscard]] int Starts() const { return m_starts; }
  [[nodiscard]] int AdviceCalls() const { return m_advice_calls; }
  /// @brief Starts of one task that targets carried out.
  [[nodiscard]] int StartsOf(const cell::TaskId& task) const;

 private:
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct JobRecord {
    std::string queue;
    cell::JobSpec spec;
    Time handed_in;
    Millis objective{0};
    bool accepted = false;
    bool refused = false;
    bool cancelled = false;
  };

  void Act(cell::Actions actions);
  void Step();
  void Carry(const cell::SendStart& start);
  void CarryStop(const cell::SendStop& stop);
  cell::OrderOutcome Begin(SimTarget& target, const cell::SendStart& start);
  void EndRun(SimTarget& target, const RunId& id, cell::RunEnd end);
  void Ask(const cell::AskAdvice& ask);
  void Report(SimTarget& target);
  void Lapse(SimTarget& target);
  void CheckStart(const SimTarget& target, const RunId& id,
                  const Resources& demand);
  [[nodiscard]] bool Chance(double share);
  [[nodiscard]] std::int64_t ClockOf(Time time) const;
  SimTarget* Find(const TargetId& id);
  void OpenCell(Epoch epoch);

  WorldOptions m_options;
  std::mt19937_64 m_random;
  std::unique_ptr<cell::Cell> m_cell;
  std::uint64_t m_life = 0;  ///< Of the owner; older answers go nowhere.
  Time m_now{Millis(1'000'000)};
  std::uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<SimTarget> m_targets;
  std::map<HostId, Time> m_lane_free;
  std::map<std::string, std::string> m_records;
  bool m_writing = false;
  cell::Rules m_rules;
  std::map<std::string, JobRecord> m_jobs;
  std::map<cell::CallId, std::string> m_calls;
  cell::CallId m_next_call = 1;
  std::map<cell::TaskId, int> m_done_acked;
  std::map<cell::TaskId, int> m_task_starts;
  std::vector<std::string> m_breaches;
  std::map<std::string, Time> m_completed;
  int m_starts = 0;
  int m_advice_calls = 0;
};

}  // namespace buckthornmux::tests
