#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "buckthornmux/detail/home/journal.h"
#include "buckthornmux/detail/home/state.h"

namespace buckthornmux::home {
namespace {

using Type = JournalRecord::Type;

/// Maximum kEnded records kept per task; enough to count its failures.
constexpr std::size_t kMaxEndsPerTask = 4;

/// All records of one job.
struct JobRecords {
  JobRequest request;
  std::optional<JournalRecord> accepted;
  /// Latest intent, keyed by task.
  std::map<std::uint32_t, JournalRecord> intents;
  std::map<std::uint32_t, std::vector<JournalRecord>> ends;
  std::optional<JournalRecord> cancelled;
  std::optional<JournalRecord> job_ended;
};

void Add(JobRecords& job, const JournalRecord& record) {
  if (!record.request.id.empty()) {
    job.request = record.request;
  }
  switch (record.type) {
    case Type::kAccepted:
      job.accepted = record;
      break;
    case Type::kIntent:
      job.intents[record.task] = record;
      job.job_ended.reset();  // The job was restarted.
      break;
    case Type::kEnded: {
      std::vector<JournalRecord>& ends = job.ends[record.task];
      ends.push_back(record);
      if (ends.size() > kMaxEndsPerTask) {
        ends.erase(ends.begin());
      }
      break;
    }
    case Type::kJobEnded:
      job.job_ended = record;
      break;
    case Type::kCancelled:
      job.cancelled = record;
      break;
  }
}

bool IsExpired(const JobRecords& job, WallMillis now) {
  return job.request.id.empty() ||
         (job.job_ended &&
          now - job.job_ended->at >= RetentionOf(job.request).count());
}

/// Returns the attempts in order: the intent of each, then its end.
std::vector<JournalRecord> AttemptRecords(const JobRecords& job) {
  std::vector<JournalRecord> attempts;
  for (const auto& [task, intent] : job.intents) {
    attempts.push_back(intent);
  }
  for (const auto& [task, ends] : job.ends) {
    attempts.insert(attempts.end(), ends.begin(), ends.end());
  }
  std::ranges::stable_sort(attempts, {}, [](const JournalRecord& record) {
    return std::tuple(record.attempt, record.type);
  });
  return attempts;
}

void Emit(const JobRecords& job, std::vector<JournalRecord>& out) {
  const std::size_t first = out.size();
  if (job.accepted) {
    out.push_back(*job.accepted);
  }
  if (job.cancelled) {
    out.push_back(*job.cancelled);
  }
  for (JournalRecord& record : AttemptRecords(job)) {
    out.push_back(std::move(record));
  }
  if (job.job_ended) {
    out.push_back(*job.job_ended);
  }
  for (std::size_t index = first; index < out.size(); ++index) {
    out[index].request = index == first ? job.request : JobRequest();
  }
}

}  // namespace

std::vector<JournalRecord> Fold(std::span<const JournalRecord> records,
                                WallMillis now) {
  std::unordered_map<std::string, std::size_t> indexes;
  std::vector<JobRecords> jobs;
  for (const JournalRecord& record : records) {
    const std::string key = record.team + "/" + record.job;
    const auto [item, fresh] = indexes.try_emplace(key, jobs.size());
    if (fresh) {
      jobs.emplace_back();
    }
    Add(jobs[item->second], record);
  }
  std::vector<JournalRecord> folded;
  for (const JobRecords& job : jobs) {
    if (!IsExpired(job, now)) {
      Emit(job, folded);
    }
  }
  return folded;
}

}  // namespace buckthornmux::home
