/// A job's status as entry hosts show it.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/cli/entry_client.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::cli {

/// One line of a job's history.
struct JobViewStep {
  WallMillis at = 0;
  std::string what;
};

/// GET /v1/jobs/<id>, and the answer to a submit.
struct JobView {
  std::string id;
  std::string phase;
  std::string ran;
  std::string error;  ///< Name; empty where there is none.
  std::vector<std::string> results;
  std::vector<JobViewStep> history;
};

/// @brief Parses a job's status; kMalformed otherwise.
[[nodiscard]] Result<JobView> ParseJobView(std::string_view body);

/// @brief Fetches a job's status as JSON text.
/// @param client key of the job's team
/// @param id the caller's id of the job
/// @param kind for a job that was submitted without a key, else empty
/// @param wait for the job's end, at most this long
[[nodiscard]] Result<std::string> FetchJob(EntryClient& client,
                                           const std::string& id,
                                           const std::string& kind,
                                           Millis wait);

/// @brief Whether a phase is the last one.
[[nodiscard]] bool IsEnded(const JobView& job);

/// @brief Prints phase, results and history.
void PrintJob(const JobView& job, std::ostream& out);

/// @brief Exit code for a job's status: 0 unless it failed or was cancelled.
[[nodiscard]] int ExitCodeOf(const JobView& job);

}  // namespace buckthornmux::cli
