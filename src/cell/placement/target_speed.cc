#include "src/cell/placement/target_speed.h"

#include <algorithm>
#include <cmath>

namespace buckthornmux::cell {
namespace {

/// Time after which a comparison has half its weight.
constexpr Millis kHalfLife{60'000};
/// Standard deviation of the logarithms of run times of a step's tasks on
/// targets of equal speed. They differ by a third.
constexpr double kRunTimeSpread = 0.35;
/// A target counts as different if its mean is this many standard errors away
/// from that of the others; by chance, 3 of 1000 alike ones are.
constexpr double kMinDeviations = 3;
/// Logarithm of the smallest difference that counts, a tenth.
constexpr double kMinDifference = 0.1;
/// Weight of the assumption that a target is as fast as the others.
constexpr double kPriorWeight = 1;
/// Largest difference of the logarithms that one comparison may show: a single
/// task may be four times as long as the others of its step.
constexpr double kMaxSample = 1.386;
/// One in so many targets of a cell must differ.
constexpr std::size_t kDifferingDivisor = 10;
/// Progress must show this multiple of the expected run time to count.
constexpr double kTurnedSlow = 1.5;

double WeightAt(const TargetSpeed& target, Time now) {
  const auto age = static_cast<double>((now - target.at).count());
  return target.weight *
         std::exp2(-age / static_cast<double>(kHalfLife.count()));
}

/// Mean logarithm of the relative run time.
double MeanOf(const TargetSpeed& target) {
  return target.sum / (target.weight + kPriorWeight);
}

/// Adds to the sums what they gain now.
void Add(TargetSpeed& target, double sum, double weight, Time now) {
  const double kept =
      target.weight > 0 ? WeightAt(target, now) / target.weight : 0;
  target.sum = target.sum * kept + sum;
  target.weight = target.weight * kept + weight;
  target.at = now;
}

double LogOf(Millis run_time) {
  return std::log(
      static_cast<double>(std::max<std::int64_t>(1, run_time.count())));
}

}  // namespace

double LogTimeAtUsualSpeed(const TargetSpeed& target, Millis run_time) {
  return LogOf(run_time) - MeanOf(target);
}

void AddRunTime(TargetSpeed& target, Millis run_time,
                std::span<const SpeedPeer> peers, Time now) {
  if (peers.empty()) {
    return;
  }
  const auto count = static_cast<double>(peers.size());
  // Run times at the usual speed, as far as the speeds are known.
  const double mean = MeanOf(target);
  double elsewhere = 0;
  for (const SpeedPeer& peer : peers) {
    elsewhere += LogTimeAtUsualSpeed(*peer.speed, peer.run_time) / count;
  }
  const double difference =
      std::clamp(LogOf(run_time) - mean - elsewhere, -kMaxSample, kMaxSample);
  // In the end, each target of a step has the difference between its run time
  // and the mean of the other n, of weight n / (n + 1), in whatever order they
  // end. One more run changes these means for all that ended before.
  const double gained = 1 / (count * (count + 1));
  for (const SpeedPeer& peer : peers) {
    Add(*peer.speed, gained * MeanOf(*peer.speed) - difference / (count + 1),
        gained, now);
  }
  const double weight = count / (count + 1);
  Add(target, weight * (mean + difference), weight, now);
}

double RelativeRunTime(const TargetSpeed& target, Time now) {
  const double weight = WeightAt(target, now);
  if (weight <= 0) {
    return 1;
  }
  const double mean =
      target.sum / target.weight * weight / (weight + kPriorWeight);
  const double error = kRunTimeSpread / std::sqrt(weight);
  const bool differs =
      std::abs(mean) > std::max(kMinDifference, kMinDeviations * error);
  return differs ? std::exp(std::clamp(mean, -kMaxSample, kMaxSample)) : 1;
}

bool DoSpeedsDiffer(std::span<const double> run_times) {
  const auto alike =
      static_cast<std::size_t>(std::ranges::count(run_times, 1.0));
  return (run_times.size() - alike) * kDifferingDivisor > run_times.size();
}

double ExpectedRunTime(double run_time, double slowness) {
  return slowness > kTurnedSlow * run_time ? slowness : run_time;
}

}  // namespace buckthornmux::cell
