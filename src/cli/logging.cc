#include "buckthornmux/detail/cli/logging.h"

#include <glog/logging.h>

#include <iomanip>
#include <ostream>

namespace buckthornmux::cli {
namespace {

constexpr int kYearBase = 1900;

void WritePrefix(std::ostream& out, const google::LogMessageInfo& info,
                 void* /*unused*/) {
  const google::LogMessageTime& time = info.time;
  out << "level=" << info.severity << " time=" << std::setfill('0')
      << kYearBase + time.year() << '-' << std::setw(2) << 1 + time.month()
      << '-' << std::setw(2) << time.day() << 'T' << std::setw(2) << time.hour()
      << ':' << std::setw(2) << time.min() << ':' << std::setw(2) << time.sec()
      << '.' << std::setw(6) << time.usec() << 'Z';
}

int LevelOf(const std::string& name) {
  if (name == "warning") {
    return google::GLOG_WARNING;
  }
  return name == "error" ? google::GLOG_ERROR : google::GLOG_INFO;
}

}  // namespace

void StartLogging(const config::Settings& settings) {
  FLAGS_log_utc_time = true;
  FLAGS_minloglevel = LevelOf(settings.log_level);
  FLAGS_logtostderr = settings.log_dir.empty();
  if (!settings.log_dir.empty()) {
    FLAGS_log_dir = settings.log_dir;
  }
  google::InitGoogleLogging("buckthornmux", &WritePrefix);
}

}  // namespace buckthornmux::cli
