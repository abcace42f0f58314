#include "buckthornmux/detail/entry/speed_gauge.h"

#include <cstdint>

namespace buckthornmux::entry {
namespace {

/// About 20 us on a whole core.
constexpr int kRounds = 12'000;

}  // namespace

SpeedGauge::Nanos TimeWork() {
  using Clock = std::chrono::steady_clock;
  const auto began = Clock::now();
  std::uint64_t value = 88172645463325252ULL;
  for (int i = 0; i < kRounds; ++i) {  // Xorshift: each round needs the last.
    value ^= value << 13U;
    value ^= value >> 7U;
    value ^= value << 17U;
  }
  const volatile std::uint64_t kept = value;  // The work must not be left out.
  static_cast<void>(kept);
  return Clock::now() - began;
}

}  // namespace buckthornmux::entry
