/// One log line of key=value pairs for each event, by glog.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace buckthornmux::runtime {

/// Takes finished lines in place of glog.
using LogSink = std::function<void(std::string_view line)>;

/// @brief Directs all lines of the process to a sink; an empty one: to glog.
///   To be called before other threads log.
void SetLogSink(LogSink sink);

/// @brief Builds a line; written when it goes out of scope.
/// @par Example
/// @code
/// LogLine("range_gained").With("range", range).With("epoch", epoch);
/// @endcode
class LogLine {
 public:
  enum class Level : std::uint8_t { kInfo, kWarning, kError };

  /// @param event name of the event, in snake case
  /// @param level severity
  explicit LogLine(std::string_view event, Level level = Level::kInfo);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// @brief Adds a pair; values with blanks or quotes are quoted.
  LogLine& With(std::string_view key, std::string_view value);
  LogLine& With(std::string_view key, std::int64_t value);
  LogLine& With(std::string_view key, std::uint64_t value);

 private:
  Level m_level;
  std::string m_text;
};

}  // namespace buckthornmux::runtime
