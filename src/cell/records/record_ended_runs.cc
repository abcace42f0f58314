// Runs that jobs still have when they end. A next owner has to count them for
// their teams until they have been stopped.
#include <vector>

#include "buckthornmux/detail/core/archive.h"
#include "src/cell/records/record_layout.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

/// Encoded numbers of the runs of one step.
constexpr std::size_t kEndedRunsBytes = 56;

}  // namespace

void InheritEndedRuns(Cell& cell, std::span<const StoredEndedRuns> stored) {
  for (const StoredEndedRuns& runs : stored) {
    cell.unknown.of_ended_jobs[{runs.job, runs.step}] = {runs.count,
                                                         runs.charged};
  }
  cell.ended_runs_stored = !stored.empty();
}

void WriteEndedRuns(Cell& cell, Batch& batch) {
  EndedRunsBySteps all = cell.ended_runs;
  for (const auto& [step, runs] : cell.unknown.of_ended_jobs) {
    EndedRuns& sum = all[step];
    sum = {sum.count + runs.count, runs.charged};
  }
  cell.ended_runs_dirty = false;
  if (all.empty() && !cell.ended_runs_stored) {
    return;
  }
  cell.ended_runs_stored = !all.empty();
  std::vector<StoredEndedRuns> stored;
  stored.reserve(all.size());
  std::size_t bytes = 0;
  for (const auto& [step, runs] : all) {
    bytes += kEndedRunsBytes + step.first.size();
    if (bytes > cell.options.max_value_bytes) {
      batch.omitted.push_back({std::string(kEndedRunsKey), bytes});
      break;
    }
    stored.push_back({step.first, step.second, runs.count, runs.charged});
  }
  batch.writes.push_back(
      {std::string(kEndedRunsKey), EncodeBinary(stored), false});
}

}  // namespace buckthornmux::cell
