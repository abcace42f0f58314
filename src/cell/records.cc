#include <algorithm>

#include "buckthornmux/detail/core/archive.h"
#include "internal.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

using buckthornmux::serialize;

/// New jobs, and ends of jobs, that were written together share one record: a
/// store that takes some tens of records a write, and is slow at times, would
/// else bound the rate at which jobs are taken.
constexpr std::string_view kJobsKey = "jobs/";
constexpr std::string_view kEndedKey = "ended/";
constexpr std::string_view kProgressKey = "progress/";
constexpr std::string_view kTargetsKey = "targets";
/// New jobs in one record, and what they may take of the megabyte that a record
/// may hold.
constexpr std::size_t kMostBundled = 100;
constexpr std::size_t kMostBundleBytes = 400'000;

/// One of a record below kJobsKey; stored when the job is taken, erased when
/// all jobs of the record have ended.
struct StoredJob {
  JobSpec spec;
  WallMillis arrived = 0;
};

/// One of a record below kEndedKey; erased when all its jobs are forgotten.
struct StoredEnd {
  JobId id;
  std::uint8_t phase = 0;
  QueueName queue;
  TeamName team;
};

/// A target that a next owner has to ask, and for how long from its claim on
/// what runs there may go on unseen.
struct StoredTarget {
  TargetId id;
  Millis lasts{0};
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

/// Stored with each change of an open job that must last.
struct StoredProgress {
  std::uint8_t phase = 0;
  std::uint32_t begun = 0;
  std::uint32_t done = 0;
  std::vector<StoredOccurrence> open;
};

StoredProgress ProgressOf(const Job& job) {
  StoredProgress stored{static_cast<std::uint8_t>(job.phase),
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
  std::optional<StoredEnd> end;
  std::string stored_in;
  std::string ended_in;
};

void TakeProgress(Job& job, const StoredProgress& progress) {
  job.phase = static_cast<JobPhase>(progress.phase);
  job.occurrences_begun = progress.begun;
  job.occurrences_done = progress.done;
  job.progress_stored = true;
  for (const StoredOccurrence& open : progress.open) {
    Restore(job, open);
  }
}

void TakeStoredEnd(Cell& cell, Job& job, const StoredEnd& end, Time now) {
  job.phase = static_cast<JobPhase>(end.phase);
  job.spec.queue = end.queue;
  job.spec.team = end.team;
  job.started = true;
  job.end_version = 1;
  job.ended_at = now;
  ++cell.bundles[job.ended_in];
  cell.ended_jobs.emplace_back(now, job.spec.id);
}

void AddLoaded(Cell& cell, const JobId& id, Loaded loaded, Time now) {
  Job job;
  job.adopted = true;
  job.version = 1;
  job.durable = 1;
  job.arrived = now;
  job.spec.id = id;
  job.ended_in = std::move(loaded.ended_in);
  if (loaded.end) {
    TakeStoredEnd(cell, job, *loaded.end, now);
    cell.jobs.emplace(id, std::move(job));
    return;
  }
  if (!loaded.job) {
    return;  // Progress without a job: nothing could be done with it.
  }
  job.spec = std::move(loaded.job->spec);
  job.stored_in = std::move(loaded.stored_in);
  ++cell.bundles[job.stored_in];
  job.arrived_wall = loaded.job->arrived;
  job.arrived = Time(Millis(job.arrived_wall - cell.wall_offset));
  if (loaded.progress) {
    TakeProgress(job, *loaded.progress);
  }
  if (const Queue* queue = QueueOf(cell, job.spec.queue)) {
    job.priority = queue->priority;
    job.objective = ObjectiveOf(*queue, job.spec);
  }
  if (job.phase == JobPhase::kRunning) {
    job.started = true;
  } else {
    ++cell.pending[job.spec.queue];
  }
  cell.jobs.emplace(id, std::move(job));
}

/// Targets that a next owner has to ask. Nothing is ever started on one that
/// leaves: once it is empty it stays so.
std::vector<StoredTarget> TargetsToAsk(const Cell& cell, Time now) {
  std::map<TargetId, Millis> lasts;
  for (const auto& [id, until] : cell.expected) {
    lasts[id] = std::max(Millis(0), until - now);
  }
  for (const auto& [id, target] : cell.targets) {
    const bool left = target.entry.draining && target.runs.empty();
    if (target.reported && left) {
      lasts.erase(id);
    } else if (target.reported && target.silent) {
      // Its lease is not renewed any more.
      lasts[id] = std::max(Millis(0), target.lease_until - now);
    } else if (target.reported) {
      lasts[id] = LeaseLapse(cell.options);
    } else if (!left) {
      lasts.emplace(id, LeaseLapse(cell.options));
    }
  }
  std::vector<StoredTarget> stored;
  stored.reserve(lasts.size());
  for (const auto& [id, time] : lasts) {
    stored.push_back({id, time});
  }
  return stored;
}

/// Adds the list of targets to a batch.
void WriteTargets(Cell& cell, Batch& batch, Time now) {
  const std::vector<StoredTarget> stored = TargetsToAsk(cell, now);
  for (const StoredTarget& target : stored) {
    batch.targets.push_back(target.id);
  }
  batch.writes.push_back(
      {std::string(kTargetsKey), EncodeBinary(stored), false});
  cell.targets_dirty = false;
  cell.expected_stored = now;
  for (auto& [id, target] : cell.targets) {
    target.recorded =
        target.recorded && std::ranges::binary_search(batch.targets, id);
  }
}

/// What one batch stores of jobs.
struct Bundles {
  std::vector<StoredJob> jobs;
  std::size_t job_bytes = 0;  ///< Of `jobs`, about.
  std::vector<StoredEnd> ends;
  std::string jobs_key;
  std::string ended_key;
};

/// One job less needs the bundle; the last one takes it along.
void LetGo(Cell& cell, Batch& batch, std::string& key) {
  const auto found = cell.bundles.find(key);
  if (found != cell.bundles.end() && --found->second == 0) {
    batch.writes.push_back({key, {}, true});
    cell.bundles.erase(found);
  }
  key.clear();
}

/// Adds what has to be written for one job.
void WriteJob(Cell& cell, Batch& batch, Bundles& bundles, Job& job) {
  const std::string progress_key = std::string(kProgressKey) + job.spec.id;
  if (job.forget) {
    LetGo(cell, batch, job.ended_in);
    return;
  }
  if (job.Ended()) {
    if (job.progress_stored) {
      batch.writes.push_back({progress_key, {}, true});
      job.progress_stored = false;
    }
    if (!job.stored_in.empty()) {
      LetGo(cell, batch, job.stored_in);
    }
    if (job.ended_in.empty()) {
      job.ended_in = bundles.ended_key;
      ++cell.bundles[job.ended_in];
      bundles.ends.push_back({job.spec.id, static_cast<std::uint8_t>(job.phase),
                              job.spec.queue, job.spec.team});
    }
    return;
  }
  if (job.stored_in.empty()) {
    job.stored_in = bundles.jobs_key;
    ++cell.bundles[job.stored_in];
    bundles.jobs.push_back({job.spec, job.arrived_wall});
    bundles.job_bytes +=
        job.spec.payload.size() + job.spec.steps.size() * sizeof(StepSpec);
  }
  if (job.version > 1) {
    batch.writes.push_back(
        {progress_key, EncodeBinary(ProgressOf(job)), false});
    job.progress_stored = true;
  }
}

/// Takes jobs off a line, as long as the batch has room.
void TakeLine(Cell& cell, Batch& batch, Bundles& bundles,
              std::deque<JobId>& line, std::size_t max_writes) {
  // Its progress or the erasure of it, and up to one bundle each that it needs
  // no more; two are kept for the batch's own bundles.
  constexpr std::size_t kWritesOfOneJob = 2;
  constexpr std::size_t kOwnBundles = 2;
  while (!line.empty() && bundles.jobs.size() < kMostBundled &&
         bundles.job_bytes < kMostBundleBytes &&
         batch.writes.size() + kWritesOfOneJob + kOwnBundles <= max_writes) {
    Job* job = FindJob(cell, line.front());
    line.pop_front();
    if (job == nullptr || !job->unstored) {
      continue;
    }
    job->unstored = false;
    job->urgent_write = false;
    --cell.writes.count;
    WriteJob(cell, batch, bundles, *job);
    batch.versions.emplace_back(job->spec.id, job->version);
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

std::string EncodeLeft(const Cell& cell, Time now) {
  std::map<TargetId, Time> until;
  for (const TargetId& id : Unreported(cell, now)) {
    until[id] = cell.expected.at(id);
  }
  for (const auto& [id, target] : cell.targets) {
    if (!target.runs.empty()) {
      until[id] = std::max(until[id], target.lease_until);
    }
  }
  std::vector<StoredTarget> left;
  left.reserve(until.size());
  for (const auto& [id, time] : until) {
    left.push_back({id, std::max(Millis(0), time - now)});
  }
  return EncodeBinary(left);
}

Result<std::size_t> TakeLeft(Cell& cell, Actions& actions,
                             std::string_view left, Millis age, Time now) {
  BOOST_LEAF_AUTO(targets, DecodeBinary<std::vector<StoredTarget>>(
                               left, "targets left by the former owner"));
  std::map<TargetId, Time> until;
  for (const StoredTarget& target : targets) {
    until[target.id] = now + target.lasts - age;
  }
  const std::size_t before = cell.expected.size();
  std::erase_if(cell.expected, [&](const auto& entry) {
    return !until.contains(entry.first);
  });
  for (auto& [id, time] : cell.expected) {
    time = std::min(time, until.at(id));
  }
  cell.targets_dirty = true;
  Note(actions, "former_owner_told",
       {{"epoch", std::to_string(cell.epoch)},
        {"expected", std::to_string(before)},
        {"left", std::to_string(cell.expected.size())},
        {"age_ms", std::to_string(age.count())}});
  CheckRecovery(cell, actions, now);
  return cell.expected.size();
}

Result<std::size_t> LoadRecords(Cell& cell,
                                std::span<const RecordWrite> records,
                                Time now) {
  std::map<JobId, Loaded> found;
  for (const RecordWrite& record : records) {
    const std::string_view key = record.key;
    if (key.starts_with(kJobsKey)) {
      BOOST_LEAF_AUTO(jobs,
                      DecodeBinary<std::vector<StoredJob>>(record.value, key));
      for (StoredJob& job : jobs) {
        Loaded& loaded = found[job.spec.id];
        loaded.job = std::move(job);
        loaded.stored_in = key;
      }
    } else if (key.starts_with(kEndedKey)) {
      BOOST_LEAF_AUTO(ends,
                      DecodeBinary<std::vector<StoredEnd>>(record.value, key));
      for (StoredEnd& end : ends) {
        Loaded& loaded = found[end.id];
        loaded.end = std::move(end);
        loaded.ended_in = key;
      }
    } else if (key.starts_with(kProgressKey)) {
      BOOST_LEAF_AUTO(progress,
                      DecodeBinary<StoredProgress>(record.value, key));
      found[JobId(key.substr(kProgressKey.size()))].progress =
          std::move(progress);
    } else if (key == kTargetsKey) {
      BOOST_LEAF_AUTO(
          targets, DecodeBinary<std::vector<StoredTarget>>(record.value, key));
      for (const StoredTarget& target : targets) {
        cell.expected[target.id] = cell.former_until + target.lasts;
      }
    }
  }
  for (auto& [id, loaded] : found) {
    AddLoaded(cell, id, std::move(loaded), now);
  }
  return found.size();
}

std::optional<Batch> TakeBatch(Cell& cell, std::size_t max_writes, Time now) {
  WriteLines& writes = cell.writes;
  const bool overdue =
      writes.since && now - *writes.since >= cell.options.write_delay;
  if (!cell.loaded ||
      (writes.urgent.empty() && !overdue && !cell.targets_dirty)) {
    return std::nullopt;
  }
  Batch batch;
  if (cell.targets_dirty) {
    WriteTargets(cell, batch, now);
  }
  // Unlike those of former owners: epochs rise.
  const std::string name =
      std::to_string(cell.epoch) + "." + std::to_string(cell.next_bundle++);
  Bundles bundles;
  bundles.jobs_key = std::string(kJobsKey) + name;
  bundles.ended_key = std::string(kEndedKey) + name;
  TakeLine(cell, batch, bundles, writes.urgent, max_writes);
  TakeLine(cell, batch, bundles, writes.others, max_writes);
  if (!bundles.jobs.empty()) {
    batch.writes.push_back(
        {bundles.jobs_key, EncodeBinary(bundles.jobs), false});
  }
  if (!bundles.ends.empty()) {
    batch.writes.push_back(
        {bundles.ended_key, EncodeBinary(bundles.ends), false});
  }
  writes.since = writes.count == 0 ? std::nullopt : std::optional(now);
  if (batch.writes.empty() && batch.versions.empty()) {
    return std::nullopt;
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
  for (const TargetId& id : batch.targets) {
    if (Target* target = FindTarget(cell, id)) {
      cell.plan_due = cell.plan_due || !target->recorded;
      target->recorded = true;
    }
  }
  for (auto& [id, target] : cell.targets) {
    AdvanceAcks(cell, target);
  }
}

}  // namespace buckthornmux::cell
