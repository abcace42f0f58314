/// Readable difference of two configurations, and what takes force how.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "buckthornmux/detail/config/config.h"

namespace buckthornmux::config {

/// One difference.
struct Change {
  enum class Type : std::uint8_t { kAdded, kRemoved, kChanged };
  Type type = Type::kAdded;
  std::string subject;  ///< "target", "team", "kind" or "key".
  std::string name;
  std::string detail;  ///< Fields that changed, old -> new; may be empty.
  std::string effect;  ///< What takes force and how.
};

/// @brief Differences from one configuration to another, by subject and name.
/// Complexity: linear, but for sorting.
[[nodiscard]] std::vector<Change> DiffConfigs(const Config& from,
                                              const Config& to);

/// @brief One line: "+ target t9 [slots 8]: effect".
[[nodiscard]] std::string FormatChange(const Change& change);

/// @brief One bounded line for the audit trail: counts, then names.
[[nodiscard]] std::string Summarize(std::span<const Change> changes);

}  // namespace buckthornmux::config
