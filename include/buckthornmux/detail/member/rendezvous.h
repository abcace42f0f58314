/// Who should own what: rendezvous hashing with a bound on each member's load.
#pragma once

#include <map>
#include <span>
#include <string>

#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::member {

/// @brief Chooses the wanted owner of each range.
///
/// Each range goes to the member of its data centre (or of any, where none is
/// there) with the highest hash of member and range, unless that one already
/// has its part: ceil(ranges / members) + 1 of those with the same data centre.
/// @param ranges shards and partitions, in any order
/// @param members registered members; those that are leaving get nothing
/// @return range name to member; empty where there is no member
/// Complexity: ranges times members hashes, the same result in every process.
/// @par Example
/// @code
/// const auto owners = WantedOwners(wanted.ranges, view.members);
/// @endcode
[[nodiscard]] std::map<std::string, HostId, std::less<>> WantedOwners(
    std::span<const RangesWanted::Range> ranges,
    std::span<const Member> members);

}  // namespace buckthornmux::member
