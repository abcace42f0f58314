/// Tracks whether the store answers this host's calls.
/// Pure: calls and times are passed in; it makes no calls itself.
#pragma once

#include <functional>
#include <optional>
#include <set>

#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// Results of the store calls since the last successful one.
struct StoreGauge {
  Time answered;                      ///< Start of the latest successful call.
  std::multiset<Time> open;           ///< Starts of unanswered calls.
  std::optional<Time> first_failure;  ///< Start of the first failure.
  Time last_failure;      ///< Start of the last failed call after `answered`.
  Millis answer_time{0};  ///< Duration of the call that began at `answered`.
};

/// @brief Records that a call was sent.
void CallBegan(StoreGauge& gauge, Time began);

/// @brief Records the end of a call.
/// @param began when the call was sent
/// @param now when it ended
/// @param succeeded false if there was no answer or the store rejected the host
void CallEnded(StoreGauge& gauge, Time began, Time now, bool succeeded);

/// @brief Returns how long a call may take before it counts as failed.
/// @param answer_time duration of an earlier call or of one by another host; a
///   store that is slow for all hosts does not count as failing
[[nodiscard]] Millis ResponseTimeout(Millis answer_time);

/// @brief Returns since when the store does not serve this host.
/// @return start of the first call after the last successful one that failed or
///   has been unanswered for longer than ResponseTimeout; nothing if there is
///   none
[[nodiscard]] std::optional<Time> FailingSince(const StoreGauge& gauge,
                                               Time now);

/// @brief Whether no call has failed since the last successful one, and none is
///   overdue.
[[nodiscard]] bool ServesNow(const StoreGauge& gauge, Time now);

/// @brief Whether a call that was sent after `since` has failed, also if later
///   ones succeeded.
[[nodiscard]] bool FailedLately(const StoreGauge& gauge, Time since);

/// @brief Wraps a store so that the gauge records its calls.
/// Watches are not recorded, since they wait by design.
/// @param gauge outlives the calls
/// @param clock gives the start and end times of calls
[[nodiscard]] store::AsyncStore WithGauge(const store::AsyncStore& store,
                                          StoreGauge& gauge,
                                          std::function<Time()> clock);

}  // namespace buckthornmux::entry
