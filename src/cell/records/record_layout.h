/// Keys and limits of a cell's records, shared by the sources that use them.
#pragma once

#include <span>
#include <string_view>

#include "buckthornmux/detail/cell/state.h"

namespace buckthornmux::cell {

/// Keys and key prefixes of the records. One record holds several new jobs or
/// ends of jobs: the store accepts only some tens of records per write and is
/// slow at times, so one record per job would limit the rate of accepted jobs,
/// and a next owner would have to read many records.
inline constexpr std::string_view kJobsKey = "jobs/";
inline constexpr std::string_view kEndedKey = "ended/";
inline constexpr std::string_view kProgressKey = "progress/";
inline constexpr std::string_view kQueuesKey = "queues/";
inline constexpr std::string_view kTeamsKey = "teams/";
inline constexpr std::string_view kTargetsKey = "targets";
inline constexpr std::string_view kSilentKey = "silent";
inline constexpr std::string_view kCapacitiesKey = "capacities";
inline constexpr std::string_view kEndedRunsKey = "stopping";
/// Jobs are added to a record while it has fewer open jobs and bytes than this.
inline constexpr std::size_t kMaxBundleJobs = 16;
inline constexpr std::size_t kMaxBundleBytes = 8'000;

/// A target that a next owner must query. Its runs may continue without being
/// reported for `lasts` after the record was written or, if the writer may
/// renew them, after the writer's last possible renewal.
struct StoredTarget {
  TargetId id;
  Millis lasts{0};
};

/// By whom the runs of a stored target may have been started or renewed.
struct StoredRenewal {
  Epoch last_owner = 0;
  /// The writer may start and renew runs after the record, as its last owner.
  bool open = false;
};

/// Begins the list of targets. Those of earlier builds begin with the number of
/// targets and have nothing else.
inline constexpr std::uint64_t kTargetsFormat = ~std::uint64_t{0};

/// The list of targets.
struct StoredTargets {
  std::uint64_t format = kTargetsFormat;
  std::vector<StoredTarget> targets;
  std::vector<StoredRenewal> renewals;  ///< One for each of `targets`.
  /// How long owners in a row, the writer being the last, had not recovered.
  Millis unrecovered{0};
};

/// A target that has stopped answering or drains, and all runs that it may
/// have.
struct StoredSilentTarget {
  TargetId id;
  std::string address;
  std::int64_t life = 0;
  std::vector<RunId> runs;
};

/// Written together with the list of targets. Valid only for the owner that
/// follows the writer: a later one can't tell whether it is outdated.
struct StoredSilentTargets {
  Epoch epoch = 0;  ///< Of the owner that wrote it.
  std::vector<StoredSilentTarget> targets;
};

/// Runs of a step of a job that ended while it had them. The end of a job is
/// stored without its steps.
struct StoredEndedRuns {
  JobId job;
  std::uint32_t step = 0;
  std::uint32_t count = 0;
  Resources charged;  ///< For each.
};

/// The largest capacities that the targets of a service have had.
struct StoredCapacities {
  std::string service;
  std::vector<Resources> largest;
};

/// @brief Takes over the largest capacities that former owners have seen.
void InheritCapacities(Cell& cell, std::vector<StoredCapacities> stored);

/// @brief Parses a list of targets. One of an earlier build doesn't tell whose
///   orders its targets may have: those of every former owner.
/// Errors: kMalformed
[[nodiscard]] Result<StoredTargets> DecodeTargets(const Cell& cell,
                                                  std::string_view value,
                                                  std::string_view key);

/// @brief Takes over the targets that may have runs of former owners.
void InheritTargets(Cell& cell, const StoredTargets& stored);

/// @brief Takes over the targets whose runs the former owner knew, so that jobs
///   don't wait for the reports of these targets.
void InheritSilentTargets(Cell& cell, const StoredSilentTargets& stored,
                          Time now);

/// @brief Takes over the runs that jobs still had when they ended.
void InheritEndedRuns(Cell& cell, std::span<const StoredEndedRuns> stored);

/// @brief Adds the runs of ended jobs to a batch.
void WriteEndedRuns(Cell& cell, Batch& batch);

/// @brief Adds the list of targets to a batch.
void WriteTargets(Cell& cell, Batch& batch, Time now);

}  // namespace buckthornmux::cell
