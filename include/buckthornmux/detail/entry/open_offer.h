/// An offer of the cell that nobody has taken yet.
#pragma once

#include <algorithm>
#include <optional>
#include <span>

#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::entry {

/// Who was asked to claim a range, which this host has let go of or whose owner
/// is gone.
struct OpenOffer {
  Epoch epoch = 0;  ///< Of the former owner.
  HostId to;
  Time again_at;   ///< Offered to another host then.
  HostId suspect;  ///< An owner that is gone; empty: this host let go of it.
};

/// A claim takes two calls of the store; a slow one takes this long for them.
inline constexpr Millis kOfferFor{500};

/// @brief Whether the offer has to go to another host: the one that was asked
///   may be gone, and nobody else claims what a registered host owns.
/// @param offer ended where a later owner is known, else moved on
/// @param current epoch of the last owner that this host knows of
/// @param candidates hosts that can take the range over
/// @return the host to ask now
[[nodiscard]] inline std::optional<HostId> NextOffer(
    std::optional<OpenOffer>& offer, Epoch current,
    std::span<const HostId> candidates, Time now) {
  if (offer && current > offer->epoch) {
    offer.reset();
  }
  if (!offer || now < offer->again_at || candidates.empty()) {
    return std::nullopt;
  }
  // In turn, from the one after the host that was asked last.
  const auto last = std::ranges::find(candidates, offer->to);
  const bool wrap =
      last == candidates.end() || std::next(last) == candidates.end();
  offer->to = wrap ? candidates.front() : *std::next(last);
  offer->again_at = now + kOfferFor;
  return offer->to;
}

}  // namespace buckthornmux::entry
