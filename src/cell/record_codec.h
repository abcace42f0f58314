/// Stored form of what must last of a cell's jobs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/cell/state.h"

namespace buckthornmux::cell {

/// A job as it was taken.
struct StoredJob {
  JobSpec spec;
  WallMillis arrived = 0;
};

/// All that is told of a job that has ended.
struct StoredEnd {
  JobId id;
  JobPhase phase = JobPhase::kCompleted;
  QueueName queue;
  TeamName team;
};

/// Neighbouring tasks of a step in the same state.
struct StoredTasks {
  std::uint32_t count = 0;
  bool done = false;
  std::uint32_t next_run = 1;
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint;
};

struct StoredOccurrence {
  std::uint32_t number = 0;
  std::vector<std::vector<StoredTasks>> steps;
};

/// What has become of an open job.
struct StoredProgress {
  JobPhase phase = JobPhase::kQueued;
  std::uint32_t begun = 0;
  std::uint32_t done = 0;
  std::vector<StoredOccurrence> open;
};

/// @brief Upper bound of what a job adds to a record.
[[nodiscard]] std::size_t StoredBytes(const JobSpec& spec);

[[nodiscard]] std::string EncodeJobs(const std::vector<StoredJob>& jobs);
[[nodiscard]] std::string EncodeEnds(const std::vector<StoredEnd>& ends);
[[nodiscard]] std::string EncodeProgress(const StoredProgress& progress);

/// @brief Parse the above; kMalformed otherwise.
/// @param what named in the error
[[nodiscard]] Result<std::vector<StoredJob>> DecodeJobs(std::string_view bytes,
                                                        std::string_view what);
[[nodiscard]] Result<std::vector<StoredEnd>> DecodeEnds(std::string_view bytes,
                                                        std::string_view what);
[[nodiscard]] Result<StoredProgress> DecodeProgress(std::string_view bytes,
                                                    std::string_view what);

}  // namespace buckthornmux::cell
