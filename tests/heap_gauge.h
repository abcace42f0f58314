/// Memory that a test's process has allocated.
#pragma once

#include <malloc.h>

#include <cstddef>

namespace buckthornmux::tests {

inline constexpr std::size_t kMegabyte = 1'000'000;

/// @brief Measures how much more is allocated than at its construction. Builds
///   with a sanitizer always measure 0.
class HeapGauge {
 public:
  HeapGauge() : m_began(Allocated()) {}
  [[nodiscard]] std::size_t Grown() const {
    const std::size_t now = Allocated();
    return now > m_began ? now - m_began : 0;
  }

 private:
  static std::size_t Allocated() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
  }
  std::size_t m_began;
};

}  // namespace buckthornmux::tests
