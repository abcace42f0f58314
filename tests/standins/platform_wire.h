/// Messages of the users' platform, as its stand-in writes and reads them.
#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "buckthornmux/detail/net/http_types.h"
#include "standins/sim_target.h"

namespace buckthornmux::standins {

inline constexpr std::string_view kHostName = "day.example";
inline constexpr std::string_view kService = "service";

/// @brief Path of a job's calls.
[[nodiscard]] std::string PathOf(const cell::JobSpec& spec);
/// @brief Body that hands a job in.
[[nodiscard]] std::string JobJson(const cell::JobSpec& spec);
/// @brief A queue in the operators' configuration.
[[nodiscard]] boost::json::object QueueJson(const cell::Queue& queue);
/// @brief Parses "job.occurrence.step.index".
[[nodiscard]] cell::TaskId ParseTask(const std::string& name);
/// @brief A target's answer that lists its runs.
[[nodiscard]] net::HttpResponse ReportJson(const cell::TargetReport& report);
/// @brief A target's refusal.
[[nodiscard]] net::HttpResponse Conflict(const SimTarget& target, Time now,
                                         std::string_view reason);
/// @brief Word for why a start was refused.
[[nodiscard]] std::string_view ReasonOf(cell::OrderOutcome outcome);

}  // namespace buckthornmux::standins
