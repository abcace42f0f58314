/// Who should own what: rendezvous hashing with a bound on each member's load.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::member {

/// @brief Chooses the wanted owner of each range.
///
/// Each range goes to the member of its data centre (or of any, where none is
/// there) that can carry it, with the highest hash of member and range, unless
/// that one already has its part: ceil(ranges / members) + 1 of those with the
/// same data centre.
/// @param ranges shards and partitions, in any order
/// @param members registered members; those that are leaving get nothing
/// @return range name to member; empty where there is no member
/// Complexity: ranges times members hashes, the same result in every process.
/// @par Example
/// @code
/// const auto owners = WantedOwners(wanted.ranges, view.members);
/// @endcode
/// @see OwnersInOrder for what "can carry" means
[[nodiscard]] std::map<std::string, HostId, std::less<>> WantedOwners(
    std::span<const RangesWanted::Range> ranges,
    std::span<const Member> members);

/// @brief Whether a member's weight is under half of another's: too little
///   where the other one can be had.
[[nodiscard]] inline bool CarriesLess(std::uint32_t weight,
                                      std::uint32_t other) {
  return 2 * std::uint64_t{weight} < other;
}

/// @brief Members that may own a range, the wanted one first.
///
/// First those that can carry it, that is at least half of what the strongest
/// one can, by the hash of member and range; then the others by their weight.
/// @param members those that are leaving are left out
[[nodiscard]] std::vector<HostId> OwnersInOrder(
    const std::string& range, std::span<const Member> members);

}  // namespace buckthornmux::member
