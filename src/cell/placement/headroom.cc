#include "src/cell/placement/headroom.h"

#include <algorithm>

namespace buckthornmux::cell {
namespace {

/// Time from an urgent job's arrival to its start, with a call to the adviser.
/// Room for the arrivals of this time has to be free.
constexpr Millis kLeadTime{300};
/// Headroom is released if no urgent job has arrived for this time.
constexpr Millis kReleaseAfter{2000};
/// Maximum part of the capacity, in percent. Batches pay for more.
constexpr std::int64_t kMaxPercent = 15;
constexpr std::int64_t kAllPercent = 100;

}  // namespace

bool OverloadControlOn(Millis stop_time, const UrgentArrivals& arrivals) {
  return arrivals.last != Time() &&
         static_cast<double>(stop_time.count()) > arrivals.slack_ms;
}

std::int64_t HeadroomFor(const UrgentArrivals& arrivals, std::int64_t capacity,
                         Time now) {
  if (arrivals.last == Time() || now - arrivals.last >= kReleaseAfter) {
    return 0;
  }
  constexpr std::int64_t kMillisPerSecond = 1000;
  const std::int64_t mean =
      PerSecond(arrivals.cpu) * kLeadTime.count() / kMillisPerSecond;
  // Arrivals vary; half of what the peak exceeds the mean by is covered too.
  const std::int64_t wanted =
      mean +
      std::max<std::int64_t>(0, PeakWithin(arrivals.cpu, kLeadTime) - mean) / 2;
  return std::min(wanted, capacity / kAllPercent * kMaxPercent);
}

}  // namespace buckthornmux::cell
