#include <algorithm>

#include "buckthornmux/detail/core/invariant.h"
#include "src/cell/admission/kept.h"
#include "src/cell/internal.h"
#include "src/cell/records/record_codec.h"
#include "src/cell/records/record_layout.h"

namespace buckthornmux::cell {
namespace {

/// Maximum number of jobs in one record, and maximum bytes of jobs and progress
/// in a batch; the store accepts records of up to one megabyte.
constexpr std::size_t kMaxJobsPerRecord = 100;
constexpr std::size_t kMaxBatchBytes = 400'000;
/// Maximum job records that one batch merges into its own record and erases.
constexpr std::size_t kMaxCompactedRecords = 8;
/// Ends are added to a record up to this number and age.
constexpr std::size_t kMaxEndsPerRecord = 400;
constexpr Millis kMaxEndRecordAge{2000};

StoredTasks StateOf(const Task& task) {
  return {
      1, false, task.next_run, task.failed_runs, task.crashes, task.checkpoint};
}

bool HaveSameState(const StoredTasks& left, const StoredTasks& right) {
  return left.done == right.done && left.next_run == right.next_run &&
         left.failed_runs == right.failed_runs &&
         left.crashes == right.crashes && left.checkpoint == right.checkpoint;
}

/// Adds consecutive tasks to the rows of a step.
void AddRow(std::vector<StoredTasks>& rows, StoredTasks row) {
  if (!rows.empty() && HaveSameState(rows.back(), row)) {
    rows.back().count += row.count;
  } else {
    rows.push_back(std::move(row));
  }
}

/// Returns the states of a step's tasks, in order.
std::vector<StoredTasks> RowsOf(const TaskTable& tasks, bool checkpoints) {
  std::vector<StoredTasks> rows;
  auto done = tasks.Done().Ranges().begin();
  auto started = tasks.Started().begin();
  std::uint32_t next = 0;
  while (next < tasks.Count()) {
    const bool any_done = done != tasks.Done().Ranges().end();
    const bool any_started = started != tasks.Started().end();
    if (any_done && done->first == next) {
      AddRow(rows, {done->second - next + 1, true});
      next = done->second + 1;
      ++done;
    } else if (any_started && started->first == next) {
      StoredTasks row = StateOf(started->second);
      if (!checkpoints) {
        row.checkpoint.clear();
      }
      AddRow(rows, std::move(row));
      ++next;
      ++started;
    } else {
      const std::uint32_t end =
          std::min(any_done ? done->first : tasks.Count(),
                   any_started ? started->first : tasks.Count());
      AddRow(rows, {end - next, false, tasks.FirstRun()});
      next = end;
    }
  }
  return rows;
}

/// @param checkpoints whether the checkpoints of tasks are included; without
///   them their tasks begin anew under a next owner
StoredProgress ProgressOf(const Job& job, bool checkpoints) {
  StoredProgress stored{
      job.phase, job.occurrences_begun, job.occurrences_done, {}, job.shelved};
  for (const auto& [number, occurrence] : job.occurrences) {
    StoredOccurrence open{number, {}};
    for (const Step& step : occurrence.steps) {
      open.steps.push_back(RowsOf(step.tasks, checkpoints));
    }
    stored.open.push_back(std::move(open));
  }
  return stored;
}

/// Contents of a batch being built.
struct Draft {
  std::vector<JobId> jobs;  ///< Jobs for the batch's job record.
  std::vector<JobId> ends;  ///< Jobs for the batch's end record.
  std::size_t bytes = 0;    ///< Approximate size of jobs and progress.
};

bool IsFull(const JobBundle& bundle) {
  return bundle.open >= kMaxBundleJobs || bundle.bytes >= kMaxBundleBytes;
}

/// Marks a job of a record as ended. The record is erased after its last open
/// job, and scheduled for merging when few are left.
void ReleaseJobRecord(Bundles& bundles, const std::string& key) {
  const auto found = bundles.jobs.find(key);
  if (found == bundles.jobs.end()) {
    return;
  }
  JobBundle& bundle = found->second;
  --bundle.open;
  if (bundle.open == 0) {
    bundles.to_compact.erase(key);
    bundles.erasures.push_back({key, {}});
    if (bundles.newest_jobs == key) {
      bundles.newest_jobs.clear();
    }
  } else if (bundle.open < bundle.jobs.size() / 2 ||
             (bundle.open < kMaxBundleJobs / 2 &&
              bundle.bytes < kMaxBundleBytes)) {
    bundles.to_compact.insert(key);
  }
}

/// Whether a job of the record has ended and its end is not written yet. The
/// payload of such a job is gone, so its specification can't be rewritten.
bool HasUnwrittenEnd(const Cell& cell, const JobBundle& bundle) {
  return std::ranges::any_of(bundle.jobs, [&cell](const JobId& id) {
    const Job* job = FindJob(cell, id);
    return job != nullptr && job->Ended() && !job->end_stored;
  });
}

/// Removes a record from the index because it is erased or rewritten; appends
/// its open jobs to `open`.
void DetachJobs(Cell& cell, const std::string& key, std::vector<JobId>& open) {
  const auto found = cell.bundles.jobs.find(key);
  if (found == cell.bundles.jobs.end()) {
    return;
  }
  for (JobId& id : found->second.jobs) {
    Job* job = FindJob(cell, id);
    if (job == nullptr || job->stored_in != key) {
      continue;
    }
    job->stored_in.clear();
    if (!job->Ended()) {
      open.push_back(std::move(id));
    }
  }
  cell.bundles.to_compact.erase(key);
  cell.bundles.jobs.erase(found);
}

/// Adds the pending writes of one job.
/// @return false if the batch doesn't have its latest version
bool WriteJob(Cell& cell, Batch& batch, Draft& draft, Job& job) {
  const std::string progress_key = std::string(kProgressKey) + job.spec.id;
  if (job.Ended()) {
    if (job.progress_stored) {
      batch.writes.push_back({progress_key, {}, true});
      job.progress_stored = false;
    }
    if (!job.end_stored) {
      job.end_stored = true;
      draft.ends.push_back(job.spec.id);
      ReleaseJobRecord(cell.bundles, job.stored_in);
    }
    return true;
  }
  if (job.stored_in.empty() && job.durable == 0) {
    draft.jobs.push_back(job.spec.id);
    draft.bytes += StoredBytes(job.spec);
  }
  if (job.version > 1) {
    std::string value = EncodeProgress(ProgressOf(job, true));
    if (value.size() > cell.options.max_value_bytes) {
      value = EncodeProgress(ProgressOf(job, false));
    }
    if (value.size() > cell.options.max_value_bytes) {
      batch.omitted.push_back({progress_key, value.size()});
      return job.stored_in.empty() && job.durable == 0;
    }
    batch.writes.push_back({progress_key, std::move(value), false});
    draft.bytes += batch.writes.back().value.size();
    job.progress_stored = true;
  }
  return true;
}

/// Maximum bytes of jobs and progress in a batch, whose jobs are one record.
std::size_t MaxBatchBytes(const Cell& cell) {
  constexpr std::size_t kPart = 2;
  return std::min(kMaxBatchBytes, cell.options.max_value_bytes / kPart);
}

bool HasRoom(const Cell& cell, const Draft& draft, const Job& job) {
  if (draft.jobs.size() >= kMaxJobsPerRecord ||
      draft.ends.size() >= kMaxEndsPerRecord) {
    return false;
  }
  const bool is_new = !job.Ended() && job.stored_in.empty();
  return draft.bytes == 0 ||
         draft.bytes + (is_new ? StoredBytes(job.spec) : 0) <
             MaxBatchBytes(cell);
}

/// Moves jobs from a write queue into the batch while it has room.
void DrainWriteQueue(Cell& cell, Batch& batch, Draft& draft,
                     std::deque<JobId>& queue, std::size_t max_writes) {
  while (!queue.empty() && batch.writes.size() < max_writes) {
    Job* job = FindJob(cell, queue.front());
    if (job == nullptr || !job->unstored) {
      queue.pop_front();
      continue;
    }
    // A next owner must not load a job without the queue that accepted it.
    const bool kept_first =
        job->durable == 0 && !(IsWritten(cell.kept_queues, job->spec.queue) &&
                               IsWritten(cell.kept_teams, job->spec.team));
    if (kept_first || !HasRoom(cell, draft, *job)) {
      return;
    }
    queue.pop_front();
    job->unstored = false;
    job->urgent_write = false;
    --cell.writes.count;
    if (WriteJob(cell, batch, draft, *job)) {
      batch.versions.emplace_back(job->spec.id, job->version);
    }
  }
}

/// Moves the open jobs of sparsely used records into the batch's job record and
/// erases the old records.
void CompactRecords(Cell& cell, Batch& batch, Draft& draft,
                    std::size_t max_writes) {
  const Bundles& bundles = cell.bundles;
  const std::vector<std::string> keys(bundles.to_compact.begin(),
                                      bundles.to_compact.end());
  std::size_t compacted = 0;
  for (const std::string& key : keys) {
    if (batch.writes.size() >= max_writes ||
        compacted >= kMaxCompactedRecords) {
      return;
    }
    const JobBundle& bundle = bundles.jobs.at(key);
    const bool empty = draft.jobs.empty() && draft.bytes == 0;
    if (!empty && (draft.jobs.size() + bundle.open > kMaxJobsPerRecord ||
                   draft.bytes + bundle.bytes > MaxBatchBytes(cell))) {
      continue;
    }
    // A small record without others to merge with stays if none of its jobs
    // ended.
    const bool alone = draft.jobs.empty() && bundle.open == bundle.jobs.size();
    const bool extended =
        !draft.jobs.empty() && key == bundles.newest_jobs && !IsFull(bundle);
    if (alone || extended || HasUnwrittenEnd(cell, bundle)) {
      continue;
    }
    draft.bytes += bundle.bytes;
    DetachJobs(cell, key, draft.jobs);
    batch.writes.push_back({key, {}, true});
    ++compacted;
  }
}

/// Writes the batch's jobs, merged with those of the newest record while that
/// is small.
void WriteJobs(Cell& cell, Batch& batch, Draft& draft,
               const std::string& name) {
  if (draft.jobs.empty()) {
    return;
  }
  Bundles& bundles = cell.bundles;
  std::string key = std::string(kJobsKey) + name;
  const auto newest = bundles.jobs.find(bundles.newest_jobs);
  if (newest != bundles.jobs.end() && !IsFull(newest->second) &&
      !HasUnwrittenEnd(cell, newest->second)) {
    key = bundles.newest_jobs;
    DetachJobs(cell, key, draft.jobs);
  }
  std::vector<StoredJob> stored;
  stored.reserve(draft.jobs.size());
  for (const JobId& id : draft.jobs) {
    Job& job = *FindJob(cell, id);
    job.stored_in = key;
    stored.push_back({job.spec, job.arrived_wall});
  }
  batch.writes.push_back({key, EncodeJobs(stored), false});
  bundles.jobs[key] = {draft.jobs, draft.jobs.size(),
                       batch.writes.back().value.size()};
  bundles.newest_jobs = key;
}

/// Writes the batch's ends, merged with those of the newest record while that
/// is small and recent.
void WriteEnds(Cell& cell, Batch& batch, const Draft& draft,
               const std::string& name, Time now) {
  if (draft.ends.empty()) {
    return;
  }
  std::deque<EndBundle>& bundles = cell.bundles.ends;
  if (bundles.empty() || bundles.back().loaded ||
      bundles.back().jobs.size() + draft.ends.size() > kMaxEndsPerRecord ||
      now - bundles.back().first > kMaxEndRecordAge) {
    bundles.push_back({std::string(kEndedKey) + name, {}, now, now, false});
  }
  EndBundle& bundle = bundles.back();
  bundle.last = now;
  bundle.jobs.insert(bundle.jobs.end(), draft.ends.begin(), draft.ends.end());
  std::vector<StoredEnd> stored;
  stored.reserve(bundle.jobs.size());
  for (const JobId& id : bundle.jobs) {
    const Job& job = *FindJob(cell, id);
    stored.push_back({id, job.phase, job.spec.queue, job.spec.team});
  }
  batch.writes.push_back({bundle.key, EncodeEnds(stored), false});
}

/// Erases unused records in the order in which they became unused: the
/// specification of an ended job is erased before its end.
void Erase(Cell& cell, Batch& batch, std::size_t max_writes) {
  std::deque<Erasure>& erasures = cell.bundles.erasures;
  while (!erasures.empty() && batch.writes.size() < max_writes) {
    Erasure& next = erasures.front();
    std::vector<JobId> none;
    DetachJobs(cell, next.key, none);
    Invariant(none.empty(), "open_job_keeps_its_record", next.key);
    batch.writes.push_back({next.key, {}, true});
    batch.forgotten.insert(batch.forgotten.end(), next.forgotten.begin(),
                           next.forgotten.end());
    erasures.pop_front();
  }
}

void AnswerCalls(Actions& actions, Job& job) {
  for (const CallId call : job.submit_calls) {
    actions.emplace_back(AnswerSubmit{call, std::nullopt, true});
  }
  job.submit_calls.clear();
  if (job.Ended() && job.durable >= job.end_version) {
    for (const CallId call : job.cancel_calls) {
      actions.emplace_back(AnswerCancel{call, true, std::nullopt});
    }
    job.cancel_calls.clear();
  }
}

}  // namespace

void ForgetOld(Cell& cell, Time now) {
  Bundles& bundles = cell.bundles;
  while (!bundles.ends.empty() &&
         now - bundles.ends.front().last > cell.options.job_retention) {
    EndBundle& oldest = bundles.ends.front();
    cell.writes.since = cell.writes.since.value_or(now);
    bool kept = false;
    for (const JobId& id : oldest.jobs) {
      const Job* job = FindJob(cell, id);
      if (job == nullptr || job->stored_in.empty()) {
        continue;
      }
      // A next owner must not load its specification without its end.
      kept = true;
      const auto found = bundles.jobs.find(job->stored_in);
      if (found != bundles.jobs.end() && found->second.open > 0) {
        bundles.to_compact.insert(found->first);
      }
    }
    if (kept) {
      return;
    }
    bundles.erasures.push_back({oldest.key, std::move(oldest.jobs)});
    bundles.ends.pop_front();
  }
}

std::optional<Batch> TakeBatch(Cell& cell, std::size_t max_writes, Time now) {
  // Writes reserved for the batch's own two records and for records to compact
  // or erase: each batch makes more than one record obsolete.
  constexpr std::size_t kReservedOwnRecords = 2;
  constexpr std::size_t kReservedCleanupRecords = 4;
  WriteQueues& writes = cell.writes;
  const bool overdue =
      writes.since && now - *writes.since >= cell.options.write_delay;
  if (!cell.loaded ||
      (writes.urgent.empty() && !overdue && !cell.targets_dirty)) {
    return std::nullopt;
  }
  Batch batch;
  batch.taken_at = now;
  if (cell.targets_dirty) {
    WriteTargets(cell, batch, now);
  }
  if (cell.ended_runs_dirty) {
    WriteEndedRuns(cell, batch);
  }
  // Differs from the record names of former owners, since epochs increase.
  const std::string name =
      std::to_string(cell.epoch) + "." + std::to_string(cell.bundles.next++);
  Draft draft;
  const std::size_t for_jobs =
      max_writes - kReservedOwnRecords - kReservedCleanupRecords;
  WriteUnwritten(cell.kept_queues, kQueuesKey, batch, for_jobs);
  WriteUnwritten(cell.kept_teams, kTeamsKey, batch, for_jobs);
  DrainWriteQueue(cell, batch, draft, writes.urgent, for_jobs);
  DrainWriteQueue(cell, batch, draft, writes.others, for_jobs);
  CompactRecords(
      cell, batch, draft,
      max_writes - kReservedOwnRecords - kReservedCleanupRecords / 2);
  WriteJobs(cell, batch, draft, name);
  WriteEnds(cell, batch, draft, name, now);
  Erase(cell, batch, max_writes);
  const bool more = writes.count > 0 || !cell.bundles.erasures.empty() ||
                    AnyUnwritten(cell.kept_queues) ||
                    AnyUnwritten(cell.kept_teams);
  writes.since = more ? std::optional(now) : std::nullopt;
  if (batch.writes.empty() && batch.versions.empty() && batch.omitted.empty()) {
    return std::nullopt;
  }
  return batch;
}

std::optional<OmittedRecord> ShortenBatch(Batch& batch) {
  // An earlier list of known runs must not stay stored: it would outlive the
  // list of targets that it belongs to.
  const std::string no_runs = EncodeBinary(StoredSilentTargets{});
  auto longest = batch.writes.end();
  for (auto write = batch.writes.begin(); write != batch.writes.end();
       ++write) {
    const bool optional =
        write->key.starts_with(kProgressKey) || write->key == kSilentKey ||
        write->key == kEndedRunsKey || write->key == kCapacitiesKey;
    if (optional && !write->erase && write->value != no_runs &&
        (longest == batch.writes.end() ||
         write->value.size() > longest->value.size())) {
      longest = write;
    }
  }
  if (longest == batch.writes.end()) {
    return std::nullopt;
  }
  OmittedRecord omitted{longest->key, longest->value.size()};
  if (longest->key.starts_with(kProgressKey)) {
    std::string_view job = longest->key;
    job.remove_prefix(kProgressKey.size());
    std::erase_if(batch.versions,
                  [&](const auto& version) { return version.first == job; });
  }
  if (longest->key == kSilentKey) {
    longest->value = no_runs;
  } else {
    batch.writes.erase(longest);
  }
  batch.omitted.push_back(omitted);
  return omitted;
}

void OnBatchStored(Cell& cell, Actions& actions, const Batch& batch, Time now) {
  // A write takes effect only while this host owns the cell.
  cell.owned_at = std::max(cell.owned_at, batch.taken_at);
  for (const auto& [id, version] : batch.versions) {
    Job* job = FindJob(cell, id);
    if (job == nullptr) {
      continue;
    }
    const bool first = job->durable == 0;
    job->durable = std::max(job->durable, version);
    AnswerCalls(actions, *job);
    if (first && !job->Ended()) {
      BeginDue(cell, *job, now);
    }
  }
  for (const JobId& id : batch.forgotten) {
    DropJob(cell, id);
  }
  for (const TargetId& id : batch.targets) {
    if (Target* target = FindTarget(cell, id)) {
      cell.plan_due = cell.plan_due || !target->recorded;
      target->recorded = true;
      target->closed = std::ranges::binary_search(batch.closed, id);
    }
  }
  for (auto& [id, target] : cell.targets) {
    AdvanceAcks(cell, target);
  }
  CheckRecovery(cell, actions, now);
}

}  // namespace buckthornmux::cell
