#include "buckthornmux/detail/runtime/log_line.h"

#include <glog/logging.h>

#include <iomanip>
#include <sstream>
#include <utility>

namespace buckthornmux::runtime {

namespace {

LogSink& Sink() {
  static LogSink sink;
  return sink;
}

}  // namespace

void SetLogSink(LogSink sink) { Sink() = std::move(sink); }

LogLine::LogLine(std::string_view event, Level level) : m_level(level) {
  m_text = "event=" + std::string(event);
}

LogLine::~LogLine() {
  if (Sink()) {
    constexpr std::string_view kLevels[] = {"info", "warning", "error"};
    Sink()("level=" + std::string(kLevels[static_cast<std::size_t>(m_level)]) +
           ' ' + m_text);
    return;
  }
  switch (m_level) {
    case Level::kInfo:
      LOG(INFO) << m_text;
      break;
    case Level::kWarning:
      LOG(WARNING) << m_text;
      break;
    case Level::kError:
      LOG(ERROR) << m_text;
      break;
  }
}

LogLine& LogLine::With(std::string_view key, std::string_view value) {
  m_text += ' ';
  m_text += key;
  m_text += '=';
  if (value.find_first_of(" \"=\n") == std::string_view::npos) {
    m_text += value;
  } else {
    std::ostringstream quoted;
    quoted << std::quoted(value);
    m_text += quoted.str();
  }
  return *this;
}

LogLine& LogLine::With(std::string_view key, std::int64_t value) {
  return With(key, std::to_string(value));
}

LogLine& LogLine::With(std::string_view key, std::uint64_t value) {
  return With(key, std::to_string(value));
}

}  // namespace buckthornmux::runtime
