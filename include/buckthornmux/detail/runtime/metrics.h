/// Counters and Boost.Histogram times, served on /metrics.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::runtime {

/// Everything that is counted, by the names that docs/OPERATIONS.md lists.
enum class Counter : std::uint8_t {
  kRequests,           ///< HTTP requests read whole.
  kJobsSubmitted,      ///< Submits with a good key.
  kJobsAnswered,       ///< Answered with a result or an acceptance.
  kJobsRefused,        ///< Answered with an error.
  kKeysRefused,        ///< Requests with no good key.
  kCallsRerouted,      ///< Calls sent to another home than at first.
  kTasksStarted,       ///< Starts sent to targets.
  kTasksEnded,         ///< Ends reported by targets.
  kTasksStopped,       ///< Stops sent to targets.
  kJournalWrites,      ///< Segments written.
  kJournalRecords,     ///< Records written.
  kStoreErrors,        ///< Store calls without a good answer.
  kLedgerWrites,       ///< Allowance records written.
  kRangesGained,       ///< Ranges this process became the owner of.
  kRangesLost,         ///< Ranges lost or released.
  kPeerMessages,       ///< Messages received from entry hosts.
  kRingsFull,          ///< Messages refused by a full ring.
  kRecordsOmitted,     ///< Records left out, since the store rejects them.
  kCallsStale,         ///< Calls of other hosts that arrived too late.
  kRequestsOverLimit,  ///< Client inputs beyond a limit.
  kJobsRefusedLate,    ///< Refused, since they would end without any value.
  kCount,
};

/// Values that rise and fall, of the ranges that this process owns.
enum class Gauge : std::uint8_t {
  kOccurrencesWaiting,  ///< Occurrences of recurring jobs that are overdue.
  kJobsBehind,          ///< Jobs with such occurrences.
  kStepsWaiting,        ///< Steps with tasks that are ready to start.
  kRuns,                ///< Runs on all targets.
  kJobBytes,            ///< Approximate memory of all jobs, bytes.
  kTargetsReserved,     ///< Targets reserved for a task on probation.
  kSuspectsWaiting,     ///< Waiting tasks that may have crashed targets.
  kLongestCrashHold,    ///< Longest wait that such tasks cause, ms.
  kOwnerLinkKbps,       ///< Link rate of the owner, the larger direction.
  kOwnerBusyPermille,   ///< Processor use of the owner, of its share.
  kTargetsEvacuated,    ///< Targets of evacuated data centres.
  kRequestBytes,        ///< Bytes held for unanswered requests of clients.
  kInterferingPairs,    ///< Kinds of tasks that slow each other down.
  kHeadroomCpu,         ///< Kept free for urgent work, millicores.
  kIdleBesideWork,      ///< Time of free room beside work that fits it, ms.
  kTargetListAge,       ///< Age of the list of targets, ms.
  kUnrecovered,         ///< Time that jobs taken over have not started, ms.
  kGangsWaiting,        ///< Gangs that wait beside room for them.
  kLongestGangWait,     ///< Longest such wait, ms.
  kCount,
};

/// Times that are measured.
enum class Timing : std::uint8_t {
  kUrgentAnswer,   ///< From a submit at the front to its answer.
  kPatientAccept,  ///< From a submit at the front to its acceptance.
  kJournalWrite,   ///< One segment.
  kOwnerStep,      ///< One step of the owner duty.
  kCount,
};

/// @brief Registry of one process; every call is safe from any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// @brief Adds to a counter.
  void Count(Counter counter, std::uint64_t amount = 1);

  /// @brief Sets a gauge.
  void Set(Gauge gauge, std::uint64_t value);

  /// @brief Records a span of time.
  void Record(Timing timing, std::chrono::nanoseconds span);

  /// @brief Text form: one "name value" line each; times in milliseconds with
  ///   quantiles and count.
  [[nodiscard]] std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// @brief Name of a counter on /metrics.
[[nodiscard]] std::string_view CounterName(Counter counter);

/// @brief Name of a gauge on /metrics.
[[nodiscard]] std::string_view GaugeName(Gauge gauge);

/// @brief Name of a timing on /metrics.
[[nodiscard]] std::string_view TimingName(Timing timing);

}  // namespace buckthornmux::runtime
