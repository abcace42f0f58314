/// Fake shard owners and targets for tests of partition owners: shard owners
/// that keep running after they were replaced, and targets that fence by epoch.
/// Independent of the product's shard code, so that the tests don't share its
/// mistakes.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/home/home.h"

namespace buckthornmux::home {

/// A target that runs tasks and records them. It accepts only owners of the
/// highest epoch that it has seen.
struct FakeTarget {
  ShardId shard;
  Epoch fence = 0;
  std::map<std::string, sched::ReportedTask> tasks;
};

/// A current or former owner of a shard.
struct FakeOwner {
  ShardId shard;
  Epoch epoch = 0;
  std::map<Partition, sched::Home> homes;  ///< Highest epoch and inquiry seen.
  /// Indexes of the targets that have reported.
  std::set<std::size_t> reported;
  struct Entry {
    sched::ReportedTask task;
    bool queued = false;
    std::size_t target = 0;
  };
  std::map<std::string, Entry> tasks;
};

/// Shards, their owners and their targets.
class FakeCell {
 public:
  std::vector<FakeTarget> targets;
  /// All current and former owners; indexes never change.
  std::vector<FakeOwner> owners;
  std::map<ShardId, std::size_t> current_owner;  ///< Index in `owners`.
  std::mt19937* random = nullptr;
  /// Called for every start at a target, before the task is marked as running.
  std::function<void(const sched::ReportedTask&)> on_start;
  /// Called for every end of a run.
  std::function<void(const std::string& task_id)> on_end;
  /// Receives the messages of shard owners to partition owners.
  std::function<void(FromShard)> send;

  void AddShard(const ShardId& id, std::size_t target_count) {
    for (std::size_t count = 0; count < target_count; ++count) {
      targets.push_back({id});
    }
    owners.push_back({id, 1});
    current_owner[id] = owners.size() - 1;
    for (std::size_t target = 0; target < targets.size(); ++target) {
      if (targets[target].shard == id) {
        Report(target);
      }
    }
  }

  /// Replaces a shard's owner without notifying the former one. `home_epochs`
  /// are the epochs of the partitions in the store after the claim.
  void Takeover(const ShardId& id,
                const std::map<Partition, Epoch>& home_epochs) {
    FakeOwner next{id, owners[current_owner[id]].epoch + 1};
    for (const auto& [partition, epoch] : home_epochs) {
      next.homes[partition] = {partition, epoch};
    }
    owners.push_back(std::move(next));
    current_owner[id] = owners.size() - 1;
  }

  /// A target reports all its tasks to the current owner and adopts its epoch
  /// as fence.
  void Report(std::size_t index) {
    FakeTarget& target = targets[index];
    FakeOwner& owner = owners[current_owner[target.shard]];
    target.fence = std::max(target.fence, owner.epoch);
    if (!owner.reported.insert(index).second) {
      return;
    }
    for (const auto& [id, task] : target.tasks) {
      const auto known = owner.tasks.find(id);
      if (known == owner.tasks.end() ||
          known->second.task.attempt <= task.attempt) {
        owner.tasks[id] = {task, false, index};
      }
      AcceptHome(owner, task.home);
    }
  }

  void Take(std::size_t index, const ToShard& message) {
    FakeOwner& owner = owners[index];
    if (const auto* enqueue = std::get_if<sched::Enqueue>(&message.message)) {
      if (AcceptHome(owner, enqueue->home)) {
        Enqueue(owner, *enqueue);
      }
    } else if (const auto* cancel =
                   std::get_if<sched::Cancel>(&message.message)) {
      if (AcceptHome(owner, cancel->home)) {
        Cancel(owner, *cancel);
      }
    } else {
      const auto& inquire = std::get<sched::Inquire>(message.message);
      if (AcceptHome(owner, inquire.home)) {
        Answer(owner, inquire.home.partition);
      }
    }
  }

  /// A random owner, current or former, tries to start a queued task.
  void StartSome() {
    FakeOwner& owner = owners[Draw(owners.size())];
    for (auto& [id, entry] : owner.tasks) {
      if (entry.queued && Draw(2) == 0) {
        StartUnit(owner, entry.task.spec);
        return;
      }
    }
  }

  /// Ends a running task of a random target.
  void EndSome() {
    const std::size_t index = Draw(targets.size());
    for (auto& [id, task] : targets[index].tasks) {
      if (task.running && Draw(2) == 0) {
        const bool done = Draw(4) != 0;
        Finish(index, task, done ? TaskEnd::kDone : TaskEnd::kFailed);
        return;
      }
    }
  }

 private:
  std::size_t Draw(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(*random);
  }

  static bool AcceptHome(FakeOwner& owner, const sched::Home& home) {
    sched::Home& highest = owner.homes[home.partition];
    if (std::pair(home.epoch, home.inquiry) <
        std::pair(highest.epoch, highest.inquiry)) {
      return false;
    }
    highest = home;
    return true;
  }

  void SendToHome(
      const FakeOwner& owner,
      std::variant<sched::Started, sched::Ended, sched::Known> message) {
    send(FromShard{owner.shard, owner.epoch, std::move(message)});
  }

  void SendEnded(FakeOwner& owner, const FakeOwner::Entry& entry,
                 ErrorKind error) {
    const sched::ReportedTask& task = entry.task;
    SendToHome(
        owner,
        sched::Ended{owner.homes[PartitionOf(task.spec.team, task.spec.job)],
                     task.id, task.attempt, task.end, error, Millis(0),
                     task.result});
  }

  void Refuse(FakeOwner& owner, FakeOwner::Entry& entry, ErrorKind error) {
    entry.queued = false;
    entry.task.running = false;
    entry.task.end = TaskEnd::kNotRun;
    SendEnded(owner, entry, error);
  }

  void Enqueue(FakeOwner& owner, const sched::Enqueue& enqueue) {
    const bool refuse = Draw(6) == 0;
    for (const TaskSpec& spec : enqueue.tasks) {
      const auto known = owner.tasks.find(spec.Id());
      const bool stands = known != owner.tasks.end() &&
                          (known->second.task.attempt >= spec.attempt ||
                           known->second.task.running);
      FakeOwner::Entry fresh;
      fresh.task.id = spec.Id();
      fresh.task.attempt = spec.attempt;
      fresh.task.epoch = owner.epoch;
      fresh.task.spec = spec;
      fresh.task.home = enqueue.home;
      if (stands) {
        if (known->second.task.attempt < spec.attempt) {
          Refuse(owner, fresh, ErrorKind::kDuplicateRequest);
        }
        continue;
      }
      fresh.queued = true;
      FakeOwner::Entry& entry = owner.tasks[spec.Id()] = fresh;
      if (refuse) {
        Refuse(owner, entry,
               Draw(2) == 0 ? ErrorKind::kCellFull : ErrorKind::kNotReady);
      }
    }
  }

  void Cancel(FakeOwner& owner, const sched::Cancel& cancel) {
    for (const std::string& id : cancel.task_ids) {
      const auto known = owner.tasks.find(id);
      if (known == owner.tasks.end()) {
        continue;
      }
      FakeOwner::Entry& entry = known->second;
      if (entry.queued) {
        Refuse(owner, entry, ErrorKind::kCancelled);
      } else if (entry.task.running) {
        FakeTarget& target = targets[entry.target];
        const auto run = target.tasks.find(id);
        if (run != target.tasks.end() && run->second.running) {
          Finish(entry.target, run->second, TaskEnd::kCancelled);
        }
      } else {
        SendEnded(owner, entry, ErrorKind::kCancelled);
      }
    }
  }

  void Answer(FakeOwner& owner, Partition partition) {
    sched::Known known;
    known.home = owner.homes[partition];
    known.epoch = owner.epoch;
    known.complete = true;
    for (std::size_t target = 0; target < targets.size(); ++target) {
      known.complete =
          known.complete && (targets[target].shard != owner.shard ||
                             owner.reported.contains(target));
    }
    for (const auto& [id, entry] : owner.tasks) {
      const TaskSpec& spec = entry.task.spec;
      if (PartitionOf(spec.team, spec.job) != partition) {
        continue;
      }
      if (entry.queued) {
        known.queued.push_back(id);
      } else {
        known.tasks.push_back(entry.task);
      }
    }
    SendToHome(owner, known);
  }

  /// Starts a task, or its whole gang, at targets that have reported to the
  /// owner and are not fenced by a later one.
  void StartUnit(FakeOwner& owner, const TaskSpec& spec) {
    std::vector<std::size_t> usable;
    for (const std::size_t index : owner.reported) {
      if (targets[index].fence <= owner.epoch) {
        usable.push_back(index);
      }
    }
    if (usable.empty()) {
      return;
    }
    for (auto& [id, entry] : owner.tasks) {
      const TaskSpec& each = entry.task.spec;
      const bool member = each.job == spec.job && each.team == spec.team &&
                          (each.index == spec.index || spec.gang_size > 1);
      if (entry.queued && member) {
        StartOne(owner, entry, usable[Draw(usable.size())]);
      }
    }
  }

  void StartOne(FakeOwner& owner, FakeOwner::Entry& entry, std::size_t index) {
    FakeTarget& target = targets[index];
    target.fence = std::max(target.fence, owner.epoch);
    entry.queued = false;
    entry.target = index;
    entry.task.running = true;
    entry.task.epoch = owner.epoch;
    on_start(entry.task);
    target.tasks[entry.task.id] = entry.task;
    SendToHome(
        owner,
        sched::Started{
            owner.homes[PartitionOf(entry.task.spec.team, entry.task.spec.job)],
            entry.task.id, entry.task.attempt, "t" + std::to_string(index)});
  }

  /// Ends a run. Of the owners that the target has reported to, the current one
  /// is notified; former ones may be.
  void Finish(std::size_t index, sched::ReportedTask& run, TaskEnd end) {
    on_end(run.id);
    run.running = false;
    run.end = end;
    run.result = end == TaskEnd::kDone ? "result of " + run.id : "";
    for (FakeOwner& owner : owners) {
      const bool is_current = &owner == &owners[current_owner[owner.shard]];
      const auto known = owner.tasks.find(run.id);
      const bool receives_report =
          owner.reported.contains(index) && known != owner.tasks.end() &&
          known->second.target == index &&
          known->second.task.attempt == run.attempt && !known->second.queued;
      if (receives_report && (is_current || Draw(3) == 0)) {
        known->second.task = run;
        SendEnded(owner, known->second, ErrorKind::kTaskFailed);
      }
    }
  }
};

}  // namespace buckthornmux::home
