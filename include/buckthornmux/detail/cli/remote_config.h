/// The configuration in force, as entry hosts show it to operators.
#pragma once

#include <span>

#include "buckthornmux/detail/cli/entry_client.h"
#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/config/diff.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::cli {

/// @brief Fetches the configuration in force, without salts and hashes.
[[nodiscard]] Result<config::Config> FetchConfig(EntryClient& client);

/// @brief JSON array of changes: type, subject, name, detail, effect.
[[nodiscard]] std::string ChangesJson(std::span<const config::Change> changes);

}  // namespace buckthornmux::cli
