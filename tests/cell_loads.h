/// Workloads like those of the two users, for tests that run a World.
#pragma once

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

#include "cell_world.h"

namespace buckthornmux::tests {

/// @brief Draws a lognormally distributed number with an upper bound.
inline double DrawAround(std::mt19937_64& random, double mean, double spread,
                         double most) {
  std::lognormal_distribution<double> draw(std::log(mean) - spread * spread / 2,
                                           spread);
  return std::min(most, draw(random));
}

inline std::string DrawId(std::mt19937_64& random) {
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id += "0123456789abcdef"[random() % 16];
  }
  return id;
}

/// Distribution parameters of a queue's jobs.
struct JobShape {
  double steps = 1;
  double max_steps = 3;
  double width = 2;
  double max_width = 12;
  double cpu_milli = 1400;
  double max_cpu_milli = 4200;
  double memory_mb = 2000;
  double max_memory_mb = 6000;
  double run_ms = 800;
  double max_run_ms = 2000;
  double gang_share = 0;
  double checkpoint_share = 0;
};

inline cell::JobSpec DrawJob(std::mt19937_64& random, const JobShape& shape,
                             const std::string& queue,
                             const std::string& team) {
  cell::JobSpec spec;
  spec.id = DrawId(random);
  spec.queue = queue;
  spec.team = team;
  spec.payload = "work";
  std::uniform_real_distribution<double> part(0, 1);
  const auto steps = std::max(
      std::int64_t{1},
      std::lround(DrawAround(random, shape.steps, 0.4, shape.max_steps)));
  for (std::int64_t i = 0; i < steps; ++i) {
    cell::StepSpec step;
    step.count = static_cast<std::uint32_t>(std::max(
        1L,
        std::lround(DrawAround(random, shape.width, 0.8, shape.max_width))));
    step.demand.cpu_milli = std::lround(
        DrawAround(random, shape.cpu_milli, 0.4, shape.max_cpu_milli));
    step.demand.memory_mb = std::lround(
        DrawAround(random, shape.memory_mb, 0.5, shape.max_memory_mb));
    step.estimate = Millis(
        std::lround(DrawAround(random, shape.run_ms, 0.5, shape.max_run_ms)));
    step.gang = part(random) < shape.gang_share;
    step.checkpoints = part(random) < shape.checkpoint_share;
    if (i > 0) {
      step.after.push_back(static_cast<std::uint32_t>(i - 1));
    }
    spec.steps.push_back(std::move(step));
  }
  return spec;
}

/// The three queues that both users have: large gangs that may wait, wide
/// batches that may wait longer, and small urgent jobs.
struct UserQueues {
  cell::Queue gangs;
  cell::Queue batches;
  cell::Queue urgent;
  JobShape gang_shape;
  JobShape batch_shape;
  JobShape urgent_shape;
};

inline UserQueues MakeUserQueues() {
  UserQueues queues;
  queues.gangs = {.name = "gangs",
                  .service = "service",
                  .priority = 1,
                  .max_attempts = 2,
                  .stretch = 2.2,
                  .target_runtime = Millis(1000),
                  .advice = cell::AdviceRules{Millis(380), 5.4, Millis(2500)}};
  queues.batches = {
      .name = "batches",
      .service = "service",
      .priority = 2,
      .max_attempts = 2,
      .stretch = 4,
      .target_runtime = Millis(3000),
      .advice = cell::AdviceRules{Millis(62), 0.88, Millis(2500)}};
  queues.urgent = {.name = "urgent",
                   .service = "service",
                   .priority = 0,
                   .max_attempts = 4,
                   .stretch = 1.5,
                   .target_runtime = Millis(250),
                   .advice = cell::AdviceRules{Millis(7), 0.1, Millis(2500)}};
  queues.gang_shape = {1.2,  3,     8,    48,    4500, 7600,
                       8000, 16000, 5000, 12000, 1,    0.5};
  queues.batch_shape = {1.5,  3.8,  10,   60,   980, 2900,
                        1400, 4200, 3400, 8400, 0,   0.8};
  queues.urgent_shape = {1,    2.5,  2,   12,   1400, 4200,
                         2000, 6000, 800, 2000, 0.3,  0};
  return queues;
}

inline SimLoad MakeLoad(const cell::Queue& queue, const JobShape& shape,
                        double per_second, int teams) {
  return {queue, per_second, [queue, shape, teams](std::mt19937_64& random) {
            const auto team =
                "team-" +
                std::to_string(random() % static_cast<std::uint64_t>(teams));
            return DrawJob(random, shape, queue.name, team);
          }};
}

/// @brief Generates the load of the queues until `until`.
/// @param share fraction of the users' average load
inline void AddUserLoad(World& world, const UserQueues& queues, double share,
                        Time until) {
  world.AddLoad(MakeLoad(queues.gangs, queues.gang_shape, 1.47 * share, 6),
                until);
  world.AddLoad(MakeLoad(queues.batches, queues.batch_shape, 4.35 * share, 6),
                until);
  world.AddLoad(MakeLoad(queues.urgent, queues.urgent_shape, 38.6 * share, 6),
                until);
}

inline constexpr double kGrownTargets = 350;
/// Rate of urgent jobs in a deployment of kGrownTargets targets.
inline constexpr double kGrownUrgentPerSecond = 125;
inline constexpr int kGrownTeams = 20;

/// @brief Returns the three queues as in the users' grown deployments.
inline UserQueues MakeGrownQueues() {
  UserQueues queues = MakeUserQueues();
  queues.gang_shape.width = 16;
  queues.gang_shape.max_width = 80;
  queues.gang_shape.run_ms = 6200;
  queues.batch_shape.width = 25;
  queues.batch_shape.max_width = 100;
  queues.batch_shape.cpu_milli = 1700;
  queues.batch_shape.run_ms = 2700;
  queues.urgent_shape.width = 3;
  queues.urgent_shape.cpu_milli = 2500;
  queues.urgent_shape.run_ms = 640;
  return queues;
}

/// @brief Generates the load of a grown deployment until `until`.
/// @param scale fraction of the load of `kGrownTargets` targets
inline void AddGrownLoad(World& world, const UserQueues& queues, double scale,
                         Time until) {
  world.AddLoad(
      MakeLoad(queues.gangs, queues.gang_shape, 4.28 * scale, kGrownTeams),
      until);
  world.AddLoad(
      MakeLoad(queues.batches, queues.batch_shape, 8.96 * scale, kGrownTeams),
      until);
  world.AddLoad(MakeLoad(queues.urgent, queues.urgent_shape,
                         kGrownUrgentPerSecond * scale, kGrownTeams),
                until);
}

inline WorldOptions UserWorld(std::uint64_t seed) {
  WorldOptions options;
  options.seed = seed;
  options.good_shares = {{"gangs", 0.35}, {"batches", 0.45}, {"urgent", 0.7}};
  return options;
}

inline WorldOptions GrownWorld(std::uint64_t seed, int targets) {
  constexpr int kTargetsPerLane = 8;
  WorldOptions options = UserWorld(seed);
  options.targets = targets;
  options.lanes = std::max(options.lanes, targets / kTargetsPerLane);
  options.rack = 12;
  return options;
}

}  // namespace buckthornmux::tests
