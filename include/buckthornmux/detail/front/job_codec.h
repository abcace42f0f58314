/// Callers' JSON: jobs asked for and what is answered.
#pragma once

#include <string>
#include <string_view>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/home/home.h"

namespace buckthornmux::front {

/// Bounds of a submitted job.
inline constexpr std::size_t kMaxIdBytes = 128;
inline constexpr std::size_t kMaxPayloadBytes = 256 * 1024;
inline constexpr std::int64_t kMaxTasks = 4096;
inline constexpr Millis kMaxDeadline{14 * 24 * 3'600'000LL};
inline constexpr Millis kDefaultUrgentDeadline{10'000};

/// @brief Parses and checks POST /v1/jobs.
/// @param text body
/// @param config in force; gives the kind's defaults
/// @param now wall time, from which the deadline counts
/// @return the request without its team; kMalformed or kUnknownField with the
///   path and the expected form; kTooLarge; kKindRefused for an undeclared kind
[[nodiscard]] Result<home::JobRequest> ParseJob(std::string_view text,
                                                const config::Config& config,
                                                WallMillis now);

/// @brief Decides for which team a job is taken.
/// @param kind declared kind
/// @param key key that came with the request; null: none or no good one
/// @return the team; kKeyRefused or kKindRefused
/// Only a queue open to all takes work without a key.
[[nodiscard]] Result<TeamName> TeamFor(const config::WorkKind& kind,
                                       const config::TeamKey* key);

/// @brief Finds a declared kind; null where there is none.
[[nodiscard]] const config::WorkKind* FindKind(const config::Config& config,
                                               std::string_view name);

/// @brief JSON of a job's status.
[[nodiscard]] std::string StatusJson(const home::JobStatus& status);

/// @brief JSON of an error: error, code, message, ran, retry_after_ms.
[[nodiscard]] std::string ErrorJson(ErrorKind kind, std::string_view message,
                                    Ran ran, Millis retry_after);

/// @brief Name of a phase in answers.
[[nodiscard]] std::string_view PhaseName(home::JobPhase phase);

}  // namespace buckthornmux::front
