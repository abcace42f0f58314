/// Recognizes forwarded calls that must have no effect any more.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

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
};

[[nodiscard]] std::string_view NameOf(StaleReason reason);

/// @brief When a call expires on the owner's clock.
[[nodiscard]] Time ExpiryOf(const CellCall& call);

/// @brief Checks whether a connection may have held a call up for too long.
/// @param epoch of the owner that has received the call
/// @param now time on the owner's clock
/// @return nothing if the sender may still wait for the reply
[[nodiscard]] std::optional<StaleReason> ReasonStale(const CellCall& call,
                                                     Epoch epoch, Time now);

}  // namespace buckthornmux::entry
