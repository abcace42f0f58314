/// Offer of the cell to another host that is not accepted yet.
#pragma once

#include <algorithm>
#include <optional>
#include <span>

#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::entry {

/// Offer of a range to a host that is asked to claim it. Either this host has
/// released the range, or the range's owner has failed.
struct OpenOffer {
  Epoch epoch = 0;  ///< Epoch of the former owner.
  HostId to;
  Time next_host_at;  ///< When another host is asked.
  HostId suspect;  ///< The failed owner; empty if this host released the range.
};

/// Time until another host is asked. A claim takes two store calls, and a slow
/// store takes this long for them.
inline constexpr Millis kOfferTimeout{500};

/// @brief Moves an offer on to another host if it is due. The host that was
///   asked may have failed, and no other host claims a range that a registered
///   host owns.
/// @param offer reset if a later owner is known, otherwise updated
/// @param current epoch of the last owner that this host knows of
/// @param candidates hosts that can take the range over
/// @return the host to ask now; nothing if none is due
[[nodiscard]] inline std::optional<HostId> NextOffer(
    std::optional<OpenOffer>& offer, Epoch current,
    std::span<const HostId> candidates, Time now) {
  if (offer && current > offer->epoch) {
    offer.reset();
  }
  if (!offer || now < offer->next_host_at || candidates.empty()) {
    return std::nullopt;
  }
  // Round robin, starting after the host that was asked last.
  const auto last = std::ranges::find(candidates, offer->to);
  const bool wrap =
      last == candidates.end() || std::next(last) == candidates.end();
  offer->to = wrap ? candidates.front() : *std::next(last);
  offer->next_host_at = now + kOfferTimeout;
  return offer->to;
}

}  // namespace buckthornmux::entry
