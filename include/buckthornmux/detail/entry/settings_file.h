/// Reads the settings file of an entry host.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/entry/settings.h"

namespace buckthornmux::entry {

/// How a settings file is decoded.
using SettingsParser =
    std::function<Result<HostSettings>(std::string_view text)>;

/// @brief Reads and decodes a settings file.
/// @return the settings; kFileUnreadable, or the parser's error
[[nodiscard]] Result<HostSettings> ReadSettings(const std::string& path,
                                                const SettingsParser& parse);

}  // namespace buckthornmux::entry
