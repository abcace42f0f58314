#include "buckthornmux/detail/sched/estimates.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace buckthornmux::sched {
namespace {

constexpr std::uint64_t kMinHistoryRuns = 3;  ///< Runs needed to use history.
/// Weight of the newest run or arrival in a moving average. The first runs have
/// a higher weight.
constexpr double kMinSmoothingFactor = 0.05;
/// Weight of the newest urgent run in the average that sizes the reserve;
/// small, because the reserve must not follow single runs.
constexpr double kUrgentRunSmoothingFactor = 0.005;
constexpr Millis kDefaultRunTime{1000};
constexpr Millis kArrivalWindow{1000};
/// Time constant of the exponential decay of the arrival rate.
constexpr double kArrivalDecayMs = 30'000;
/// Arrivals per second below which no capacity is reserved.
constexpr double kMinArrivalRate = 0.01;
/// Standard deviations that the reserve adds to the expected urgent work.
constexpr double kReserveDeviations = 2;

std::string EstimateKey(const TaskSpec& spec) {
  return spec.team + "/" + spec.kind;
}

void UpdateEstimate(RunEstimate& estimate, double run_ms) {
  ++estimate.count;
  const double weight =
      std::max(kMinSmoothingFactor, 1.0 / static_cast<double>(estimate.count));
  const double error = run_ms - estimate.mean_ms;
  estimate.mean_ms += weight * error;
  estimate.deviation_ms += weight * (std::abs(error) - estimate.deviation_ms);
}

void UpdateMean(double& mean, std::int64_t value, double weight) {
  mean += weight * (static_cast<double>(value) - mean);
}

std::int64_t Room(double count, double each, std::int64_t used,
                  std::int64_t capacity, double cap) {
  const double wanted = std::ceil(count * each) - static_cast<double>(used);
  const double most = static_cast<double>(capacity) * cap;
  return static_cast<std::int64_t>(std::clamp(wanted, 0.0, most));
}

}  // namespace

Millis EstimatedRun(const ShardState& state, const TaskSpec& spec) {
  const auto found = state.estimates.find(EstimateKey(spec));
  if (found == state.estimates.end() || found->second.count < kMinHistoryRuns) {
    return spec.expected_run > Millis{0} ? spec.expected_run : kDefaultRunTime;
  }
  const RunEstimate& estimate = found->second;
  return Millis(
      static_cast<std::int64_t>(estimate.mean_ms + estimate.deviation_ms));
}

void UpdateRunEstimates(ShardState& state, const TaskSpec& spec, Millis run) {
  const auto run_ms = static_cast<double>(run.count());
  UpdateEstimate(state.estimates[EstimateKey(spec)], run_ms);
  UpdateEstimate(state.overall_run, run_ms);
  if (spec.work_class == WorkClass::kUrgent) {
    state.urgent.run_ms +=
        kUrgentRunSmoothingFactor * (run_ms - state.urgent.run_ms);
  }
}

void UpdateArrivalRate(Step& step) {
  UrgentArrivals& urgent = step.state.urgent;
  const Millis passed = step.now - urgent.counted_from;
  if (passed < kArrivalWindow) {
    return;
  }
  const auto passed_ms = static_cast<double>(passed.count());
  const double rate = urgent.in_window * 1000.0 / passed_ms;
  // The rate rises quickly and decays slowly, because idle capacity costs less
  // than a late answer.
  const double weight = rate > urgent.per_second
                            ? 0.5
                            : 1.0 - std::exp(-passed_ms / kArrivalDecayMs);
  urgent.per_second += weight * (rate - urgent.per_second);
  urgent.in_window = 0;
  urgent.counted_from = step.now;
}

void RecordUrgentArrival(Step& step, const TaskSpec& spec) {
  UrgentArrivals& urgent = step.state.urgent;
  UpdateArrivalRate(step);
  const bool first = urgent.slots == 0;
  const double weight = first ? 1.0 : kMinSmoothingFactor;
  if (first) {
    urgent.run_ms = static_cast<double>(EstimatedRun(step.state, spec).count());
  }
  urgent.in_window += 1;
  UpdateMean(urgent.slots, spec.demand.slots, weight);
  UpdateMean(urgent.cpu_milli, spec.demand.cpu_milli, weight);
  UpdateMean(urgent.memory_mb, spec.demand.memory_mb, weight);
  UpdateMean(urgent.accelerators, spec.demand.accelerators, weight);
}

Resources UrgentReserve(const ShardState& state) {
  const UrgentArrivals& urgent = state.urgent;
  if (urgent.per_second < kMinArrivalRate) {
    return {};
  }
  const double mean = urgent.per_second * urgent.run_ms / 1000.0;
  const double count = mean + kReserveDeviations * std::sqrt(mean);
  const Resources& all = state.capacity;
  const double cap = state.policy.max_urgent_reserve;
  Resources room;
  room.slots = Room(count, urgent.slots, urgent.used.slots, all.slots, cap);
  room.cpu_milli =
      Room(count, urgent.cpu_milli, urgent.used.cpu_milli, all.cpu_milli, cap);
  room.memory_mb =
      Room(count, urgent.memory_mb, urgent.used.memory_mb, all.memory_mb, cap);
  room.accelerators = Room(count, urgent.accelerators, urgent.used.accelerators,
                           all.accelerators, cap);
  return room;
}

}  // namespace buckthornmux::sched
