/// Recognizes forwarded calls that must have no effect any more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "buckthornmux/detail/entry/calls.h"

namespace buckthornmux::entry {

/// Maximum time from sending a call to its reply. An owner that takes longer is
/// about to be replaced.
inline constexpr Millis kMaxCallTimeout{2500};

/// Why a call is stale.
enum class StaleReason : std::uint8_t {
  kOtherEpoch,  ///< It was sent to the owner of another epoch.
  kOtherClock,  ///< It was sent to another process: its time is in the future.
  kExpired,     ///< Its sender has given up.
  kOvertaken,   ///< After it was sent, a call like it was refused.
};

/// What the owner has refused in its epoch, for as long as a copy that was sent
/// before the refusal may arrive.
struct RefusedCalls {
  using Key = std::pair<CallKind, std::string>;  ///< Kind of call, and job.
  std::map<Key, Time> last;
  std::deque<std::pair<Time, Key>> order;
  /// Refusals up to this time may be missing.
  Time forgotten_until;
};

/// Maximum number of refusals that are kept.
inline constexpr std::size_t kMaxRefusedCalls = 4096;

/// @brief Records that a submit or cancel was refused.
/// @param now time on the owner's clock
void NoteRefusal(RefusedCalls& refused, CallKind kind, const std::string& job,
                 Time now);

[[nodiscard]] std::string_view NameOf(StaleReason reason);

/// @brief When a call expires on the owner's clock.
[[nodiscard]] Time ExpiryOf(const CellCall& call);

/// @brief Checks whether a connection may have held a call up for too long.
/// @param epoch of the owner that has received the call
/// @param now time on the owner's clock
/// @return nothing if the call may take effect
[[nodiscard]] std::optional<StaleReason> ReasonStale(
    const RefusedCalls& refused, const CellCall& call, Epoch epoch, Time now);

}  // namespace buckthornmux::entry
