/// Test driver of a partition owner: passes events in and collects the actions
/// by type.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/home/state.h"

namespace buckthornmux::home {

/// A partition owner with a simulated clock and the actions that it has
/// returned so far.
struct HomeDriver {
  HomeState state = MakeHome({}, {Time(Millis(0)), 1'000'000});
  Time now{Millis(0)};
  std::vector<Reply> replies;
  std::vector<Append> appends;
  std::vector<std::pair<ShardId, sched::Enqueue>> enqueues;
  std::vector<std::pair<ShardId, sched::Cancel>> cancels;
  std::vector<std::pair<ShardId, sched::Inquire>> inquires;
  std::vector<ToShard> sent;

  void Do(const Event& event) {
    for (Action& action : Apply(state, event, now)) {
      Take(std::move(action));
    }
  }

  void Advance(Millis by) {
    now += by;
    Do(Tick{});
  }

  /// Gains every partition, with the idle shards s1 (local) and s2.
  void Start(std::vector<JournalRecord> records = {}, Epoch epoch = 1) {
    Shards();
    for (Partition number = 0; number < kPartitions; ++number) {
      std::vector<JournalRecord> own;
      for (const JournalRecord& record : records) {
        if (PartitionOf(record.team, record.job) == number) {
          own.push_back(record);
        }
      }
      Do(PartitionGained{{number, epoch}, own});
    }
  }

  void Shards(Epoch epoch1 = 1, bool reachable1 = true) {
    const Resources room{100, 100'000, 100'000, 0};
    Do(ShardsChanged{{{"s1", reachable1, epoch1, room, 0, true},
                      {"s2", true, 1, room, 0, false}}});
  }

  /// Answers every open Inquire of a shard.
  void Answer(const ShardId& shard, Epoch epoch = 1, bool complete = true,
              std::vector<sched::ReportedTask> tasks = {},
              std::vector<std::string> queued = {}) {
    const auto open = std::exchange(inquires, {});
    for (const auto& [to, inquire] : open) {
      if (to != shard) {
        inquires.emplace_back(to, inquire);
        continue;
      }
      Do(FromShard{shard, epoch,
                   sched::Known{inquire.home, epoch, complete, tasks, queued}});
    }
  }

  void StartSettled(std::vector<JournalRecord> records = {}) {
    Start(std::move(records));
    Answer("s1");
    Answer("s2");
  }

  void Journal() {
    for (const Append& append : std::vector<Append>(appends)) {
      Do(Journaled{append.partition, append.sequence});
    }
  }

  void ReportStarted(std::size_t which, Epoch epoch = 1) {
    const auto [shard, enqueue] = enqueues.at(which);
    const TaskSpec& task = enqueue.tasks.front();
    Do(FromShard{shard, epoch,
                 sched::Started{enqueue.home, task.Id(), task.attempt, "t1"}});
  }

  void ReportEnded(std::size_t which, TaskEnd end,
                   ErrorKind error = ErrorKind::kInternal,
                   const std::string& result = {}, Epoch epoch = 1) {
    const auto [shard, enqueue] = enqueues.at(which);
    const TaskSpec& task = enqueue.tasks.front();
    Do(FromShard{shard, epoch,
                 sched::Ended{enqueue.home, task.Id(), task.attempt, end, error,
                              Millis(0), result}});
  }

  [[nodiscard]] std::vector<JournalRecord> Records() const {
    std::vector<JournalRecord> records;
    for (const Append& append : appends) {
      records.push_back(append.record);
    }
    return records;
  }

 private:
  void Take(Action action) {
    if (auto* reply = std::get_if<Reply>(&action)) {
      replies.push_back(std::move(*reply));
    } else if (auto* append = std::get_if<Append>(&action)) {
      appends.push_back(std::move(*append));
    } else if (auto* to = std::get_if<ToShard>(&action)) {
      sent.push_back(*to);
      if (auto* enqueue = std::get_if<sched::Enqueue>(&to->message)) {
        enqueues.emplace_back(to->shard, std::move(*enqueue));
      } else if (auto* cancel = std::get_if<sched::Cancel>(&to->message)) {
        cancels.emplace_back(to->shard, std::move(*cancel));
      } else {
        inquires.emplace_back(to->shard, std::get<sched::Inquire>(to->message));
      }
    }
  }
};

/// Returns a request for one task that needs one slot.
inline JobRequest MakeRequest(std::string id, WorkClass work_class,
                              bool idempotent) {
  JobRequest request;
  request.id = std::move(id);
  request.team = "red";
  request.kind = "checkin";
  request.work_class = work_class;
  request.idempotent = idempotent;
  request.demand = {1, 100, 100, 0};
  request.payload = "payload";
  if (work_class == WorkClass::kUrgent) {
    request.deadline = 1'000'000 + 2000;
  }
  return request;
}

}  // namespace buckthornmux::home
