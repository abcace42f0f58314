#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

/// Removes and returns the jobs with newly durable records.
std::vector<std::string> ExtractDurable(PartitionState& partition) {
  std::vector<std::string> keys;
  while (!partition.awaiting_durability.empty() &&
         partition.awaiting_durability.front().first <= partition.durable) {
    if (keys.empty() ||
        keys.back() != partition.awaiting_durability.front().second) {
      keys.push_back(std::move(partition.awaiting_durability.front().second));
    }
    partition.awaiting_durability.pop_front();
  }
  return keys;
}

/// Answers calls and ends urgent tasks that wait for the unwritable journal.
void FailWaitingForJournal(Step& step, PartitionState& partition, Job& job) {
  if (!job.Durable() && !job.Ended()) {
    // Their intents may still become durable, but the tasks were not sent and
    // will not be: neither this owner nor a successor that reads the intents
    // sends an urgent task without a new request.
    const std::vector<std::uint32_t> intending =
        std::exchange(job.intending, {});
    for (const std::uint32_t index : intending) {
      EndTask(step, partition, job, index,
              {TaskEnd::kNotRun, ErrorKind::kStoreUnavailable});
    }
    DriveJob(step, partition, job);
    return;
  }
  const std::vector<Waiter> waiters = std::exchange(job.waiters, {});
  for (const Waiter& waiter : waiters) {
    const bool waits_for_journal =
        job.Ended() || waiter.until != Waiter::For::kEnd;
    if (waits_for_journal) {
      AnswerError(step, waiter.token, job, ErrorKind::kStoreUnknown);
    } else {
      job.waiters.push_back(waiter);
    }
  }
}

}  // namespace

std::uint64_t AppendFor(Step& step, PartitionState& partition, Job& job,
                        JournalRecord record) {
  record.team = job.request.team;
  record.job = job.request.id;
  record.at = step.state.anchor.ToWall(step.now);
  if (record.type == JournalRecord::Type::kAccepted) {
    job.request_journaled = true;
  } else if (record.type == JournalRecord::Type::kIntent &&
             !job.request_journaled) {
    record.request = job.request;
    job.request_journaled = true;
  }
  const std::uint64_t sequence = ++partition.appended;
  job.journaled = true;
  job.last_append = sequence;
  if (record.type != JournalRecord::Type::kEnded) {
    partition.awaiting_durability.emplace_back(sequence, KeyOf(job));
  }
  step.actions.emplace_back(
      Append{partition.home.partition, sequence, std::move(record)});
  return sequence;
}

void OnJournaled(Step& step, const Journaled& event) {
  PartitionState* partition = FindPartition(step.state, event.partition);
  if (partition == nullptr) {
    return;
  }
  partition->durable = std::max(partition->durable,
                                std::min(event.sequence, partition->appended));
  for (const std::string& key : ExtractDurable(*partition)) {
    if (Job* job = FindJobByKey(*partition, key)) {
      DriveJob(step, *partition, *job);
    }
  }
}

void OnJournalDown(Step& step, const JournalDown& event) {
  PartitionState* partition = FindPartition(step.state, event.partition);
  if (partition == nullptr) {
    return;
  }
  partition->journal_down = event.down;
  std::set<std::string> keys;
  if (event.down) {
    for (const auto& [sequence, key] : partition->awaiting_durability) {
      keys.insert(key);
    }
  } else {
    keys = std::exchange(partition->awaiting_journal, {});
  }
  for (const std::string& key : keys) {
    Job* job = FindJobByKey(*partition, key);
    if (job == nullptr) {
      continue;
    }
    if (event.down) {
      FailWaitingForJournal(step, *partition, *job);
    } else {
      DriveJob(step, *partition, *job);
    }
  }
}

}  // namespace buckthornmux::home
