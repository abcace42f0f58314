/// Minimal queues, steps and jobs for tests of the cell.
#pragma once

#include <string>

#include "buckthornmux/detail/cell/types.h"

namespace buckthornmux::tests {

inline cell::Queue PlainQueue(const std::string& name, int priority = 0) {
  return {.name = name,
          .service = "service",
          .priority = priority,
          .max_attempts = 4,
          .stretch = 2,
          .target_runtime = Millis(1000)};
}

inline cell::StepSpec PlainStep(std::uint32_t count, std::int64_t cpu,
                                int run_ms) {
  cell::StepSpec step;
  step.count = count;
  step.demand.cpu_milli = cpu;
  step.demand.memory_mb = 100;
  step.estimate = Millis(run_ms);
  return step;
}

inline cell::JobSpec PlainJob(const std::string& id, std::uint32_t tasks = 1,
                              int run_ms = 500) {
  cell::JobSpec spec;
  spec.id = id;
  spec.queue = "plain";
  spec.team = "team-0";
  spec.steps.push_back(PlainStep(tasks, 1000, run_ms));
  return spec;
}

}  // namespace buckthornmux::tests
