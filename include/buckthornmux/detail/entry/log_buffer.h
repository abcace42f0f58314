/// Bounded, non-blocking buffer for log lines on standard output.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Buffers lines until the output accepts them. Lines that exceed the
///   limits are dropped, and a later line reports their number.
class LogBuffer {
 public:
  /// @param descriptor output file; it is set to non-blocking mode
  explicit LogBuffer(int descriptor);

  /// @brief Adds a line, prefixed with the time.
  void Append(std::string_view line);

  /// @brief Writes as much as the output accepts without blocking.
  void Flush();

 private:
  void AppendNow(std::string_view line);

  int m_descriptor;
  std::string m_text;
  std::uint64_t m_dropped = 0;
  std::int64_t m_second = 0;      ///< Current second, for the rate limit.
  std::uint64_t m_in_second = 0;  ///< Lines added in `m_second`.
};

}  // namespace buckthornmux::entry
