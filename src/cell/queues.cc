#include "queues.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <unordered_set>
#include <utility>

#include "buckthornmux/detail/core/archive.h"
#include "record_layout.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

/// Interval at which kept queues are checked for jobs and targets.
constexpr Millis kQueueCheckInterval{2000};

/// Finds the queue in force that serves the paths of another one, which is the
/// one with the longest matching prefix; null if there is none.
const Queue* FindSuccessor(const Cell& cell, const Queue& removed) {
  const Queue* best = nullptr;
  for (const auto& [name, queue] : cell.queues) {
    if (queue.host_name == removed.host_name &&
        removed.prefix.starts_with(queue.prefix) &&
        (best == nullptr || queue.prefix.size() > best->prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

void MarkUnwritten(Cell& cell, KeptQueue& kept, Time now) {
  kept.unstored = true;
  cell.writes.since = cell.writes.since.value_or(now);
}

bool HasTargets(const Cell& cell, std::string_view service) {
  return std::ranges::any_of(cell.targets, [&](const auto& entry) {
    return entry.second.entry.service == service;
  });
}

/// Moves the jobs of a removed queue to the service that their paths lead to,
/// if their own service was removed with all its targets.
void FollowPath(Cell& cell, Actions& actions, KeptQueue& kept, Time now) {
  const Queue* successor = FindSuccessor(cell, kept.queue);
  if (successor == nullptr || successor->service == kept.queue.service ||
      cell.services.contains(kept.queue.service) || cell.targets.empty() ||
      HasTargets(cell, kept.queue.service)) {
    return;
  }
  Note(actions, "queue_follows",
       {{"queue", kept.queue.name},
        {"successor", successor->name},
        {"former_service", kept.queue.service},
        {"service", successor->service}});
  kept.queue.service = successor->service;
  MarkUnwritten(cell, kept, now);
  cell.plan_due = true;
}

std::unordered_set<std::string_view> QueuesOfJobs(const Cell& cell) {
  std::unordered_set<std::string_view> names;
  for (const auto& [id, job] : cell.jobs) {
    names.insert(job.spec.queue);
  }
  return names;
}

std::string KeyOf(const KeptQueue& kept) {
  return std::string(kQueuesKey) + std::to_string(kept.record);
}

}  // namespace

const Queue* FindQueue(const Cell& cell, std::string_view name) {
  const auto found = cell.queues.find(name);
  return found == cell.queues.end() ? nullptr : &found->second;
}

const Queue* QueueOf(const Cell& cell, const Job& job) {
  if (const Queue* queue = FindQueue(cell, job.spec.queue)) {
    return queue;
  }
  const auto kept = cell.kept_queues.find(job.spec.queue);
  return kept == cell.kept_queues.end() ? nullptr : &kept->second.queue;
}

std::string_view CurrentName(const Cell& cell, std::string_view name) {
  const auto kept = cell.kept_queues.find(name);
  if (FindQueue(cell, name) != nullptr || kept == cell.kept_queues.end()) {
    return name;
  }
  const Queue* successor = FindSuccessor(cell, kept->second.queue);
  return successor == nullptr ? name : std::string_view(successor->name);
}

void KeepQueue(Cell& cell, const Queue& queue, Time now) {
  const auto [found, added] = cell.kept_queues.try_emplace(queue.name);
  KeptQueue& kept = found->second;
  if (added) {
    kept.record = cell.next_queue_record++;
  }
  if (added || kept.queue != queue) {
    kept.queue = queue;
    MarkUnwritten(cell, kept, now);
  }
}

bool InheritQueue(Cell& cell, std::string_view number, Queue queue) {
  KeptQueue kept{std::move(queue), 0, false};
  const char* end = number.data() + number.size();
  if (const auto parsed = std::from_chars(number.data(), end, kept.record);
      parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  cell.next_queue_record = std::max(cell.next_queue_record, kept.record + 1);
  const auto [found, added] =
      cell.kept_queues.try_emplace(kept.queue.name, kept);
  if (!added) {
    // The former record of a queue that came back was not erased yet.
    if (found->second.record < kept.record) {
      std::swap(found->second, kept);
    }
    cell.bundles.erasures.push_back({KeyOf(kept), {}});
  }
  return true;
}

void UpdateKeptQueues(Cell& cell, Actions& actions, Time now) {
  for (auto& [name, kept] : cell.kept_queues) {
    if (const Queue* queue = FindQueue(cell, name)) {
      kept.removed = false;
      KeepQueue(cell, *queue, now);
      continue;
    }
    if (std::exchange(kept.removed, true)) {
      continue;
    }
    const Queue* successor = FindSuccessor(cell, kept.queue);
    Note(actions, "queue_removed",
         {{"queue", name},
          {"version", std::to_string(cell.rules.version)},
          {"successor", successor == nullptr ? "" : successor->name},
          {"service", kept.queue.service},
          {"pending", std::to_string(PendingOf(cell, name))}});
  }
}

void SettleKeptQueues(Cell& cell, Actions& actions, Time now) {
  if (cell.kept_queues.empty() ||
      now < cell.queues_checked + kQueueCheckInterval) {
    return;
  }
  cell.queues_checked = now;
  const std::unordered_set<std::string_view> used = QueuesOfJobs(cell);
  std::vector<QueueName> unused;
  for (auto& [name, kept] : cell.kept_queues) {
    if (!used.contains(name)) {
      unused.push_back(name);
      cell.bundles.erasures.push_back({KeyOf(kept), {}});
      cell.writes.since = cell.writes.since.value_or(now);
    } else if (FindQueue(cell, name) == nullptr) {
      FollowPath(cell, actions, kept, now);
    }
  }
  for (const QueueName& name : unused) {
    cell.kept_queues.erase(name);
  }
}

void NoteUnknownQueues(const Cell& cell, Actions& actions) {
  std::set<QueueName> unknown;
  for (const auto& [id, job] : cell.jobs) {
    if (!job.Ended() && QueueOf(cell, job) == nullptr) {
      unknown.insert(job.spec.queue);
    }
  }
  for (const QueueName& name : unknown) {
    Note(actions, "queue_unknown",
         {{"queue", name},
          {"reason", "removed, and stored by an earlier build"}});
  }
}

bool IsQueueWritten(const Cell& cell, const Job& job) {
  const auto kept = cell.kept_queues.find(job.spec.queue);
  return kept == cell.kept_queues.end() || !kept->second.unstored;
}

bool AnyQueueUnwritten(const Cell& cell) {
  return std::ranges::any_of(cell.kept_queues, [](const auto& entry) {
    return entry.second.unstored;
  });
}

void WriteKeptQueues(Cell& cell, Batch& batch, std::size_t max_writes) {
  for (auto& [name, kept] : cell.kept_queues) {
    if (batch.writes.size() >= max_writes) {
      return;
    }
    if (kept.unstored) {
      batch.writes.push_back({KeyOf(kept), EncodeBinary(kept.queue), false});
      kept.unstored = false;
    }
  }
}

}  // namespace buckthornmux::cell
