// Memory that jobs take. What a job may take at most is known when it is
// submitted: its occurrences and tasks without objects take none.
#include "buckthornmux/detail/core/invariant.h"
#include "src/cell/internal.h"

namespace buckthornmux::cell {
namespace {

/// Overhead of a node of a map, its allocation and indices, bytes.
constexpr std::size_t kNodeBytes = 96;

std::size_t BytesOf(const StepSpec& step) {
  return sizeof(StepSpec) + step.label.capacity() + step.data_rack.capacity() +
         step.image.capacity() + step.after.capacity() * sizeof(step.after[0]);
}

}  // namespace

std::size_t BytesOf(const JobSpec& spec, bool ended) {
  std::size_t bytes = sizeof(Job) + 3 * kNodeBytes + spec.id.capacity() +
                      spec.queue.capacity() + spec.team.capacity() +
                      spec.payload.capacity();
  for (const StepSpec& step : spec.steps) {
    bytes += BytesOf(step);
    bytes += ended ? 0 : sizeof(Step) + sizeof(Millis) + kNodeBytes;
  }
  return bytes;
}

void CountBytes(Cell& cell, Job& job) {
  const std::size_t bytes = BytesOf(job.spec, job.Ended());
  std::size_t& of_team = cell.usage[job.spec.team].job_bytes;
  cell.job_bytes += bytes - job.bytes;
  of_team += bytes - job.bytes;
  job.bytes = bytes;
}

void DropJob(Cell& cell, const JobId& id) {
  const auto found = cell.jobs.find(id);
  if (found == cell.jobs.end()) {
    return;
  }
  const Job& job = found->second;
  Invariant(cell.job_bytes >= job.bytes, "job_bytes_cover_each_job", id);
  cell.job_bytes -= job.bytes;
  cell.usage[job.spec.team].job_bytes -= job.bytes;
  cell.jobs.erase(found);
}

}  // namespace buckthornmux::cell
