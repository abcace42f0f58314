/// One entry host's process on the users' platform.
#pragma once

#include <string>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::entry {

/// @brief Runs until SIGTERM or SIGINT; SIGHUP reads the settings again.
/// @param settings_path of the platform's settings file
/// @return exit code; kFileUnreadable or kMalformed for the settings
[[nodiscard]] Result<int> RunHost(const std::string& settings_path);

}  // namespace buckthornmux::entry
