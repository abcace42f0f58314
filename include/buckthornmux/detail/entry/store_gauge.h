/// How a host finds the store: whether its calls are answered.
/// Pure: told of calls and times, makes none.
#pragma once

#include <functional>
#include <optional>
#include <set>

#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// What became of the calls to the store since the last good answer.
struct StoreGauge {
  Time answered;                  ///< Start of the latest call answered well.
  std::multiset<Time> open;       ///< Starts of calls without an answer yet.
  std::optional<Time> first_bad;  ///< Start of the first call that failed...
  Time last_bad;                  ///< ...and of the last one, since `answered`.
  Millis answer_time{0};          ///< Of the call that began at `answered`.
};

/// @brief A call left.
void CallBegan(StoreGauge& gauge, Time began);

/// @brief A call has ended.
/// @param began when it left
/// @param now when it ended
/// @param good false for no answer and for a store that rejects this host
void CallEnded(StoreGauge& gauge, Time began, Time now, bool good);

/// @brief How long a call may take, given how long calls took elsewhere or
///   before: a store that is slow for everybody rejects nobody.
[[nodiscard]] Millis LongestAnswer(Millis answer_time);

/// @brief Since when the store does not serve this host.
/// @return start of the first call since the last good one that failed or has
///   no answer for longer than LongestAnswer; nothing while all is well
[[nodiscard]] std::optional<Time> TroubleSince(const StoreGauge& gauge,
                                               Time now);

/// @brief Whether the store serves this host for all that it knows.
[[nodiscard]] bool ServesNow(const StoreGauge& gauge, Time now);

/// @brief Wraps a store's calls so that they are counted.
/// Watches are left out: they wait by design.
/// @param gauge outlives the calls
/// @param clock time of the calls
[[nodiscard]] store::AsyncStore WithGauge(const store::AsyncStore& store,
                                          StoreGauge& gauge,
                                          std::function<Time()> clock);

}  // namespace buckthornmux::entry
