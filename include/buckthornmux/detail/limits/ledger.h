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

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::limits {

/// A team's record, key grants/<team>.
struct TeamGrants {
  TeamName team;
  std::int64_t limit = 0;  ///< In slots, as of `config`.
  Revision config = 0;     ///< Highest revision that a writer knew.
  std::map<ShardId, std::int64_t> slots;  ///< Allowance of each shard.

  bool operator==(const TeamGrants&) const = default;
};

/// What a shard asks for.
struct GrantRequest {
  ShardId shard;
  std::int64_t wanted = 0;  ///< Slots in all that it would use now.
  std::int64_t in_use = 0;  ///< It can't give back below this.
  std::int64_t limit = 0;   ///< As the asking process knows it.
  Revision config = 0;      ///< Revision that the limit comes from.
};

/// @brief Next record for a request: raised within what is left of the limit,
///   or lowered to what is wanted, never below what is in use.
/// @param record as read; default-constructed where there was none
/// @param request what the shard asks for
/// @return the record to write by compare-and-swap; the same as `record` where
///   nothing changes; kConfigStale where the asker's revision is older than
///   the record's
/// The asker uses a raised allowance only after the write is known to stand,
/// and stops using a lowered one before it is written.
[[nodiscard]] Result<TeamGrants> NextGrants(const TeamGrants& record,
                                            const GrantRequest& request);

/// @brief JSON form of a record, as stored.
[[nodiscard]] std::string EncodeGrants(const TeamGrants& record);

/// @brief Parses EncodeGrants; kMalformed otherwise.
[[nodiscard]] Result<TeamGrants> DecodeGrants(std::string_view text);

}  // namespace buckthornmux::limits
