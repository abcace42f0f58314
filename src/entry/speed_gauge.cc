#include "buckthornmux/detail/entry/speed_gauge.h"

#include <cstdint>

namespace buckthornmux::entry {
namespace {

/// Takes about 20 us on an otherwise idle core.
constexpr int kRounds = 12'000;

}  // namespace

SpeedGauge::Nanos MeasureReferenceWork() {
  using Clock = std::chrono::steady_clock;
  const auto began = Clock::now();
  std::uint64_t value = 88172645463325252ULL;
  for (int i = 0; i < kRounds; ++i) {  // Xorshift: rounds are sequential.
    value ^= value << 13U;
    value ^= value >> 7U;
    value ^= value << 17U;
  }
  const volatile std::uint64_t kept = value;  // Not optimised away.
  static_cast<void>(kept);
  return Clock::now() - began;
}

}  // namespace buckthornmux::entry
