/// Bounds of what other processes write. Sums and products of values within
/// them fit into 64 bits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::bounds {

/// Inclusive range of a number.
template <class T>
struct Range {
  T low;
  T high;

  [[nodiscard]] constexpr bool Has(T value) const {
    return value >= low && value <= high;
  }
};

inline constexpr std::int64_t kMaxCpuMilli = 1'000'000'000;  ///< 10^6 cores.
inline constexpr std::int64_t kMaxMemoryMb = 1'000'000'000;  ///< One PB.
inline constexpr std::int64_t kMaxAccelerators = 1'000'000;  ///< Devices.
inline constexpr std::int64_t kMaxDurationMs =
    std::int64_t{3'600'000} * 24 * 365 * 10;  ///< Ten years, ms.
/// End of the year 9999, ms since the Unix epoch.
inline constexpr std::int64_t kMaxWallMs = 253'402'300'799'999;
inline constexpr std::size_t kMaxIdBytes = 200;  ///< Length of a store's key.

inline constexpr Range<std::int64_t> kCpuMilli{0, kMaxCpuMilli};
inline constexpr Range<std::int64_t> kMemoryMb{0, kMaxMemoryMb};
inline constexpr Range<std::int64_t> kAccelerators{0, kMaxAccelerators};
inline constexpr Range<Millis> kDuration{Millis(0), Millis(kMaxDurationMs)};
/// Clock reading, ms since the Unix epoch or since the start of a process.
inline constexpr Range<std::int64_t> kClock{0, kMaxWallMs};
/// Start time of a process, ms since the Unix epoch.
inline constexpr Range<std::int64_t> kStartTime{1, kMaxWallMs};

inline constexpr Range<std::uint32_t> kRunNumber{1, 1'000'000'000};
/// Number of an end; a JSON number of any reader is exact up to 2^53.
inline constexpr Range<std::uint64_t> kEndNumber{1, std::uint64_t{1} << 53};
inline constexpr Range<std::int32_t> kPercent{0, 100};
/// Tail latency in ms or thousandths of a core.
inline constexpr Range<std::int64_t> kLoad{0, kMaxDurationMs};

/// Last due time of a recurring job, ms after its first one.
inline constexpr std::int64_t kMaxRecurrenceMs = 1'000'000'000'000'000'000;
inline constexpr Range<int> kPriority{-1'000'000, 1'000'000};
inline constexpr Range<double> kStretch{0, 10'000};     ///< Factor.
inline constexpr Range<double> kWeight{0, 1e9};         ///< Jobs per second.
inline constexpr Range<double> kFractionalMs{0, 1e11};  ///< About three years.
inline constexpr Range<std::uint64_t> kBodyBytes{0, std::uint64_t{1} << 40};
/// A team's limit above this many of the largest targets is none.
inline constexpr std::int64_t kMaxTeamTargets = 1'000'000;

/// @brief Whether an id can be part of a key and of an HTTP header.
[[nodiscard]] constexpr bool IsId(std::string_view id) {
  constexpr unsigned char kDelete = 0x7f;
  for (const char c : id) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte == kDelete) {
      return false;
    }
  }
  return !id.empty() && id.size() <= kMaxIdBytes;
}

}  // namespace buckthornmux::bounds
