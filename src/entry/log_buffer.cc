#include "buckthornmux/detail/entry/log_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>

#include "buckthornmux/detail/entry/clock.h"

namespace buckthornmux::entry {
namespace {

constexpr std::size_t kMaxBytes = std::size_t{256} * 1024;
constexpr std::uint64_t kMaxLinesPerSecond = 2000;
/// Limit for lines about a single job, within kMaxLinesPerSecond. They are the
/// most frequent ones and must not displace lines about ownership and
/// connections.
constexpr std::uint64_t kMaxJobLinesPerSecond = 1500;
constexpr std::string_view kJobField = " job=";
constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

LogBuffer::LogBuffer(int descriptor) : m_descriptor(descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void LogBuffer::AppendNow(std::string_view line) {
  const auto wall = std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
  m_text += "time_ms=";
  m_text += std::to_string(wall.count());
  m_text += ' ';
  m_text += line;
  m_text += '\n';
}

void LogBuffer::Append(std::string_view line) {
  const std::int64_t second =
      Now().time_since_epoch().count() / kMillisPerSecond;
  if (second != m_second) {
    m_second = second;
    m_in_second = 0;
  }
  const std::uint64_t max_lines = line.find(kJobField) == std::string_view::npos
                                      ? kMaxLinesPerSecond
                                      : kMaxJobLinesPerSecond;
  if (m_text.size() + line.size() > kMaxBytes || m_in_second >= max_lines) {
    ++m_dropped;
    return;
  }
  if (m_dropped > 0) {
    AppendNow("level=warning event=log_lines_dropped count=" +
              std::to_string(m_dropped));
    m_dropped = 0;
  }
  ++m_in_second;
  AppendNow(line);
}

/// Writes whole lines, in chunks that a pipe accepts atomically.
void LogBuffer::Flush() {
  std::size_t done = 0;
  while (done < m_text.size()) {
    std::size_t size = std::min<std::size_t>(PIPE_BUF, m_text.size() - done);
    const std::size_t last = m_text.rfind('\n', done + size - 1);
    if (last != std::string::npos && last >= done) {
      size = last + 1 - done;
    }
    const ssize_t written = write(m_descriptor, m_text.data() + done, size);
    if (written <= 0) {
      break;  // Full or without a reader; the next flush retries.
    }
    done += static_cast<std::size_t>(written);
  }
  m_text.erase(0, done);
}

}  // namespace buckthornmux::entry
