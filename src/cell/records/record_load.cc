#include <algorithm>

#include "buckthornmux/detail/core/archive.h"
#include "src/cell/admission/kept.h"
#include "src/cell/admission/permissions.h"
#include "src/cell/admission/queues.h"
#include "src/cell/internal.h"
#include "src/cell/records/record_codec.h"
#include "src/cell/records/record_layout.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

/// Whether a task is as if it had never been started: the first run of this
/// epoch has a higher number than any that a former owner can have used.
bool IsUnstarted(const StoredTasks& stored, std::uint32_t first_run) {
  return stored.next_run + kTakeoverRunNumberGap <= first_run &&
         stored.failed_runs.empty() && stored.crashes.empty() &&
         stored.checkpoint.empty();
}

void Restore(Step& step, const std::vector<StoredTasks>& stored) {
  std::uint32_t next = 0;
  for (const StoredTasks& from : stored) {
    const std::uint32_t count = std::min(from.count, step.tasks.Count() - next);
    if (from.done && count > 0) {
      step.tasks.MarkDone(next, next + count - 1);
      step.done += count;
    } else if (!IsUnstarted(from, step.tasks.FirstRun())) {
      for (std::uint32_t i = next; i < next + count; ++i) {
        Task& task = step.tasks.Get(i);
        task.next_run = from.next_run;
        task.failed_runs = from.failed_runs;
        task.crashes = from.crashes;
        task.checkpoint = from.checkpoint;
      }
    }
    next += count;
  }
}

void Restore(Cell& cell, Job& job, const StoredOccurrence& stored) {
  Occurrence occurrence = MakeOccurrence(cell, job);
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    Step& step = occurrence.steps[i];
    if (i < stored.steps.size()) {
      Restore(step, stored.steps[i]);
    }
    occurrence.steps_done += step.done >= step.tasks.Count() ? 1U : 0U;
  }
  RestoreOccurrence(cell, job, stored.number, std::move(occurrence));
}

void RestoreProgress(Cell& cell, Job& job, const StoredProgress& progress) {
  job.phase = progress.phase;
  job.occurrences_begun = progress.begun;
  job.occurrences_done = progress.done;
  job.progress_stored = true;
  for (const auto& [done, numbers] : progress.shelved) {
    for (const auto& [first, last] : numbers.Ranges()) {
      RestoreShelf(cell, job, done, first, last);
    }
  }
}

Job& AddAdopted(Cell& cell, const JobId& id, Time now) {
  Job& job = cell.jobs[id];
  job.adopted = true;
  job.version = 1;
  job.durable = 1;
  job.arrived = now;
  job.spec.id = id;
  return job;
}

void LoadEnds(Cell& cell, const std::string& key, std::vector<StoredEnd> ends,
              Time now) {
  EndBundle bundle{key, {}, now, now, true};
  for (StoredEnd& end : ends) {
    if (cell.jobs.contains(end.id)) {
      continue;
    }
    bundle.jobs.push_back(end.id);
    Job& job = AddAdopted(cell, end.id, now);
    job.phase = end.phase;
    job.spec.queue = std::move(end.queue);
    job.spec.team = std::move(end.team);
    job.started = true;
    job.end_version = 1;
    job.end_stored = true;
    job.ended_at = now;
    CountBytes(cell, job);
  }
  cell.bundles.ends.push_back(std::move(bundle));
}

/// Loads a record of jobs. Jobs that have ended, or are in another record too,
/// don't count as open jobs of this one; `stored_in` of an open job names the
/// record that it belongs to.
void LoadJobs(Cell& cell, const RecordWrite& record,
              std::vector<StoredJob> jobs, Time now) {
  JobBundle bundle;
  bundle.bytes = record.value.size();
  for (StoredJob& stored : jobs) {
    const JobId id = stored.spec.id;
    bundle.jobs.push_back(id);
    if (Job* known = FindJob(cell, id)) {
      if (known->stored_in.empty()) {
        known->stored_in = record.key;
      }
      continue;
    }
    Job& job = AddAdopted(cell, id, now);
    job.spec = std::move(stored.spec);
    job.stored_in = record.key;
    job.arrived_wall = stored.arrived;
    job.arrived = Time(Millis(job.arrived_wall - cell.wall_offset));
    ++bundle.open;
    CountBytes(cell, job);
  }
  cell.bundles.jobs[record.key] = std::move(bundle);
}

/// Sets the values of an open job that derive from its queue.
void Adopt(Cell& cell, Job& job, Time now) {
  if (const Queue* queue = FindQueue(cell, job.spec.queue)) {
    KeepQueue(cell, *queue, now);
  }
  KeepTeam(cell, job.spec.team, now);
  if (const Queue* queue = QueueOf(cell, job)) {
    job.priority = queue->priority;
    job.objective = ObjectiveOf(*queue, job.spec);
  }
  if (job.phase == JobPhase::kRunning) {
    job.started = true;
  } else {
    ++cell.pending[job.spec.queue];
  }
}

/// Schedules records of a former owner for compaction or erasure.
void ScheduleCleanup(Cell& cell) {
  for (const auto& [key, bundle] : cell.bundles.jobs) {
    if (bundle.open == 0) {
      cell.bundles.erasures.push_back({key, {}});
    } else if (bundle.open < kMaxBundleJobs / 2 ||
               bundle.open < bundle.jobs.size()) {
      cell.bundles.to_compact.insert(key);
    }
  }
}

}  // namespace

Result<std::size_t> LoadRecords(Cell& cell,
                                std::span<const RecordWrite> records,
                                Time now) {
  cell.jobs.reserve(records.size());
  for (const RecordWrite& record : records) {
    if (record.key.starts_with(kEndedKey)) {
      BOOST_LEAF_AUTO(ends, DecodeEnds(record.value, record.key));
      LoadEnds(cell, record.key, std::move(ends), now);
    }
  }
  for (const RecordWrite& record : records) {
    if (record.key.starts_with(kJobsKey)) {
      BOOST_LEAF_AUTO(jobs, DecodeJobs(record.value, record.key));
      LoadJobs(cell, record, std::move(jobs), now);
    }
  }
  StoredSilentTargets silent;
  for (const RecordWrite& record : records) {
    const std::string_view key = record.key;
    bool valid_key = true;
    if (key.starts_with(kProgressKey)) {
      // Progress of unknown or ended jobs is ignored.
      Job* job = FindJob(cell, key.substr(kProgressKey.size()));
      job = job != nullptr && job->Ended() ? nullptr : job;
      BOOST_LEAF_AUTO(progress,
                      DecodeProgress(record.value, key,
                                     [&](const StoredProgress& read,
                                         const StoredOccurrence& open) {
                                       if (job != nullptr) {
                                         job->occurrences_begun = read.begun;
                                         Restore(cell, *job, open);
                                       }
                                     }));
      if (job != nullptr) {
        RestoreProgress(cell, *job, progress);
      }
    } else if (key == kTargetsKey) {
      BOOST_LEAF_AUTO(targets, DecodeTargets(cell, record.value, key));
      InheritTargets(cell, targets);
    } else if (key.starts_with(kQueuesKey)) {
      BOOST_LEAF_AUTO(queue, DecodeBinary<Queue>(record.value, key));
      valid_key =
          Inherit(cell, cell.kept_queues, kQueuesKey, key, std::move(queue));
    } else if (key.starts_with(kTeamsKey)) {
      BOOST_LEAF_AUTO(keys, DecodeBinary<TeamKeys>(record.value, key));
      valid_key =
          Inherit(cell, cell.kept_teams, kTeamsKey, key, std::move(keys));
    } else if (key == kCapacitiesKey) {
      BOOST_LEAF_AUTO(capacities, DecodeBinary<std::vector<StoredCapacities>>(
                                      record.value, key));
      InheritCapacities(cell, std::move(capacities));
    } else if (key == kEndedRunsKey) {
      BOOST_LEAF_AUTO(
          ended, DecodeBinary<std::vector<StoredEndedRuns>>(record.value, key));
      InheritEndedRuns(cell, ended);
    } else if (key == kSilentKey) {
      BOOST_LEAF_ASSIGN(silent,
                        DecodeBinary<StoredSilentTargets>(record.value, key));
    }
    if (!valid_key) {
      return Fail(ErrorKind::kMalformed, "malformed record key: " + record.key);
    }
  }
  for (auto& [id, job] : cell.jobs) {
    if (!job.Ended()) {
      Adopt(cell, job, now);
    }
  }
  InheritSilentTargets(cell, silent, now);
  ScheduleCleanup(cell);
  if (!cell.bundles.erasures.empty()) {
    cell.writes.since = now;
  }
  return cell.jobs.size();
}

}  // namespace buckthornmux::cell
