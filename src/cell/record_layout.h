/// Keys of a cell's records, and what more than one of its sources needs.
#pragma once

#include <string_view>

#include "buckthornmux/detail/cell/state.h"

namespace buckthornmux::cell {

/// New jobs, and ends of jobs, share records: a store that takes some tens of
/// records a write, and is slow at times, would else bound the rate at which
/// jobs are taken, and a next owner would read very many.
inline constexpr std::string_view kJobsKey = "jobs/";
inline constexpr std::string_view kEndedKey = "ended/";
inline constexpr std::string_view kProgressKey = "progress/";
inline constexpr std::string_view kTargetsKey = "targets";
/// A record is added to while it has fewer open jobs and bytes than this.
inline constexpr std::size_t kFullBundle = 16;
inline constexpr std::size_t kFullBundleBytes = 8'000;

/// A target that a next owner has to ask, and for how long from its claim on
/// what runs there may go on unseen.
struct StoredTarget {
  TargetId id;
  Millis lasts{0};
};

/// @brief Adds the list of targets to a batch.
void WriteTargets(Cell& cell, Batch& batch, Time now);

}  // namespace buckthornmux::cell
