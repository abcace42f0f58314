/// Where log lines go, by glog.
#pragma once

#include "buckthornmux/detail/config/settings.h"

namespace buckthornmux::cli {

/// @brief Sets logging up, once in a process: to standard error, or to files
///   in Settings::log_dir; lines start with level= and time= in UTC.
void StartLogging(const config::Settings& settings);

}  // namespace buckthornmux::cli
