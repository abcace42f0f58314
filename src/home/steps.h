/// Functions and types that the files of this folder share to process one
/// event.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/home/state.h"

namespace buckthornmux::home {

/// Context of one call of Apply: the state, the time and the resulting actions.
struct Step {
  HomeState& state;
  Time now;
  std::vector<Action> actions;
};

/// A parsed task id.
struct TaskName {
  std::string key;  ///< team/job
  std::uint32_t index = 0;
};

// ---- keys.cc ----

/// @brief Returns the key of a job within its partition.
[[nodiscard]] std::string KeyOf(std::string_view team, std::string_view job);
[[nodiscard]] std::string KeyOf(const Job& job);
/// @brief Parses the output of TaskSpec::Id(); nullopt for other text.
[[nodiscard]] std::optional<TaskName> ParseTaskId(std::string_view id);
/// @brief Finds a partition; null if this process does not own it.
[[nodiscard]] PartitionState* FindPartition(HomeState& state,
                                            Partition partition);
[[nodiscard]] Job* FindJobByKey(PartitionState& partition,
                                const std::string& key);
/// @brief Whether two requests describe the same work. Deadlines and expected
/// run times may differ between a request and its repetition.
[[nodiscard]] bool SameWork(const JobRequest& one, const JobRequest& other);
/// @brief Whether a job's tasks have to start together.
[[nodiscard]] bool IsGang(const Job& job);

// ---- answers.cc ----

/// @brief Whether any part of a job has run so far.
[[nodiscard]] Ran RanOf(const Job& job);
[[nodiscard]] JobStatus StatusOf(const Job& job);
/// @brief Whether a request that has no job here may have run.
[[nodiscard]] Ran RanOfUnknownRequest(const PartitionState& partition,
                                      const JobRequest& request);
/// @brief Registers an open call. Each call gets exactly one Reply.
void OpenCallFor(Step& step, std::uint64_t token, Partition partition,
                 std::string key);
/// @brief Rejects a call about a request that has no job here.
void Refuse(Step& step, std::uint64_t token, const JobRequest& request,
            ErrorKind error, Ran ran);
/// @brief Answers a call with a job's current status.
void AnswerStatus(Step& step, std::uint64_t token, const Job& job,
                  bool accepted);
/// @brief Answers a call with an error. The job itself may continue.
void AnswerError(Step& step, std::uint64_t token, const Job& job,
                 ErrorKind error);
/// @brief Answers the waiters of one kind with the job's status and removes
/// them.
void AnswerWaiters(Step& step, Job& job, Waiter::For until, bool accepted);
void AnswerAllWaiters(Step& step, Job& job);
/// @brief Answers the waiters whose own deadline has passed.
void AnswerLateWaiters(Step& step, Job& job);
/// @brief Adds an entry to a job's history and drops the oldest one beyond the
/// limit.
void Note(Step& step, Job& job, std::string what);

// ---- submit.cc ----

void OnSubmit(Step& step, const Submit& event);
void OnQuery(Step& step, const QueryJob& event);
void OnCallerGone(Step& step, const CallerGone& event);

// ---- journaling.cc ----

/// @brief Appends a record of a job and processes the job once it is durable.
/// @return the record's sequence
std::uint64_t AppendFor(Step& step, PartitionState& partition, Job& job,
                        JournalRecord record);
void OnJournaled(Step& step, const Journaled& event);
void OnJournalDown(Step& step, const JournalDown& event);

// ---- dispatch.cc ----

/// @brief Sends all tasks that may start now, or journals their intents first.
void StartWaiting(Step& step, PartitionState& partition, Job& job);
/// @brief Sends the tasks whose intents have become durable.
void SendIntended(Step& step, PartitionState& partition, Job& job);

// ---- fits.cc ----

/// @brief Whether some shard could hold the request if all its targets were
/// free.
[[nodiscard]] bool EverFits(const HomeState& state, const JobRequest& request);
/// @brief Stores the targets' capacities and labels, for EverFits.
void OnConfig(Step& step, const ConfigInForce& event);

// ---- choose.cc ----

/// @brief Chooses a shard: one of this process if it has room, else the better
/// of two drawn at random.
/// @param demand total demand of the tasks that are sent together
/// @param refused_by shards to exclude
[[nodiscard]] std::optional<ShardId> ChooseShard(
    Step& step, const PartitionState& partition, const Resources& demand,
    const std::vector<ShardId>& refused_by);
/// @brief Consumes one retry of a shard's budget; false if the budget is empty.
[[nodiscard]] bool ConsumeRetry(Step& step, const ShardId& shard);
/// @brief Adds HomeOptions::retry_ratio to a shard's budget, for a first
/// attempt.
void AddRetryCredit(Step& step, const ShardId& shard);
[[nodiscard]] Resources Multiply(const Resources& demand, std::uint32_t count);

// ---- results.cc ----

/// Outcome of an attempt.
struct AttemptEnd {
  TaskEnd end = TaskEnd::kDone;
  ErrorKind error = ErrorKind::kInternal;
  Millis retry_after{0};
  std::string result;
};

void OnFromShard(Step& step, const FromShard& event);
void OnSendFailed(Step& step, const SendFailed& event);
/// @brief Ends a task's attempt: the task ends, or waits for another attempt.
void EndAttempt(Step& step, PartitionState& partition, Job& job,
                std::uint32_t index, AttemptEnd end);
/// @brief Marks an attempt as started.
void MarkStarted(Step& step, Job& job, std::uint32_t index,
                 std::string_view where);
/// @brief Sets the number of an attempt that was only known to be queued.
void SetAttemptNumber(Job& job, std::uint32_t index, std::uint32_t attempt);

// ---- ending.cc ----

/// @brief Ends a task that has no attempt in progress.
void EndTask(Step& step, PartitionState& partition, Job& job,
             std::uint32_t index, AttemptEnd end);
/// @brief Ends the job when all of its tasks have ended.
/// @return true if the job is a gang that waits for another attempt instead
[[nodiscard]] bool FinishIfEnded(Step& step, PartitionState& partition,
                                 Job& job);
/// @brief Whether another attempt may follow one with this outcome.
[[nodiscard]] bool MayRetry(Step& step, const Job& job, const Task& task,
                            const AttemptEnd& end);
/// @brief Makes an ended task wait for its next attempt.
void WaitForRetry(Step& step, Job& job, std::uint32_t index,
                  const AttemptEnd& end);

// ---- cancel.cc ----

void OnCancel(Step& step, const CancelJob& event);
/// @brief Ends the tasks that were not sent and asks shards to cancel the
/// others.
/// @param started_too whether to cancel tasks that have started
void WithdrawTasks(Step& step, PartitionState& partition, Job& job,
                   bool started_too, ErrorKind error);

// ---- timers.cc ----

/// @brief Sets a job's timer to its next deadline or delay.
void SetJobTimer(Step& step, PartitionState& partition, Job& job);
void SetPartitionTimer(Step& step, PartitionState& partition);
void DropJobTimer(Step& step, PartitionState& partition, Job& job);
void OnTick(Step& step);
/// @brief Performs all steps of a job that are due now.
void DriveJob(Step& step, PartitionState& partition, Job& job);

// ---- takeover.cc, rebuild.cc, adopt.cc, shards.cc ----

void OnGained(Step& step, const PartitionGained& event);
void OnLost(Step& step, const PartitionLost& event);
/// @brief Rebuilds jobs from journal records.
void Rebuild(Step& step, PartitionState& partition,
             const std::vector<JournalRecord>& records);
/// @brief Releases the held jobs once every shard has reported its tasks.
void SettleIfKnown(Step& step, PartitionState& partition);
/// @brief Takes over the attempts that a former owner made for this job.
/// @return false if they are of different work under the same id
[[nodiscard]] bool AdoptInto(Step& step, PartitionState& partition, Job& job);
/// @brief Calls AdoptInto; if that fails, ends the job's tasks as a duplicate
/// request.
void AdoptOrRejectAttempts(Step& step, PartitionState& partition, Job& job);
void RecordAdoptedStart(Step& step, PartitionState& partition,
                        const FromShard& event, const sched::Started& started);
void RecordAdoptedEnd(Step& step, PartitionState& partition,
                      const FromShard& event, const sched::Ended& ended);
void OnShards(Step& step, const ShardsChanged& event);
/// @brief Records a shard's epoch if it is higher than the known one, and sends
/// Inquires to the new owner where needed.
void NoteShardEpoch(Step& step, const ShardId& shard, Epoch epoch);

// ---- inquire.cc ----

/// @brief Sends an Inquire about this partition's tasks to a shard.
void SendInquire(Step& step, PartitionState& partition, const ShardId& shard);
/// @brief Sends the Inquires of a partition that are due now.
void InquireDue(Step& step, PartitionState& partition);
/// @brief Processes a shard's answer to an Inquire.
void OnKnown(Step& step, PartitionState& partition, const FromShard& event,
             const sched::Known& known);

// ---- retention.cc ----

/// @brief Schedules the removal of an ended job after its retention.
void KeepForRetention(Step& step, PartitionState& partition, const Job& job);
/// @brief Removes ended jobs past their retention or beyond the maximum number,
/// and expired adopted tasks.
void DropExpired(Step& step, PartitionState& partition);

}  // namespace buckthornmux::home
