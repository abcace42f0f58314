/// Context of one call of Apply.
#pragma once

#include <vector>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {

/// State, time and collected actions of one call of Apply.
struct Step {
  ShardState& state;
  Time now;
  std::vector<Action>& actions;
};

/// @brief Looks up a task that has not ended.
/// @return the record, or null if there is none
[[nodiscard]] inline TaskRecord* FindTask(ShardState& state,
                                          const std::string& id) {
  const auto found = state.tasks.find(id);
  return found == state.tasks.end() ? nullptr : &found->second;
}

/// @brief Key shared by all tasks of a job.
[[nodiscard]] inline std::string JobKey(const TaskSpec& spec) {
  return spec.team + "/" + spec.job;
}

}  // namespace buckthornmux::sched
