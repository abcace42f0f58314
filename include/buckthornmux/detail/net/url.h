/// HTTP request targets, a path and a percent-encoded query, using Boost.URL.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::net {

/// Path and decoded query of a request target.
struct RequestTarget {
  std::string path;
  std::map<std::string, std::string, std::less<>> query;

  /// @brief Value of a query parameter.
  /// @return the value, or empty if it is absent
  [[nodiscard]] std::string_view Param(std::string_view name) const;

  /// @brief Value of a numeric query parameter.
  /// @return the number, or `fallback` if it is absent or not a number
  [[nodiscard]] std::uint64_t Number(std::string_view name,
                                     std::uint64_t fallback) const;
};

/// @brief Parses the target of a request line.
/// @return path and query; kMalformed if it is not in origin form
[[nodiscard]] Result<RequestTarget> ParseTarget(std::string_view text);

/// @brief Formats a request target, percent-encoding names and values.
/// @par Example
/// @code
/// FormatTarget({"/v1/kv", {{"prefix", "owners/"}}});
/// @endcode
[[nodiscard]] std::string FormatTarget(const RequestTarget& target);

}  // namespace buckthornmux::net
