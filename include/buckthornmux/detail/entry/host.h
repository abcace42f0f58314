/// Process of an entry host on the users' platform.
#pragma once

#include <string>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::entry {

/// @brief Runs until SIGTERM or SIGINT; SIGHUP reloads the settings.
/// @param settings_path path of the platform's settings file
/// @return exit code; kFileUnreadable or kMalformed for the settings
[[nodiscard]] Result<int> RunHost(const std::string& settings_path);

}  // namespace buckthornmux::entry
