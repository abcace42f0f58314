/// The parts of the home's step, shared by the files of this folder.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/home/state.h"

namespace buckthornmux::home {

/// One call of Apply: the state, the time and what is to be done.
struct Step {
  HomeState& state;
  Time now;
  std::vector<Action> actions;
};

/// A task id taken apart.
struct TaskName {
  std::string key;  ///< team/job
  std::uint32_t index = 0;
};

// ---- keys.cc ----

/// @brief Key of a job among those of its partition.
[[nodiscard]] std::string KeyOf(std::string_view team, std::string_view job);
[[nodiscard]] std::string KeyOf(const Job& job);
/// @brief Takes TaskSpec::Id() apart; nothing for other text.
[[nodiscard]] std::optional<TaskName> ParseTaskId(std::string_view id);
/// @brief The partition that holds a request, if this process owns it.
[[nodiscard]] PartitionState* FindPartition(HomeState& state,
                                            Partition partition);
[[nodiscard]] Job* FindJobByKey(PartitionState& partition,
                                const std::string& key);
/// @brief Whether two requests ask for the same work. Deadlines and expected
///   run times may differ between a request and its repetition.
[[nodiscard]] bool SameWork(const JobRequest& one, const JobRequest& other);
/// @brief Whether a job's tasks start together or not at all.
[[nodiscard]] bool IsGang(const Job& job);

// ---- answers.cc ----

/// @brief Truth about whether a job has run so far.
[[nodiscard]] Ran RanOf(const Job& job);
[[nodiscard]] JobStatus StatusOf(const Job& job);
/// @brief What may be said of a request that this home has no job for.
[[nodiscard]] Ran RanOfUnheard(const PartitionState& partition,
                               const JobRequest& request);
/// @brief Registers an open call; every one gets one Reply.
void OpenCallFor(Step& step, std::uint64_t token, Partition partition,
                 std::string key);
/// @brief Refuses a call about work that has no job here.
void Refuse(Step& step, std::uint64_t token, const JobRequest& request,
            ErrorKind error, Ran ran);
/// @brief Answers a call with a job's status as of now.
void AnswerStatus(Step& step, std::uint64_t token, const Job& job,
                  bool accepted);
/// @brief Answers a call with an error, while the job itself may go on.
void AnswerError(Step& step, std::uint64_t token, const Job& job,
                 ErrorKind error);
/// @brief Answers and drops the waiters of one kind with the job's status.
void AnswerWaiters(Step& step, Job& job, Waiter::For until, bool accepted);
void AnswerAllWaiters(Step& step, Job& job);
/// @brief Answers the waiters whose own deadline has passed.
void AnswerLateWaiters(Step& step, Job& job);
/// @brief Adds a line to a job's history, dropping the oldest beyond the bound.
void Note(Step& step, Job& job, std::string what);

// ---- submit.cc ----

void OnSubmit(Step& step, const Submit& event);
void OnQuery(Step& step, const QueryJob& event);
void OnCallerGone(Step& step, const CallerGone& event);

// ---- journaling.cc ----

/// @brief Appends a record of a job and has it looked at once durable.
/// @return the record's sequence
std::uint64_t AppendFor(Step& step, PartitionState& partition, Job& job,
                        JournalRecord record);
void OnJournaled(Step& step, const Journaled& event);
void OnJournalDown(Step& step, const JournalDown& event);

// ---- dispatch.cc ----

/// @brief Sends or journals every task that may start now.
void StartWaiting(Step& step, PartitionState& partition, Job& job);
/// @brief Sends the tasks whose intents have become durable.
void SendIntended(Step& step, PartitionState& partition, Job& job);

// ---- fits.cc ----

/// @brief Whether some shard's targets, all free, could hold the request.
[[nodiscard]] bool EverFits(const HomeState& state, const JobRequest& request);
/// @brief Learns the forms of targets, for EverFits.
void OnConfig(Step& step, const ConfigInForce& event);

// ---- choose.cc ----

/// @brief Picks a shard: this process's own if it has room, else the freer of
///   two drawn at random.
/// @param demand of all that is sent at once
/// @param refused_by shards to leave out
[[nodiscard]] std::optional<ShardId> ChooseShard(
    Step& step, const PartitionState& partition, const Resources& demand,
    const std::vector<ShardId>& refused_by);
/// @brief Takes one retry from the budget of the hop to a shard.
[[nodiscard]] bool TakeRetry(Step& step, const ShardId& shard);
/// @brief A first try earns part of a retry.
void EarnRetry(Step& step, const ShardId& shard);
[[nodiscard]] Resources Times(const Resources& demand, std::uint32_t count);

// ---- results.cc ----

/// How a try ended.
struct TryEnd {
  TaskEnd end = TaskEnd::kDone;
  ErrorKind error = ErrorKind::kInternal;
  Millis retry_after{0};
  std::string result;
};

void OnFromShard(Step& step, const FromShard& event);
void OnSendFailed(Step& step, const SendFailed& event);
/// @brief Ends a task's try: the task ends, or waits for another try.
void EndTry(Step& step, PartitionState& partition, Job& job,
            std::uint32_t index, TryEnd end);
/// @brief Marks a try as started.
void MarkStarted(Step& step, Job& job, std::uint32_t index,
                 std::string_view where);
/// @brief Sets the attempt of a try that was only known to be queued.
void LearnAttempt(Job& job, std::uint32_t index, std::uint32_t attempt);

// ---- ending.cc ----

/// @brief Ends a task that has no try under way.
void EndTask(Step& step, PartitionState& partition, Job& job,
             std::uint32_t index, TryEnd end);
/// @brief Ends the job when all of its tasks have ended.
/// @return whether a gang waits for another try instead
[[nodiscard]] bool FinishIfEnded(Step& step, PartitionState& partition,
                                 Job& job);
/// @brief Whether another try may follow one that ended so.
[[nodiscard]] bool MayRetry(Step& step, const Job& job, const Task& task,
                            const TryEnd& end);
/// @brief Makes an ended task wait for its next try.
void WaitForRetry(Step& step, Job& job, std::uint32_t index, const TryEnd& end);

// ---- cancel.cc ----

void OnCancel(Step& step, const CancelJob& event);
/// @brief Ends what was not sent and asks shards to stop the rest.
/// @param started_too whether also tasks that have started
void TakeBack(Step& step, PartitionState& partition, Job& job, bool started_too,
              ErrorKind error);

// ---- timers.cc ----

/// @brief Has a job looked at again when its next wait ends.
void SetJobTimer(Step& step, PartitionState& partition, Job& job);
void SetPartitionTimer(Step& step, PartitionState& partition);
void DropJobTimer(Step& step, PartitionState& partition, Job& job);
void OnTick(Step& step);
/// @brief Does all that is due for a job now.
void DriveJob(Step& step, PartitionState& partition, Job& job);

// ---- takeover.cc, rebuild.cc, adopt.cc, shards.cc ----

void OnGained(Step& step, const PartitionGained& event);
void OnLost(Step& step, const PartitionLost& event);
/// @brief Rebuilds the jobs that records tell of.
void Rebuild(Step& step, PartitionState& partition,
             const std::vector<JournalRecord>& records);
/// @brief Lets go of the held jobs once every shard has told what it has.
void SettleIfKnown(Step& step, PartitionState& partition);
/// @brief Takes over tries that a former home left for this job.
/// @return false where they are of other work under the same id
[[nodiscard]] bool AdoptInto(Step& step, PartitionState& partition, Job& job);
/// @brief AdoptInto, or ends the job's tasks as a duplicate of other work.
void MeetTries(Step& step, PartitionState& partition, Job& job);
void NoteAdoptedStart(Step& step, PartitionState& partition,
                      const FromShard& event, const sched::Started& started);
void NoteAdoptedEnd(Step& step, PartitionState& partition,
                    const FromShard& event, const sched::Ended& ended);
void OnShards(Step& step, const ShardsChanged& event);
void NoteShardEpoch(Step& step, const ShardId& shard, Epoch epoch);

// ---- inquire.cc ----

/// @brief Asks a shard what it knows of this partition's tasks.
void Ask(Step& step, PartitionState& partition, const ShardId& shard);
void AskDue(Step& step, PartitionState& partition);
void OnKnown(Step& step, PartitionState& partition, const FromShard& event,
             const sched::Known& known);

// ---- retention.cc ----

/// @brief Has an ended job forgotten when its retention is over.
void KeepForRetention(Step& step, PartitionState& partition, const Job& job);
void DropExpired(Step& step, PartitionState& partition);

}  // namespace buckthornmux::home
