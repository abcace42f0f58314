/// Finds fields that stand twice in one JSON object, which a parser drops
/// silently: a merge in version control that went wrong would take half of a
/// list away.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace buckthornmux::config {

/// @brief JSON pointers of fields that stand more than once in their object.
/// @param text JSON; reading stops at the first syntax error
/// Complexity: one pass over the text.
[[nodiscard]] std::vector<std::string> DuplicateFields(std::string_view text);

}  // namespace buckthornmux::config
