/// Slots of a team's limit that one shard may use while its requests to the
/// ledger are in flight. Free of I/O: the caller reads and writes the record.
#pragma once

#include <optional>

#include "buckthornmux/detail/limits/ledger.h"

namespace buckthornmux::limits {

/// A shard owner's view of its allowance for one team.
struct GrantHolder {
  /// Epoch of the shard's owner; a new owner starts with an empty holder.
  Epoch epoch = 0;
  std::int64_t usable = 0;  ///< Slots that the shard may use.
  /// A write that expects this revision of the key may still take effect.
  std::optional<Revision> unresolved;
};

/// Outcome of a compare-and-swap on a team's record.
enum class GrantWrite : std::uint8_t {
  kWritten,
  kLost,         ///< The comparison failed.
  kUnavailable,  ///< The write did not and will not take effect.
  kUnknown,      ///< The write may have taken effect, or may still do so.
};

/// @brief Updates the holder from the record read and prepares the next write.
///
/// `usable` is lowered at once to what the next record will allow. The thread
/// that starts tasks must therefore read `in_use` for the request and apply
/// `usable` without starting a task in between.
/// @param holder changed in place
/// @param record record read; default-constructed if there was none
/// @param revision revision of the key read; store::kAbsent if there was none
/// @param request request whose epoch equals the holder's
/// @return the record to write if the key is still at `revision`, or nothing
///   if no change is needed; the errors of NextGrants
/// Only one write may be in flight: call WriteEnded before the next call.
/// @par Example
/// @code
/// BOOST_LEAF_AUTO(next, PrepareWrite(holder, record, revision, request));
/// if (next) { ... WriteEnded(holder, *next, request.shard, revision, end); }
/// @endcode
[[nodiscard]] Result<std::optional<TeamGrants>> PrepareWrite(
    GrantHolder& holder, const TeamGrants& record, Revision revision,
    const GrantRequest& request);

/// @brief Updates the holder with the outcome of a prepared write.
/// @param holder changed in place; a raised allowance takes effect now if `end`
///   is kWritten, else when a later PrepareWrite finds it in the record
/// @param written record returned by PrepareWrite
/// @param shard shard that the holder belongs to
/// @param expected revision that the write was compared with
/// @param end outcome of the write
void WriteEnded(GrantHolder& holder, const TeamGrants& written,
                const ShardId& shard, Revision expected, GrantWrite end);

}  // namespace buckthornmux::limits
