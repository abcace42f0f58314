/// Allowances of teams: a team's limit holds over the whole fleet although
/// shards decide apart, because each shard uses no more than the allowance
/// that the team's one record in the store gives it, and the allowances in a
/// record never add up to more than the limit.
/// Pure: the record is read and written by the caller.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::limits {

/// What a shard last asked for.
struct Asked {
  std::int64_t wanted = 0;  ///< Slots.
  Epoch epoch = 0;          ///< Of the shard's owner.

  bool operator==(const Asked&) const = default;
};

/// A team's record, key grants/<team>.
struct TeamGrants {
  TeamName team;
  std::int64_t limit = 0;  ///< In slots, as of `config`.
  Revision config = 0;     ///< Highest revision that a writer knew.
  std::map<ShardId, std::int64_t> slots;  ///< Allowance of each shard.
  std::map<ShardId, Asked> asked;         ///< Demand of each shard.

  bool operator==(const TeamGrants&) const = default;
};

/// What a shard asks for.
struct GrantRequest {
  ShardId shard;
  std::int64_t wanted = 0;    ///< Slots in all that it would use now.
  std::int64_t in_use = 0;    ///< It can't give back below this.
  std::int64_t limit = 0;     ///< As the asking process knows it.
  Revision config = 0;        ///< Revision that the limit comes from.
  Epoch epoch = 0;            ///< Of the shard, as the asking owner holds it.
  std::vector<ShardId> gone;  ///< Surely unused: missing in `config`, and
                              ///< without an owner for longer than a task
                              ///< lease. Their allowances are freed.
};

/// @brief A shard's allowance in a record, 0 where it has none.
[[nodiscard]] std::int64_t SlotsOf(const TeamGrants& record,
                                   const ShardId& shard);

/// @brief Part of the limit that each asking shard should come to.
///
/// All that is wanted, where that fits. Else every asking shard first gets one
/// slot (those that want most, where the limit is too low for that), and what
/// remains is split in proportion to the rest of the demand.
/// @return parts that add up to the limit or to the demand, the lower of both
/// Complexity: linearithmic in shards.
[[nodiscard]] std::map<ShardId, std::int64_t> PartsOf(const TeamGrants& record);

/// @brief Next record for a request: the shard's allowance moves towards its
///   part, raised within what is left of the limit, or lowered, never below
///   what is in use.
/// @param record as read; default-constructed where there was none
/// @param request what the shard asks for
/// @return the record to write by compare-and-swap; the same as `record` where
///   nothing changes; kConfigStale where the asker's revision is older than
///   the record's; kOwnerStale where the shard has a newer owner
/// The asker uses a raised allowance only after the write is known to stand,
/// and stops using a lowered one before it is written (see grant_holder.h). A
/// new owner of a shard uses nothing before a record with its epoch stands:
/// that write also defeats one that its predecessor may still have under way.
/// @par Example
/// @code
/// BOOST_LEAF_AUTO(next, NextGrants(record, {.shard = "s1", .wanted = 20,
///     .in_use = 4, .limit = 100, .config = 7, .epoch = 3}));
/// if (next != record) { ... }  // Compare-and-swap on the record's revision.
/// @endcode
[[nodiscard]] Result<TeamGrants> NextGrants(const TeamGrants& record,
                                            const GrantRequest& request);

/// @brief JSON form of a record, as stored.
[[nodiscard]] std::string EncodeGrants(const TeamGrants& record);

/// @brief Parses EncodeGrants; kMalformed otherwise.
[[nodiscard]] Result<TeamGrants> DecodeGrants(std::string_view text);

}  // namespace buckthornmux::limits
