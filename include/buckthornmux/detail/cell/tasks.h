/// The tasks of a step.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/number_ranges.h"
#include "buckthornmux/detail/cell/types.h"
#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::cell {

/// A crash of a target while it ran a task.
struct TaskCrash {
  std::uint32_t run = 0;
  TargetId target;
  std::int64_t life = 0;
  bool fresh = false;  ///< The run had begun within the clearance time.
  /// The target had confirmed the run. A start without an answer may never have
  /// reached it.
  bool confirmed = false;
  /// A later run has outlived the clearance time. The task isn't suspected for
  /// this crash any more, but may have caused it.
  bool outlived = false;

  bool operator==(const TaskCrash&) const = default;
};

/// Why a task that has room waits: it or another one may have crashed targets.
enum class HoldReason : std::uint8_t {
  kNone,
  kCrashesUnstored,  ///< A next owner wouldn't know its crashes.
  kTurn,             ///< Enough other tasks are on probation.
  kTargetReserved,   ///< For a task on probation there.
  kTargetNotQuiet,   ///< Something has just begun there.
  kTargetNotEmpty,   ///< Anything runs there.
  kSuspectBeside,    ///< What runs there may have caused the same crash.
  kStepOnProbation,  ///< Another task of its step is suspected.
};

/// A wait for such a reason.
struct Hold {
  Time since;
  Time noted_at;   ///< When a planning round last held the task back.
  Time logged_at;  ///< When its reason was last logged.
  HoldReason reason = HoldReason::kNone;
  HoldReason logged = HoldReason::kNone;
};

enum class TaskPhase : std::uint8_t { kWaiting, kLive };

/// State of a task that has been started and is not done.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint32_t next_run = 1;
  /// Numbers of the failed runs; each counts as one attempt.
  std::vector<std::uint32_t> failed_runs;
  TargetId target;  ///< Target of the live run.
  std::uint32_t run = 0;
  std::string checkpoint;
  /// Run whose checkpoint was too long to be kept, for the log.
  std::uint32_t checkpoint_refused = 0;
  /// Crashes of targets that ran it, until a run of it ends without one.
  std::vector<TaskCrash> crashes;
  std::uint64_t crash_version = 0;  ///< Job version with the last of them.
  Hold hold;                        ///< While it is suspected.
  /// Longest time that a run of it had run for when its target crashed, as far
  /// as this owner knows.
  Millis lived{0};
  /// Was the first on the target of its latest crash to begin, of those that
  /// are suspected repeatedly. Another one goes first now.
  bool yields = false;
  [[nodiscard]] std::uint32_t Failures() const {
    return static_cast<std::uint32_t>(failed_runs.size());
  }
  TargetId failed_on;  ///< Avoided by the next attempts.
  Time failed_at;      ///< When its last failed run was reported.
  int moves = 0;       ///< How often it was moved off a slow target.
};

/// @brief The tasks of a step. Those that are done or have never been started
///   are alike and need no objects, so that memory depends on the tasks that
///   have been started and are not done.
class TaskTable {
 public:
  TaskTable() = default;
  /// @param first_run number of the first run of each task
  TaskTable(std::uint32_t count, std::uint32_t first_run)
      : m_count(count), m_first_run(first_run) {}

  [[nodiscard]] std::uint32_t Count() const { return m_count; }
  [[nodiscard]] bool IsDone(std::uint32_t index) const {
    return m_done.Contains(index);
  }
  /// @brief Returns the state of a task; null if it is done or was never
  ///   started.
  [[nodiscard]] const Task* Find(std::uint32_t index) const {
    const auto found = m_started.find(index);
    return found == m_started.end() ? nullptr : &found->second;
  }
  /// @brief Returns the state of a task that isn't done.
  Task& Get(std::uint32_t index) {
    const auto [found, added] = m_started.try_emplace(index);
    if (added) {
      found->second.next_run = m_first_run;
    }
    return found->second;
  }
  [[nodiscard]] std::uint32_t NextRun(std::uint32_t index) const {
    const Task* task = Find(index);
    return task == nullptr ? m_first_run : task->next_run;
  }
  [[nodiscard]] std::uint32_t FirstRun() const { return m_first_run; }
  /// @brief Returns the checkpoint of a task; empty if it has none.
  [[nodiscard]] std::string CheckpointOf(std::uint32_t index) const {
    const Task* task = Find(index);
    return task == nullptr ? std::string() : task->checkpoint;
  }
  /// @brief Marks a task that isn't done as done.
  void MarkDone(std::uint32_t index) {
    m_started.erase(index);
    m_done.Add(index);
  }
  /// @brief Marks the tasks from `first` to `last`, none of which has been
  ///   started, as done.
  void MarkDone(std::uint32_t first, std::uint32_t last) {
    m_done.Add(first, last);
  }

  /// @brief Number of tasks that have never been started.
  [[nodiscard]] std::uint32_t CountUnstarted() const {
    return m_count - static_cast<std::uint32_t>(m_started.size()) -
           static_cast<std::uint32_t>(m_done.Count());
  }
  /// @brief Returns the first task from `from` on that has never been started;
  ///   Count() if there is none.
  [[nodiscard]] std::uint32_t NextUnstarted(std::uint32_t from) const {
    auto started = m_started.lower_bound(from);
    while (from < m_count) {
      const auto missing = m_done.NextMissing(from);
      if (missing > from) {
        from = static_cast<std::uint32_t>(missing);
        started = m_started.lower_bound(from);
      } else if (started != m_started.end() && started->first == from) {
        ++from;
        ++started;
      } else {
        return from;
      }
    }
    return m_count;
  }
  /// @brief Whether no task has been started; all are waiting.
  [[nodiscard]] bool Unstarted() const {
    return m_started.empty() && m_done.Empty();
  }

  /// @brief The tasks that have been started and are not done, by index.
  [[nodiscard]] const std::map<std::uint32_t, Task>& Started() const {
    return m_started;
  }
  [[nodiscard]] std::map<std::uint32_t, Task>& Started() { return m_started; }
  [[nodiscard]] const NumberRanges& Done() const { return m_done; }

 private:
  std::uint32_t m_count = 0;
  std::uint32_t m_first_run = 1;
  std::map<std::uint32_t, Task> m_started;
  NumberRanges m_done;
};

}  // namespace buckthornmux::cell
