/// Serialization of a cell's durable job state.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/cell/state.h"

namespace buckthornmux::cell {

/// A job as it was accepted.
struct StoredJob {
  JobSpec spec;
  WallMillis arrived = 0;
};

/// Stored state of an ended job.
struct StoredEnd {
  JobId id;
  JobPhase phase = JobPhase::kCompleted;
  QueueName queue;
  TeamName team;
};

/// Consecutive tasks of a step that have the same state.
struct StoredTasks {
  std::uint32_t count = 0;
  bool done = false;
  std::uint32_t next_run = 1;
  std::vector<std::uint32_t> failed_runs;
  std::vector<TaskCrash> crashes;
  std::string checkpoint;
};

struct StoredOccurrence {
  std::uint32_t number = 0;
  std::vector<std::vector<StoredTasks>> steps;
};

/// Stored progress of an open job.
struct StoredProgress {
  JobPhase phase = JobPhase::kQueued;
  std::uint32_t begun = 0;
  std::uint32_t done = 0;
  std::vector<StoredOccurrence> open;
  /// Open occurrences that wait alike, see Job::shelved. Written only if there
  /// are any; earlier builds don't know it.
  std::map<DoneSteps, NumberRanges> shelved;
};

/// @brief Returns an upper bound on the bytes that a job adds to a record.
[[nodiscard]] std::size_t StoredBytes(const JobSpec& spec);

[[nodiscard]] std::string EncodeJobs(const std::vector<StoredJob>& jobs);
[[nodiscard]] std::string EncodeEnds(const std::vector<StoredEnd>& ends);
[[nodiscard]] std::string EncodeProgress(const StoredProgress& progress);

/// @brief Parse encoded records; errors: kMalformed.
/// @param what name of the record for error messages
[[nodiscard]] Result<std::vector<StoredJob>> DecodeJobs(std::string_view bytes,
                                                        std::string_view what);
[[nodiscard]] Result<std::vector<StoredEnd>> DecodeEnds(std::string_view bytes,
                                                        std::string_view what);
/// @param open receives what was read so far and the open occurrences, one at a
///   time, since a record of an earlier build may have more of them than fit
///   into memory
/// @return the progress without open occurrences
[[nodiscard]] Result<StoredProgress> DecodeProgress(
    std::string_view bytes, std::string_view what,
    const std::function<void(const StoredProgress&, StoredOccurrence&)>& open);

}  // namespace buckthornmux::cell
