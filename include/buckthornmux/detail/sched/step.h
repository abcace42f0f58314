/// One call of Apply: the state, the time and the actions so far.
#pragma once

#include <vector>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {

/// Handed through the parts that take a decision together.
struct Step {
  ShardState& state;
  Time now;
  std::vector<Action>& actions;
};

/// @brief Looks up a task that has not ended.
/// @return null where there is none
[[nodiscard]] inline TaskRecord* FindTask(ShardState& state,
                                          const std::string& id) {
  const auto found = state.tasks.find(id);
  return found == state.tasks.end() ? nullptr : &found->second;
}

/// @brief Key of all tasks of a job.
[[nodiscard]] inline std::string JobKey(const TaskSpec& spec) {
  return spec.team + "/" + spec.job;
}

}  // namespace buckthornmux::sched
