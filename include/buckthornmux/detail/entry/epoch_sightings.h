/// When this host first knew that an epoch of the cell had been claimed. Hosts
/// exchange how long ago that was, so that an owner knows when the former ones
/// were replaced, even if it has started since.
#pragma once

#include <map>
#include <set>
#include <span>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"
#include "buckthornmux/detail/entry/calls.h"

namespace buckthornmux::entry {

/// Epochs with the time, on this host's clock, at which they were known.
using EpochSightings = std::map<Epoch, Time>;

/// Number of epochs that are kept, the latest ones.
inline constexpr std::size_t kMaxEpochSightings = 128;

/// Number of hosts that an owner asks at a time.
inline constexpr std::size_t kEpochHostsAsked = 8;

/// @brief Notes the epoch of the last owner that is known at `now`.
void NoteEpoch(EpochSightings& sightings, Epoch epoch, Time now);

/// @brief Merges what another host has seen. Its answer takes time, so that the
///   merged times are later than the true ones, never earlier.
void MergeAges(EpochSightings& sightings, std::span<const EpochAge> ages,
               Time now);

/// @brief Returns how long ago each epoch was first known.
[[nodiscard]] std::vector<EpochAge> AgesOf(const EpochSightings& sightings,
                                           Time now);

/// @brief Returns the sightings as the cell takes them.
[[nodiscard]] std::vector<cell::EpochSighting> ListOf(
    const EpochSightings& sightings);

/// @brief Chooses some of the hosts to be asked for what they have seen, spread
///   over all of them and others each `round`.
[[nodiscard]] std::vector<HostId> HostsToAsk(const std::set<HostId>& hosts,
                                             std::size_t round);

}  // namespace buckthornmux::entry
