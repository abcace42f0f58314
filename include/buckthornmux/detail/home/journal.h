/// The journal of a request partition in the platform's store: a chain of
/// segments, each created by compare-and-swap on "absent". A former owner's
/// append therefore fails once its successor has claimed the chain.
///
/// Key: journal/<partition>/<sequence, 12 digits>. Value: JSON with the
/// writer's epoch, the segment's kind (taken, records or snapshot part) and its
/// records.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/home/home.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::home {

/// Maximum size of a segment in bytes; the store accepts values up to 1 MB.
inline constexpr std::size_t kMaxSegmentBytes = std::size_t{512} * 1024;

/// How long a takeover mark is kept. A former owner that was paused must still
/// find the mark when it appends; otherwise its append behind a compaction
/// would look durable although no owner reads it.
inline constexpr Millis kTakeoverMarkRetention{24 * 60 * 60 * 1000};

/// Position in a partition's chain, held by the owner's journal writer.
struct Chain {
  Partition partition = 0;
  Epoch epoch = 0;
  std::uint64_t next = 1;   ///< Sequence of the next segment.
  std::uint64_t first = 1;  ///< Oldest segment that holds records.
};

/// A claimed chain and its records.
struct ClaimedChain {
  Chain chain;
  /// Folded: without finished work, except for results within their retention.
  std::vector<JournalRecord> records;
};

/// @brief Claims the chain for a new epoch: reads it, then writes a "taken"
/// segment at its end. From then on older epochs can't append.
/// @return chain and records; kStoreUnavailable or kStoreUnknown if the store
/// is unavailable; kOwnerStale if a higher epoch has claimed the chain
///
/// Store calls: one list and one write; more only if another writer interferes.
[[nodiscard]] Result<ClaimedChain> ClaimChain(const store::Store& store,
                                              Partition partition, Epoch epoch,
                                              WallMillis now);

/// @brief Appends records as one segment, or as several if they are large.
/// A write whose answer was lost is read back before it is repeated. The next
/// call must begin with the records that were not reported durable, in the same
/// order, so that an earlier write of this owner that took effect is
/// recognised.
/// @param chain advanced past the written segments, also on failure
/// @return number of records known to be durable, a prefix of `records`;
/// kOwnerStale if another epoch has claimed the chain
[[nodiscard]] Result<std::size_t> AppendRecords(
    const store::Store& store, Chain& chain,
    std::span<const JournalRecord> records);

/// @brief Writes a snapshot of the folded records and erases the segments that
/// it replaces.
///
/// A crash between the two steps leaves a chain with the same meaning.
/// @return number of segments erased or emptied; kOwnerStale if another epoch
/// has claimed the chain
///
/// Store calls: one list, one write per snapshot part and one write or erase
/// per replaced segment.
[[nodiscard]] Result<std::size_t> Compact(const store::Store& store,
                                          Chain& chain, WallMillis now);

/// @brief Removes obsolete records: intents and ends of tasks that later
/// attempts supersede, and all records of ended jobs past their retention.
/// @param records records in chain order
/// @param now current wall time
/// @return records that rebuild the same open jobs and kept results
/// Complexity: linear, plus sorting the records of each job.
[[nodiscard]] std::vector<JournalRecord> Fold(
    std::span<const JournalRecord> records, WallMillis now);

/// @brief Encodes a record as JSON, without members that have default values.
[[nodiscard]] std::string EncodeRecord(const JournalRecord& record);

/// @brief Parses the output of EncodeRecord; kMalformed for other text.
[[nodiscard]] Result<JournalRecord> DecodeRecord(std::string_view text);

}  // namespace buckthornmux::home
