#include "buckthornmux/detail/cell/gauges.h"

#include <algorithm>
#include <numeric>

namespace buckthornmux::cell {
namespace {

constexpr double kSmoothingFactor = 0.05;

std::int64_t BucketOf(Time now) {
  return now.time_since_epoch() / RateGauge::kBucket;
}

std::size_t PlaceOf(std::int64_t bucket) {
  return static_cast<std::size_t>(bucket % RateGauge::kBuckets);
}

void Smooth(double& mean, double value, bool first) {
  mean = first ? value : mean + kSmoothingFactor * (value - mean);
}

}  // namespace

void AdvanceTo(RateGauge& gauge, Time now) {
  const std::int64_t bucket = BucketOf(now);
  if (bucket - gauge.last >= RateGauge::kBuckets) {
    gauge.amounts.fill(0);
    gauge.total = 0;
    gauge.last = bucket;
  }
  while (gauge.last < bucket) {
    std::int64_t& oldest = gauge.amounts[PlaceOf(++gauge.last)];
    gauge.total -= oldest;
    oldest = 0;
  }
}

void AddAmount(RateGauge& gauge, std::int64_t amount, Time now) {
  AdvanceTo(gauge, now);
  gauge.amounts[PlaceOf(gauge.last)] += amount;
  gauge.total += amount;
}

std::int64_t PerSecond(const RateGauge& gauge) {
  constexpr std::int64_t kMillisPerSecond = 1000;
  return gauge.total * kMillisPerSecond /
         (RateGauge::kBucket.count() * RateGauge::kBuckets);
}

std::int64_t PeakWithin(const RateGauge& gauge, Millis length) {
  const std::int64_t width = std::clamp<std::int64_t>(
      length / RateGauge::kBucket, 1, RateGauge::kBuckets);
  std::int64_t sum = 0;
  std::int64_t peak = 0;
  const std::int64_t first = gauge.last - RateGauge::kBuckets + 1;
  for (std::int64_t bucket = first; bucket <= gauge.last; ++bucket) {
    sum += gauge.amounts[PlaceOf(bucket + RateGauge::kBuckets)];
    if (bucket - width >= first) {
      sum -= gauge.amounts[PlaceOf(bucket - width + RateGauge::kBuckets)];
    }
    peak = std::max(peak, sum);
  }
  return peak;
}

void NoteUrgentArrival(UrgentArrivals& arrivals, std::int64_t cpu,
                       std::int64_t tasks, Millis objective, Millis chain,
                       Time now) {
  const bool first = arrivals.last == Time();
  AddAmount(arrivals.cpu, cpu, now);
  Smooth(arrivals.task_cpu,
         static_cast<double>(cpu) /
             static_cast<double>(std::max<std::int64_t>(1, tasks)),
         first);
  Smooth(arrivals.estimate_ms, static_cast<double>(chain.count()), first);
  Smooth(arrivals.slack_ms, static_cast<double>((objective - chain).count()),
         first);
  arrivals.last = now;
}

}  // namespace buckthornmux::cell
