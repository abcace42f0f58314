/// The configuration as JSON text: as stored, and as shown to operators.
#pragma once

#include <string>
#include <string_view>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::config {

/// Largest stored form: the store takes values up to a megabyte.
inline constexpr std::size_t kMaxStoredBytes = 1'000'000;

/// @brief Stored form, compact; the revision is the store's and stays out.
[[nodiscard]] std::string EncodeConfig(const Config& config);

/// @brief Form for operators: as stored, without salts, hashes and audit.
[[nodiscard]] std::string EncodeForOperators(const Config& config);

/// @brief Parses either form. Fields that a newer release has added are passed
///   over, so that releases can be mixed while they are replaced.
/// @param text JSON
/// @param revision of the store key that held it
/// @return the configuration; kMalformed or kConfigInvalid otherwise
[[nodiscard]] Result<Config> DecodeConfig(std::string_view text,
                                          Revision revision);

/// @brief Name of a class in documents: "urgent", "patient" or "service".
[[nodiscard]] std::string_view ClassName(WorkClass work_class);

}  // namespace buckthornmux::config
