/// Per-shard allowances of teams. A team's limit holds across the whole fleet
/// although shards decide independently: each team has a single record in the
/// store, each shard uses no more than its allowance in that record, and the
/// sum of the allowances never exceeds the limit.
/// Free of I/O: the caller reads and writes the record.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::limits {

/// Last request of a shard.
struct Asked {
  std::int64_t wanted = 0;  ///< Requested slots in total.
  Epoch epoch = 0;          ///< Epoch of the shard's owner.

  bool operator==(const Asked&) const = default;
};

/// A team's record, stored under the key grants/<team>.
struct TeamGrants {
  TeamName team;
  std::int64_t limit = 0;  ///< Limit in slots as of revision `config`.
  Revision config = 0;  ///< Highest configuration revision known to any writer.
  std::map<ShardId, std::int64_t> slots;  ///< Allowance of each shard.
  std::map<ShardId, Asked> asked;         ///< Demand of each shard.

  bool operator==(const TeamGrants&) const = default;
};

/// Request of a shard for an allowance.
struct GrantRequest {
  ShardId shard;
  std::int64_t wanted = 0;  ///< Slots in total that the shard could use now.
  /// Slots in use; the allowance can't be lowered below this.
  std::int64_t in_use = 0;
  std::int64_t limit = 0;  ///< Limit known to the requesting process.
  Revision config = 0;     ///< Configuration revision of `limit`.
  Epoch epoch = 0;  ///< Epoch of the shard's owner that sends the request.
  /// Shards that are missing in `config` and have had no owner for longer than
  /// a task lease, so that none of their slots are in use. Their allowances are
  /// freed.
  std::vector<ShardId> gone;
};

/// @brief A shard's allowance in a record; 0 if it has none.
[[nodiscard]] std::int64_t SlotsOf(const TeamGrants& record,
                                   const ShardId& shard);

/// @brief Fair part of the limit for each requesting shard.
///
/// If the total demand fits the limit, each shard gets its demand. Otherwise
/// each shard first gets one slot (the shards with the highest demand, if the
/// limit is too low for all), and the remaining slots are split in proportion
/// to the remaining demand.
/// @return parts whose sum is the lower of the limit and the total demand
/// Complexity: O(n log n) in the number of shards.
[[nodiscard]] std::map<ShardId, std::int64_t> FairParts(
    const TeamGrants& record);

/// @brief Computes the next record for a request. The shard's allowance moves
///   towards its fair part: it is raised as far as the limit has unallocated
///   slots, or lowered, but never below the slots in use.
/// @param record record read; default-constructed if there was none
/// @param request request of the shard
/// @return the record to write by compare-and-swap, equal to `record` if
///   nothing changes; kConfigStale if the request's revision is older than the
///   record's; kOwnerStale if the shard has a newer owner
/// The shard uses a raised allowance only after the write is known to have
/// succeeded, and stops using a lowered one before it is written (see
/// grant_holder.h). A new owner of a shard uses no slots before a record with
/// its epoch has been written; that write also makes the compare-and-swap fail
/// that its predecessor may still have in flight.
/// @par Example
/// @code
/// BOOST_LEAF_AUTO(next, NextGrants(record, {.shard = "s1", .wanted = 20,
///     .in_use = 4, .limit = 100, .config = 7, .epoch = 3}));
/// if (next != record) { ... }  // Compare-and-swap on the record's revision.
/// @endcode
[[nodiscard]] Result<TeamGrants> NextGrants(const TeamGrants& record,
                                            const GrantRequest& request);

/// @brief Encodes a record as the JSON text that is stored.
[[nodiscard]] std::string EncodeGrants(const TeamGrants& record);

/// @brief Parses the output of EncodeGrants; kMalformed for other input.
[[nodiscard]] Result<TeamGrants> DecodeGrants(std::string_view text);

}  // namespace buckthornmux::limits
