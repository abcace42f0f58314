/// Small helpers of the stand-ins' HTTP and JSON.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "buckthornmux/detail/net/http_types.h"

namespace buckthornmux::standins {

/// @brief Answer with a JSON body.
[[nodiscard]] net::HttpResponse JsonAnswer(int status,
                                           const boost::json::value& body);

/// @brief Answer {"error": name}.
[[nodiscard]] net::HttpResponse ErrorAnswerOf(int status,
                                              std::string_view name);

/// @brief Parses a body that must be a JSON object.
[[nodiscard]] std::optional<boost::json::object> ParseObject(
    std::string_view text);

/// @brief Integer member, or the fallback where there is none.
[[nodiscard]] std::int64_t IntegerAt(const boost::json::object& object,
                                     std::string_view name,
                                     std::int64_t fallback);

/// @brief String member, or empty.
[[nodiscard]] std::string StringAt(const boost::json::object& object,
                                   std::string_view name);

/// @brief Boolean member, or the fallback where there is none.
[[nodiscard]] bool BoolAt(const boost::json::object& object,
                          std::string_view name, bool fallback);

/// @brief Milliseconds of the steady clock.
[[nodiscard]] Time SteadyNow();

/// @brief Milliseconds since the Unix epoch.
[[nodiscard]] WallMillis WallNow();

}  // namespace buckthornmux::standins
