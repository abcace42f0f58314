#include <algorithm>

#include "buckthornmux/detail/core/archive.h"
#include "internal.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

using buckthornmux::serialize;

constexpr std::string_view kJobKey = "job/";
constexpr std::string_view kProgressKey = "progress/";
constexpr std::string_view kTargetsKey = "targets";

/// Stored once, when the job is taken.
struct StoredJob {
  JobSpec spec;
  WallMillis arrived = 0;
};

struct StoredTask {
  bool done = false;
  std::uint32_t next_run = 1;
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint;
};

struct StoredOccurrence {
  std::uint32_t number = 0;
  std::vector<std::vector<StoredTask>> steps;
};

/// Stored with each change that must last.
struct StoredProgress {
  std::uint8_t phase = 0;
  QueueName queue;
  TeamName team;
  std::uint32_t begun = 0;
  std::uint32_t done = 0;
  std::vector<StoredOccurrence> open;
};

StoredProgress ProgressOf(const Job& job) {
  StoredProgress stored{static_cast<std::uint8_t>(job.phase),
                        job.spec.queue,
                        job.spec.team,
                        job.occurrences_begun,
                        job.occurrences_done,
                        {}};
  for (const auto& [number, occurrence] : job.occurrences) {
    StoredOccurrence open{number, {}};
    for (const Step& step : occurrence.steps) {
      std::vector<StoredTask> tasks;
      for (const Task& task : step.tasks) {
        tasks.push_back({task.phase == TaskPhase::kDone, task.next_run,
                         task.failed_runs, task.checkpoint});
      }
      open.steps.push_back(std::move(tasks));
    }
    stored.open.push_back(std::move(open));
  }
  return stored;
}

void Restore(Job& job, const StoredOccurrence& stored) {
  Occurrence occurrence;
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    Step step;
    step.tasks.resize(job.spec.steps[i].count);
    if (i < stored.steps.size()) {
      for (std::size_t t = 0;
           t < std::min(step.tasks.size(), stored.steps[i].size()); ++t) {
        const StoredTask& from = stored.steps[i][t];
        Task& task = step.tasks[t];
        task.phase = from.done ? TaskPhase::kDone : TaskPhase::kWaiting;
        task.next_run = from.next_run;
        task.failed_runs = from.failed_runs;
        task.checkpoint = from.checkpoint;
        step.done += from.done ? 1U : 0U;
      }
    }
    occurrence.steps_done += step.done >= step.tasks.size() ? 1U : 0U;
    occurrence.steps.push_back(std::move(step));
  }
  job.occurrences.emplace(stored.number, std::move(occurrence));
}

struct Loaded {
  std::optional<StoredJob> job;
  std::optional<StoredProgress> progress;
};

void AddLoaded(Cell& cell, const JobId& id, Loaded loaded, Time now) {
  Job job;
  job.adopted = true;
  job.version = 1;
  job.durable = 1;
  job.arrived = now;
  job.spec.id = id;
  if (loaded.job) {
    job.spec = std::move(loaded.job->spec);
    job.spec_stored = true;
    job.arrived_wall = loaded.job->arrived;
    job.arrived = Time(Millis(job.arrived_wall - cell.wall_offset));
  }
  if (loaded.progress) {
    job.phase = static_cast<JobPhase>(loaded.progress->phase);
    job.spec.queue = loaded.progress->queue;
    job.spec.team = loaded.progress->team;
    job.occurrences_begun = loaded.progress->begun;
    job.occurrences_done = loaded.progress->done;
    for (const StoredOccurrence& open : loaded.progress->open) {
      Restore(job, open);
    }
  }
  if (const Queue* queue = QueueOf(cell, job.spec.queue)) {
    job.priority = queue->priority;
    job.objective = ObjectiveOf(*queue, job.spec);
  }
  if (job.Ended()) {
    job.started = true;
    job.end_version = 1;
    job.ended_at = now;
    cell.ended_jobs.emplace_back(now, id);
  } else if (job.phase == JobPhase::kRunning) {
    job.started = true;
  } else {
    ++cell.pending[job.spec.queue];
  }
  cell.jobs.emplace(id, std::move(job));
}

/// Adds what has to be written for one job.
void WriteJob(Batch& batch, Job& job) {
  const JobId& id = job.spec.id;
  const std::string progress_key = std::string(kProgressKey) + id;
  const std::string job_key = std::string(kJobKey) + id;
  if (job.forget) {
    batch.writes.push_back({progress_key, {}, true});
    return;
  }
  if (!job.spec_stored && !job.Ended()) {
    batch.writes.push_back(
        {job_key, EncodeBinary(StoredJob{job.spec, job.arrived_wall}), false});
    job.spec_stored = true;
  }
  if (job.version > 1) {
    batch.writes.push_back(
        {progress_key, EncodeBinary(ProgressOf(job)), false});
  }
  if (job.Ended() && job.spec_stored) {
    batch.writes.push_back({job_key, {}, true});
    job.spec_stored = false;
  }
}

void AnswerCalls(Actions& actions, Job& job) {
  for (const CallId call : job.submit_calls) {
    actions.emplace_back(AnswerSubmit{call, std::nullopt});
  }
  job.submit_calls.clear();
  if (job.Ended() && job.durable >= job.end_version) {
    for (const CallId call : job.cancel_calls) {
      actions.emplace_back(AnswerCancel{call, true});
    }
    job.cancel_calls.clear();
  }
}

}  // namespace

Result<std::size_t> LoadRecords(Cell& cell,
                                std::span<const RecordWrite> records,
                                Time now) {
  std::map<JobId, Loaded> found;
  for (const RecordWrite& record : records) {
    const std::string_view key = record.key;
    if (key.starts_with(kJobKey)) {
      BOOST_LEAF_AUTO(job, DecodeBinary<StoredJob>(record.value, key));
      found[JobId(key.substr(kJobKey.size()))].job = std::move(job);
    } else if (key.starts_with(kProgressKey)) {
      BOOST_LEAF_AUTO(progress,
                      DecodeBinary<StoredProgress>(record.value, key));
      found[JobId(key.substr(kProgressKey.size()))].progress =
          std::move(progress);
    } else if (key == kTargetsKey) {
      BOOST_LEAF_AUTO(targets,
                      DecodeBinary<std::vector<TargetId>>(record.value, key));
      cell.expected.insert(targets.begin(), targets.end());
    }
  }
  for (auto& [id, loaded] : found) {
    AddLoaded(cell, id, std::move(loaded), now);
  }
  return found.size();
}

std::optional<Batch> TakeBatch(Cell& cell, std::size_t max_writes, Time now) {
  const bool overdue =
      cell.dirty_since && now - *cell.dirty_since >= cell.options.write_delay;
  if (!cell.loaded ||
      (cell.dirty_urgent.empty() && !overdue && !cell.targets_dirty)) {
    return std::nullopt;
  }
  constexpr std::size_t kWritesOfOneJob = 3;
  Batch batch;
  if (cell.targets_dirty) {
    std::vector<TargetId> ids;
    for (const auto& [id, target] : cell.targets) {
      ids.push_back(id);
    }
    batch.writes.push_back(
        {std::string(kTargetsKey), EncodeBinary(ids), false});
    cell.targets_dirty = false;
  }
  const auto take = [&](std::set<JobId>& from) {
    while (!from.empty() &&
           batch.writes.size() + kWritesOfOneJob <= max_writes) {
      const JobId id = *from.begin();
      from.erase(from.begin());
      cell.dirty.erase(id);
      if (Job* job = FindJob(cell, id)) {
        WriteJob(batch, *job);
        batch.versions.emplace_back(id, job->version);
      }
    }
  };
  take(cell.dirty_urgent);
  take(cell.dirty);
  if (cell.dirty.empty()) {
    cell.dirty_since.reset();
  } else {
    cell.dirty_since = now;
  }
  return batch;
}

void BatchStored(Cell& cell, Actions& actions, const Batch& batch, Time now) {
  for (const auto& [id, version] : batch.versions) {
    Job* job = FindJob(cell, id);
    if (job == nullptr) {
      continue;
    }
    const bool first = job->durable == 0;
    job->durable = std::max(job->durable, version);
    AnswerCalls(actions, *job);
    if (job->forget) {
      cell.jobs.erase(id);
      continue;
    }
    if (first && !job->Ended()) {
      BeginDue(cell, actions, *job, now);
    }
  }
  for (auto& [id, target] : cell.targets) {
    AdvanceAcks(cell, target);
  }
}

}  // namespace buckthornmux::cell
