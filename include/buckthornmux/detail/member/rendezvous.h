/// Assignment of ranges to members by rendezvous hashing with bounded loads.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::member {

/// @brief Chooses the wanted owner of each range.
///
/// The candidates for a range are the members of its data centre that have at
/// least half of the highest weight of all members. If there are none, or if
/// the range names no data centre, they are all members with that weight. The
/// range goes to the candidate with the highest hash of member and range among
/// those below the load limit: of the ranges that name the same data centre, a
/// candidate gets at most ceil(ranges / candidates) + 1.
/// @param ranges shards and partitions, in any order
/// @param members registered members; those that are leaving get nothing
/// @return range name to member, the same in every process; empty if all
///   members are leaving
/// Complexity: ranges times members hashes.
/// @par Example
/// @code
/// const auto owners = WantedOwners(wanted.ranges, view.members);
/// @endcode
/// @see OwnersInOrder
[[nodiscard]] std::map<std::string, HostId, std::less<>> WantedOwners(
    std::span<const RangesWanted::Range> ranges,
    std::span<const Member> members);

/// @brief Whether a member has less than half of another's weight. Such a
///   member owns a range only if the other one is not available.
[[nodiscard]] inline bool HasInsufficientWeight(std::uint32_t weight,
                                                std::uint32_t other) {
  return 2 * std::uint64_t{weight} < other;
}

/// @brief Lists the members that may own a range, the preferred one first.
///
/// Members with at least half of the highest weight come first, from the
/// highest hash of member and range to the lowest. The others follow, from the
/// highest weight to the lowest. Unlike WantedOwners, this applies neither data
/// centres nor the load limit.
/// @param members registered members; those that are leaving are skipped
[[nodiscard]] std::vector<HostId> OwnersInOrder(
    const std::string& range, std::span<const Member> members);

}  // namespace buckthornmux::member
