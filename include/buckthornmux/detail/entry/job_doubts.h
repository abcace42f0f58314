/// Remembers jobs that may have been accepted although the last answer to their
/// submit did not say so.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/entry/open_call.h"

namespace buckthornmux::entry {

/// Why a job must not be called refused without a look at the cell.
struct JobDoubt {
  Epoch epoch = 0;  ///< Of the last owner that may have accepted the job.
  Time since;       ///< When this host learnt of it.
};

/// A host that has no owner to ask would refuse the next try of such a job,
/// although the next owner may find it in the store.
struct JobDoubts {
  std::map<std::string, JobDoubt, std::less<>> jobs;
  std::deque<std::pair<Time, std::string>> order;  ///< Oldest first.
};

/// Exceeds the time during which callers repeat a submit.
inline constexpr Millis kDoubtMemory{30'000};
inline constexpr std::size_t kMaxDoubts = 4096;

/// @brief Records that the owner of an epoch may have accepted a job.
void NoteDoubt(JobDoubts& doubts, const std::string& job, Epoch epoch,
               Time now);

/// @brief Returns the doubt about a job, if there is one.
[[nodiscard]] std::optional<JobDoubt> DoubtOf(const JobDoubts& doubts,
                                              std::string_view job, Time now);

/// @brief Whether a refusal shows that the job was not accepted before.
/// @param refused_by epoch of the owner that refused the job; 0 if none did
/// @param asked_at earliest time at which the owner was asked
[[nodiscard]] bool Settles(const JobDoubt& doubt, Epoch refused_by,
                           Time asked_at);

/// @brief Forgets the doubt about a submit's job if the reply settles it.
void ApplyToDoubt(JobDoubts& doubts, const OpenCall& open,
                  const CellReply& reply, Time now);

/// @brief Returns the failure to tell the caller: the outcome of a submit is
///   unknown if an earlier try may have been accepted.
[[nodiscard]] CallFailure TruthfulFailure(const JobDoubts& doubts,
                                          const OpenCall& open,
                                          CallFailure failure, Time now);

/// @brief Returns the doubt that a lost copy of a submit or an unknown outcome
///   gives rise to, and records it; nothing if it was known already.
[[nodiscard]] std::optional<JobInDoubt> NewDoubt(JobDoubts& doubts,
                                                 const OpenCall& open,
                                                 Time now);

}  // namespace buckthornmux::entry
