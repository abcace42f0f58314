/// Request targets: path and percent-encoded query, by Boost.URL.
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
  /// @return the value, or empty where it is not given
  [[nodiscard]] std::string_view Param(std::string_view name) const;

  /// @brief Value of a numeric query parameter.
  /// @return the number, or `fallback` where it is absent or not a number
  [[nodiscard]] std::uint64_t Number(std::string_view name,
                                     std::uint64_t fallback) const;
};

/// @brief Parses the target of a request line.
/// @return path and query; kMalformed where it is no origin-form target
[[nodiscard]] Result<RequestTarget> ParseTarget(std::string_view text);

/// @brief Formats a request target, with names and values percent-encoded.
/// @par Example
/// @code
/// FormatTarget({"/v1/kv", {{"prefix", "owners/"}}});
/// @endcode
[[nodiscard]] std::string FormatTarget(const RequestTarget& target);

}  // namespace buckthornmux::net
