/// Steps of a host's shutdown.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// A leaving host continues to serve until the load balancer has removed it,
/// which takes two health checks, one second apart.
inline constexpr Millis kLeaveDelay{3500};
/// Time left before SIGKILL when all calls are ended.
inline constexpr Millis kShutdownMargin{800};
/// Time to write the responses, and to end the registration.
inline constexpr Millis kFlushTimeout{500};

/// What a host that was told to stop does next.
enum class ShutdownStep : std::uint8_t {
  kServe,     ///< Serves callers and hands the cell over.
  kEndCalls,  ///< Answers what is open, and ends its registration.
  kFlush,     ///< Writes the responses.
  kExit,
};

struct ShutdownState {
  Time began;
  bool forced = false;  ///< A second signal came.
  /// When the calls were ended; 0 if they were not.
  Time calls_ended;
  bool registered = true;
  bool owns_nothing = false;
  std::size_t open_calls = 0;      ///< Calls without a response.
  std::size_t open_responses = 0;  ///< Requests whose response isn't written.
};

/// @brief Decides the next step.
/// @param grace time between the signal and SIGKILL
[[nodiscard]] inline ShutdownStep NextShutdownStep(const ShutdownState& state,
                                                   Millis grace, Time now) {
  if (state.calls_ended > Time{}) {
    const bool done = !state.registered && state.open_responses == 0;
    return done || now - state.calls_ended >= kFlushTimeout
               ? ShutdownStep::kExit
               : ShutdownStep::kFlush;
  }
  const Millis since = now - state.began;
  const Millis limit = grace - kShutdownMargin;
  const bool done = since >= std::min(kLeaveDelay, limit) &&
                    state.open_calls == 0 && state.owns_nothing;
  return done || state.forced || since >= limit ? ShutdownStep::kEndCalls
                                                : ShutdownStep::kServe;
}

}  // namespace buckthornmux::entry
