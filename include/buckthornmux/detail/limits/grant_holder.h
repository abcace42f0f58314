/// What one shard may use of a team's limit while its requests to the ledger
/// are under way. Pure: the record is read and written by the caller.
#pragma once

#include <optional>

#include "buckthornmux/detail/limits/ledger.h"

namespace buckthornmux::limits {

/// A shard owner's hold on the allowance of one team.
struct GrantHolder {
  Epoch epoch = 0;          ///< Of the shard's owner; a new owner starts anew.
  std::int64_t usable = 0;  ///< The shard starts nothing beyond this.
  std::optional<Revision> unresolved;  ///< A write that expects this revision
                                       ///< of the key may still take effect.
};

/// How a compare-and-swap on a team's record ended.
enum class GrantWrite : std::uint8_t {
  kWritten,
  kLost,         ///< The compare failed.
  kUnavailable,  ///< Surely without effect.
  kUnknown,      ///< May have, or may still take, effect.
};

/// @brief Takes in the record as read and prepares the next write.
///
/// `usable` falls at once to what the next record will allow, so `in_use` of
/// the request has to be read, and `usable` put in force, in one step of the
/// thread that starts tasks.
/// @param holder changed in place
/// @param record as read; default-constructed where there was none
/// @param revision of the key as read; store::kAbsent where there was none
/// @param request its epoch is the holder's
/// @return the record to write if the key is still at `revision`, or nothing
///   where nothing has to change; the errors of NextGrants
/// One write at a time: WriteEnded comes before the next call.
/// @par Example
/// @code
/// BOOST_LEAF_AUTO(next, PrepareWrite(holder, record, revision, request));
/// if (next) { ... WriteEnded(holder, *next, request.shard, revision, end); }
/// @endcode
[[nodiscard]] Result<std::optional<TeamGrants>> PrepareWrite(
    GrantHolder& holder, const TeamGrants& record, Revision revision,
    const GrantRequest& request);

/// @brief Takes in how a prepared write ended.
/// @param holder changed in place; a raise counts from here if kWritten, and
///   else when a later PrepareWrite finds it in the record
/// @param written what PrepareWrite returned
/// @param shard the shard
/// @param expected revision that the write compared with
/// @param end how it ended
void WriteEnded(GrantHolder& holder, const TeamGrants& written,
                const ShardId& shard, Revision expected, GrantWrite end);

}  // namespace buckthornmux::limits
