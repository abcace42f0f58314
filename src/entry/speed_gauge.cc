#include "buckthornmux/detail/entry/speed_gauge.h"

#include <cstdint>

namespace buckthornmux::entry {
namespace {

/// Rounds of the computation, which takes about 20 us on an otherwise idle
/// core.
constexpr int kRounds = 12'000;

}  // namespace

SpeedGauge::Nanos MeasureReferenceWork() {
  using Clock = std::chrono::steady_clock;
  const auto began = Clock::now();
  std::uint64_t value = 88172645463325252ULL;
  // Xorshift: each round depends on the previous one.
  for (int i = 0; i < kRounds; ++i) {
    value ^= value << 13U;
    value ^= value >> 7U;
    value ^= value << 17U;
  }
  // Prevents the compiler from removing the loop.
  const volatile std::uint64_t kept = value;
  static_cast<void>(kept);
  return Clock::now() - began;
}

}  // namespace buckthornmux::entry
