/// Simulation of a cell with targets, an adviser and a store on a virtual
/// clock. It runs the same decision code as the server. Invariants are checked
/// from the viewpoint of the targets.
#pragma once

#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"
#include "standins/job_checker.h"
#include "standins/sim_target.h"

namespace buckthornmux::tests {

using cell::RunId;
using standins::SimTarget;

/// Load of one queue.
struct SimLoad {
  cell::Queue queue;
  double per_second = 1;
  std::function<cell::JobSpec(std::mt19937_64&)> draw;
};

/// Outcomes of a queue's jobs.
struct SimCount {
  int handed_in = 0;
  int refused = 0;
  int in_time = 0;
  int late = 0;
  int failed = 0;
  int open = 0;
  /// Gangs that don't fit even on all targets they may use; included in none of
  /// the other counts.
  int impossible = 0;
  Millis worst{0};
  Millis worst_accept{0};  ///< Maximum time from submit to acceptance.

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
  double good_share = 0.5;  ///< Fraction of targets that the adviser allows.
  std::map<std::string, double> good_shares;  ///< `good_share` by queue.
  double estimate_spread = 0;  ///< Log spread of run times around estimates.
  double declared_spread = 0;  ///< Log spread of estimates around run times.
  Millis link{2};              ///< One-way network delay.
  Millis store{6};             ///< Duration of a write.
  Millis round{0};             ///< Minimum interval of planning rounds.
  Millis deadly_after{20};   ///< From the start of a deadly task to the crash.
  Millis deadly_down{3000};  ///< Until a crashed target is up again.
  /// Share of crashed targets that are up again under their own id.
  double same_id_share = 0;
  /// How long a room that has shrunk counts after the list has shown that.
  Millis room_grace{standins::kRoomGrace};
  /// Delay of orders that are executed late; drawn if the bounds differ.
  Millis least_order_delay{4000};
  Millis most_order_delay{4000};
  /// After which the owner gives up a report call to a target that is cut off.
  Millis report_timeout{1000};
  /// Calls go to the listed address, whoever answers there.
  bool by_address = false;
  /// Judges each end by its run, see JobChecker::JudgeEndsByRun.
  bool ends_by_run = false;
  std::ostream* trace = nullptr;  ///< Gets a line per event; null: no trace.
};

/// Payload of jobs whose tasks crash the targets that start them, after
/// WorldOptions::deadly_after.
inline constexpr std::string_view kDeadly = "deadly";

/// @brief Payload of jobs whose tasks crash their targets after another time.
[[nodiscard]] std::string DeadlyAfter(Millis life);

struct BatchSize {
  std::size_t writes = 0;
  std::size_t bytes = 0;  ///< Total size of keys and values.
};

/// @brief Simulated environment of one cell.
class World {
 public:
  explicit World(WorldOptions options);

  /// @brief Applies a configuration of queues and teams.
  void SetRules(std::vector<cell::Queue> queues,
                std::vector<cell::Team> teams = {});

  /// @brief Submits a job now; its outcome is counted by queue.
  void Submit(cell::JobSpec spec);
  void Cancel(const std::string& job);

  /// @brief Submits jobs of a load at random times until `until`.
  void AddLoad(const SimLoad& load, Time until);

  /// @brief Schedules an action.
  void At(Time when, std::function<void()> action);

  /// @brief Advances the simulation.
  void RunUntil(Time until);

  /// @brief Kills the owner; a new one loads the records after a delay of
  /// `after`.
  void ReplaceOwner(Millis after);

  /// @brief Hands the cell over: the next owner is told of the targets that may
  ///   still have runs, `told_after` after it has opened.
  void HandOver(Millis after, Millis told_after);

  /// @brief Shows a list of at least `age` ago again until `lasts` from now.
  void ShowFormerList(Millis age, Millis lasts);

  /// @brief Removes the entry of a target that lives, until `lasts` from now.
  void Hide(int index, Millis lasts);

  /// @brief Lists a target as draining; `remaining` is 0 if it isn't announced.
  void Drain(int index, Millis remaining);

  /// @brief Takes a target away: it drains for `notice`, then it is off with
  ///   all its runs, and its entry expires `expiry` later.
  void TakeAway(int index, Millis notice, Millis expiry = Millis(4500));

  /// @brief Crashes a target. The owner notices at once that its connection is
  ///   reset, unless the target is cut off. It is up again under the same id
  ///   after `down_for`, and the list shows its new life `list_after` later.
  /// @param life names the new life; lower than the former one if the target's
  ///   wall clock was set back meanwhile
  void Restart(int index, Millis down_for, Millis list_after,
               std::int64_t life);

  /// @brief Crashes a target. It is up again under a new id after `down_for`.
  ///   The list shows the new id `list_after` later, and the former id until
  ///   `expiry` after the crash.
  void Rename(int index, Millis down_for, Millis list_after, std::int64_t life,
              Millis expiry = Millis(4500));

  /// @brief As Restart, but the new process has another address, to which no
  ///   call goes before the list shows it.
  void Move(int index, Millis down_for, Millis list_after, std::int64_t life);

  /// @brief As Rename, under a given id, which may be a former one.
  void RenameTo(int index, const TargetId& id, Millis down_for,
                Millis list_after, std::int64_t life,
                Millis expiry = Millis(4500));

  /// @brief Changes the capacity of a target now; the list shows that
  ///   `list_after` later, unless it has shown a later change by then.
  void Resize(int index, const Resources& capacity, Millis list_after);

  /// @brief Loses the adviser's answers through a lane that arrive until
  /// `lasts`
  ///   from now.
  void CutLane(int lane, Millis lasts);

  /// @brief Delays the answers to calls that are sent through a lane until
  ///   `lasts` from now.
  void DelayLane(int lane, Millis delay, Millis lasts);

  /// @brief Sets the duration of writes from now on.
  void SetStoreTime(Millis time) { m_options.store = time; }

  /// @brief Sets the log spread of true run times around estimates.
  void SetEstimateSpread(double spread) { m_options.estimate_spread = spread; }

  /// @brief Sets the log spread of declared estimates around the true run times
  ///   for jobs submitted from now on. Objectives are based on true times.
  void SetDeclaredSpread(double spread) { m_options.declared_spread = spread; }

  [[nodiscard]] cell::Cell& State() { return *m_cell; }
  [[nodiscard]] SimTarget& Target(int index) {
    return m_targets[static_cast<std::size_t>(index)];
  }
  [[nodiscard]] Time NowTime() const { return m_now; }
  [[nodiscard]] SimCount CountOf(const std::string& queue);
  [[nodiscard]] std::optional<cell::JobPhase> PhaseOf(const std::string& job) {
    return cell::PhaseOf(*m_cell, job);
  }
  /// @brief Descriptions of violated invariants; empty if there are none.
  [[nodiscard]] const std::vector<std::string>& Breaches() const {
    return m_checker.Breaches();
  }
  [[nodiscard]] const std::map<std::string, standins::KnownJob>& KnownJobs() {
    return m_checker.Jobs();
  }
  [[nodiscard]] const standins::PassedOver& PassOvers() const {
    return m_checker.PassOvers();
  }
  /// @brief Time during which teams were at their limits.
  [[nodiscard]] const std::map<TeamName, Millis>& TimeAtLimits() const {
    return m_checker.TimeAtLimits();
  }
  /// @brief Number of starts that carried a checkpoint.
  [[nodiscard]] int Resumes() const { return m_resumes; }
  [[nodiscard]] int Starts() const { return m_checker.Starts(); }
  /// @brief Number of starts sent while targets might still have had unreported
  ///   runs of a former owner.
  [[nodiscard]] int StartsBeforeRecovery() const {
    return m_starts_before_recovery;
  }
  /// @brief Whether any task of a job runs on a target.
  [[nodiscard]] bool IsRunning(const std::string& job) const;
  /// @brief Returns the phase in which a job ended, also if the cell no longer
  ///   knows it; empty if it hasn't.
  [[nodiscard]] std::string EndOf(const std::string& job) const {
    const auto found = m_ends.find(job);
    return found == m_ends.end() ? std::string() : found->second;
  }
  /// @brief Returns the latest decision of a kind; null if there was none.
  [[nodiscard]] const cell::Decision* LastDecision(
      const std::string& event) const {
    const auto found = m_decisions.find(event);
    return found == m_decisions.end() ? nullptr : &found->second;
  }
  /// @brief Number of stop orders by reason.
  [[nodiscard]] const std::map<std::string, int>& Stops() const {
    return m_stops;
  }
  /// @brief Whether two targets have crashed under a task of a job.
  [[nodiscard]] bool MayBeGivenUp(const std::string& job) const {
    return m_checker.MayBeGivenUp(job);
  }
  /// @brief Number of targets that deadly tasks have crashed.
  [[nodiscard]] int Crashes() const { return m_checker.Crashes(); }
  /// @brief Maximum number of targets that one task has crashed.
  [[nodiscard]] int MostCrashes() const { return m_checker.MostCrashes(); }
  [[nodiscard]] int AdviceCalls() const { return m_advice_calls; }
  /// @brief CPU time of each planning round, in order.
  [[nodiscard]] const std::vector<std::clock_t>& RoundTimes() const {
    return m_round_times;
  }
  /// @brief Stored records by key, as a next owner would load them.
  [[nodiscard]] const std::map<std::string, std::string>& Records() const {
    return m_records;
  }
  /// @brief Maximum number of writes and maximum size of all batches so far.
  [[nodiscard]] const BatchSize& LargestBatch() const {
    return m_largest_batch;
  }
  /// @brief Number of starts of a task that targets executed.
  [[nodiscard]] int StartsOf(const cell::TaskId& task) const {
    return m_checker.StartsOf(task);
  }

 private:
  /// A connection to a target's process.
  struct Connection {
    std::int64_t life = 0;
    Time opened;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  void Act(cell::Actions actions);
  void Step();
  void DeliverStart(const cell::SendStart& start);
  void DeliverStop(const cell::SendStop& stop);
  cell::OrderOutcome Begin(SimTarget& target, const cell::SendStart& start);
  void CrashNow(SimTarget& target);
  /// Opens a cell, and passes the former owner's state to it later.
  void LetFollow(Millis after, std::optional<std::string> state,
                 Millis told_after);
  void LoseEnds(const SimTarget& target, std::uint64_t up_to);
  /// Crashes the target of a deadly task soon, if the task is still there.
  void CrashSoon(const SimTarget& target, const RunId& run, Millis after);
  void Ask(const cell::AskAdvice& ask);
  static HostId LaneName(int lane) { return "host-" + std::to_string(lane); }
  void Report(SimTarget& target);
  /// Runs `action` unless the report call to a target has ended meanwhile.
  void WhileOpen(Time at, const TargetId& id, std::function<void()> action);
  void FailReport(const TargetId& id, cell::OrderOutcome outcome,
                  std::uint64_t life);
  /// What a target does on a report call.
  cell::TargetReport Take(SimTarget& target, const cell::ReportCall& call,
                          Epoch epoch);
  void AnswerReport(SimTarget& target, const cell::ReportCall& call,
                    Time sent_at, std::uint64_t life);
  void AdvanceTargets();
  [[nodiscard]] Millis TrueTime(const cell::TaskId& task,
                                const cell::StepSpec& spec) const;
  [[nodiscard]] bool Chance(double share);
  void Trace(std::string_view event, const TargetId& target,
             const std::string& text);
  /// Traces the breaches after the first `known`.
  void TraceBreaches(std::size_t known);
  /// Whether the adviser allows a step on a target; constant for a world.
  [[nodiscard]] bool Allows(const std::string& queue, const std::string& step,
                            const TargetId& target) const;
  [[nodiscard]] bool FitsNowhere(const cell::JobSpec& spec) const;
  /// Returns null if the id is gone: its target has another id now.
  SimTarget* Find(const TargetId& id);
  /// Returns the outcome of an order that didn't reach a process with the id;
  /// kDone if it did.
  [[nodiscard]] cell::OrderOutcome Reaches(const TargetId& id);
  void OpenCell(Epoch epoch);
  /// Passes the current list of targets to the cell.
  void ListTargets();

  WorldOptions m_options;
  std::mt19937_64 m_random;
  std::unique_ptr<cell::Cell> m_cell;
  std::uint64_t m_life = 0;  ///< Owner's life; older answers are dropped.
  bool m_owned = false;      ///< The cell has an owner.
  Epoch m_epoch = 1;  ///< Of the owner, or of the next one while there is none.
  Time m_now{Millis(1'000'000)};
  std::uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<SimTarget> m_targets;
  /// Entries of former ids that haven't expired yet.
  std::map<TargetId, cell::TargetEntry> m_former_entries;
  std::map<HostId, Time> m_lane_free;
  std::map<HostId, Time> m_lane_cut_until;
  struct LaneDelay {
    Millis delay{0};
    Time until;
  };
  std::map<HostId, LaneDelay> m_lane_delays;
  std::map<std::string, std::string> m_records;
  BatchSize m_largest_batch;
  std::map<TargetId, Connection> m_connected;  ///< Of the owner.
  bool m_writing = false;
  /// Number of the report call to a target that is open, or was last.
  std::map<TargetId, std::uint64_t> m_report_calls;
  std::map<TargetId, std::string> m_shown_addresses;  ///< Last shown.
  struct ShownList {
    Time since;
    std::vector<cell::TargetEntry> entries;
  };
  std::vector<ShownList> m_lists;  ///< All that were in force, oldest first.
  std::vector<cell::TargetEntry> m_former_list;
  Time m_former_list_as_of;
  Time m_former_list_until;
  int m_next_port = 1000;
  int m_resumes = 0;
  int m_starts_before_recovery = 0;
  cell::Rules m_rules;
  /// Queues as last defined, also those that were removed since.
  std::map<std::string, cell::Queue> m_queues;
  standins::JobChecker m_checker;
  std::map<cell::CallId, std::string> m_calls;
  cell::CallId m_next_call = 1;
  std::map<std::string, Time> m_completed;
  std::map<std::string, Time> m_accepted;
  std::map<std::string, int> m_stops;
  std::map<std::string, cell::Decision> m_decisions;  ///< Latest by event.
  std::map<std::string, std::string> m_ends;          ///< Phases of ended jobs.
  int m_advice_calls = 0;
  std::vector<std::clock_t> m_round_times;
  Time m_next_round;
};

}  // namespace buckthornmux::tests
