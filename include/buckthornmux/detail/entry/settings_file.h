/// Reads the settings file of an entry host.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/entry/settings.h"

namespace buckthornmux::entry {

/// Decodes a settings file.
using SettingsParser =
    std::function<Result<HostSettings>(std::string_view text)>;

/// @brief Reads and decodes a settings file.
/// @return the settings; on failure kFileUnreadable or the parser's error
[[nodiscard]] Result<HostSettings> ReadSettings(const std::string& path,
                                                const SettingsParser& parse);

}  // namespace buckthornmux::entry
