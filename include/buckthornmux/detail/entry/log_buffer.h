/// Log lines on standard output, bounded and without ever blocking.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Keeps lines until the output takes them. What exceeds the bounds is
///   dropped and counted in a line of its own.
class LogBuffer {
 public:
  /// @param descriptor made non-blocking
  explicit LogBuffer(int descriptor);

  /// @brief Adds a line, with the time in front.
  void Append(std::string_view line);

  /// @brief Writes what the output takes now.
  void Flush();

 private:
  void AppendNow(std::string_view line);

  int m_descriptor;
  std::string m_text;
  std::uint64_t m_dropped = 0;
  std::int64_t m_second = 0;      ///< Of the wall clock, to bound the rate.
  std::uint64_t m_in_second = 0;  ///< Lines taken in it.
};

}  // namespace buckthornmux::entry
