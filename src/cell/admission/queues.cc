#include "src/cell/admission/queues.h"

#include <algorithm>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>

#include "src/cell/admission/kept.h"
#include "src/cell/records/record_layout.h"

namespace buckthornmux::cell {

namespace {

/// Interval at which kept definitions are checked for jobs and targets.
constexpr Millis kKeptCheckInterval{2000};

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

bool HasTargets(const Cell& cell, std::string_view service) {
  return std::ranges::any_of(cell.targets, [&](const auto& entry) {
    return entry.second.entry.service == service;
  });
}

/// Moves the jobs of a removed queue to the service that their paths lead to,
/// if their own service was removed with all its targets.
void FollowPath(Cell& cell, Actions& actions, Kept<Queue>& kept, Time now) {
  const Queue* successor = FindSuccessor(cell, kept.definition);
  if (successor == nullptr || successor->service == kept.definition.service ||
      cell.services.contains(kept.definition.service) || cell.targets.empty() ||
      HasTargets(cell, kept.definition.service)) {
    return;
  }
  Note(actions, "queue_follows",
       {{"queue", kept.definition.name},
        {"successor", successor->name},
        {"former_service", kept.definition.service},
        {"service", successor->service}});
  kept.definition.service = successor->service;
  MarkUnwritten(cell, kept, now);
  cell.plan_due = true;
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
  return kept == cell.kept_queues.end() ? nullptr : &kept->second.definition;
}

std::string_view CurrentName(const Cell& cell, std::string_view name) {
  const auto kept = cell.kept_queues.find(name);
  if (FindQueue(cell, name) != nullptr || kept == cell.kept_queues.end()) {
    return name;
  }
  const Queue* successor = FindSuccessor(cell, kept->second.definition);
  return successor == nullptr ? name : std::string_view{successor->name};
}

void KeepQueue(Cell& cell, const Queue& queue, Time now) {
  Keep(cell, cell.kept_queues, queue, now);
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
    const Queue* successor = FindSuccessor(cell, kept.definition);
    Note(actions, "queue_removed",
         {{"queue", name},
          {"version", std::to_string(cell.rules.version)},
          {"successor", successor == nullptr ? "" : successor->name},
          {"service", kept.definition.service},
          {"pending", std::to_string(PendingOf(cell, name))}});
  }
}

void SettleKept(Cell& cell, Actions& actions, Time now) {
  if (now < cell.kept_checked + kKeptCheckInterval) {
    return;
  }
  cell.kept_checked = now;
  std::unordered_set<std::string_view> queues;
  std::unordered_set<std::string_view> teams;
  for (const auto& [id, job] : cell.jobs) {
    queues.insert(job.spec.queue);
    teams.insert(job.spec.team);
  }
  DropUnused(cell, cell.kept_queues, kQueuesKey, queues, now);
  DropUnused(cell, cell.kept_teams, kTeamsKey, teams, now);
  for (auto& [name, kept] : cell.kept_queues) {
    if (FindQueue(cell, name) == nullptr) {
      FollowPath(cell, actions, kept, now);
    }
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

}  // namespace buckthornmux::cell
