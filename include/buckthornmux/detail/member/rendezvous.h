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
/// Each range goes to the member of its data centre (or of any, if that has no
/// eligible member) with the highest hash of member and range. A member is
/// eligible if it has at least half of the highest weight and fewer than
/// ceil(ranges / members) + 1 ranges with the same data centre.
/// @param ranges shards and partitions, in any order
/// @param members registered members; those that are leaving get nothing
/// @return range name to member; empty if there is no eligible member. The same
///   in every process.
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

/// @brief Lists the members that may own a range, the wanted one first.
///
/// Members with at least half of the highest weight come first, ordered by the
/// hash of member and range. The others follow, ordered by weight.
/// @param members registered members; those that are leaving are skipped
[[nodiscard]] std::vector<HostId> OwnersInOrder(
    const std::string& range, std::span<const Member> members);

}  // namespace buckthornmux::member
