/// The journal of a request partition in the platform's service: a chain of
/// segments, each created by compare-and-swap on "absent", so that a former
/// owner's append fails once its successor has taken the chain.
///
/// Key: journal/<partition>/<sequence, 12 digits>. Value: JSON with the epoch
/// that wrote it, its kind (taken, records, snapshot part) and its records.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/home/home.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::home {

/// Largest segment written, in bytes; the service takes values to 1 MB.
inline constexpr std::size_t kMaxSegmentBytes = std::size_t{512} * 1024;

/// How long the mark of a takeover stays. A former owner that was paused must
/// still find it when it appends, or its append behind a compaction would look
/// durable and be read by no one.
inline constexpr Millis kTakenRetention{24 * 60 * 60 * 1000};

/// Place in a partition's chain, held by its owner's journal duty.
struct Chain {
  Partition partition = 0;
  Epoch epoch = 0;
  std::uint64_t next = 1;   ///< Sequence of the next segment.
  std::uint64_t first = 1;  ///< Oldest segment that holds records.
};

/// A chain with all that it holds.
struct TakenChain {
  Chain chain;
  std::vector<JournalRecord> records;  ///< Folded: finished work is left out
                                       ///< but for results still kept.
};

/// @brief Takes the chain for a new epoch: reads it, then writes a "taken"
///   segment behind its end. From then on older epochs can't append.
/// @return chain and records; kStoreUnavailable or kStoreUnknown where the
///   store is away; kOwnerStale where a higher epoch has the chain
/// Store calls: one list, one write, more only in a race.
[[nodiscard]] Result<TakenChain> TakeChain(const store::Store& store,
                                           Partition partition, Epoch epoch,
                                           WallMillis now);

/// @brief Appends records as one segment, or more where they are large.
/// A write whose answer was lost is read back, never blindly repeated. Records
/// that were not told durable come first in the next call, in the same order:
/// so an own earlier write that did take effect is recognised.
/// @param chain advanced past what was written, also on failure
/// @return count of records surely durable, a prefix of `records`;
///   kOwnerStale where another epoch has taken the chain
[[nodiscard]] Result<std::size_t> AppendRecords(
    const store::Store& store, Chain& chain,
    std::span<const JournalRecord> records);

/// @brief Writes a snapshot of the folded records and erases what it replaces.
/// A crash between the two leaves a chain that reads the same.
/// @return count of segments erased or emptied; kOwnerStale where another epoch
///   has taken the chain
/// Store calls: one list, a write for each part, one for each segment.
[[nodiscard]] Result<std::size_t> Compact(const store::Store& store,
                                          Chain& chain, WallMillis now);

/// @brief Leaves out what no longer matters: steps of tasks that later ones
///   replace, and ended jobs past their retention.
/// @param records in the order of the chain
/// @param now wall time
/// @return records that rebuild the same open jobs and kept results
/// Complexity: linear but for sorting the records of each job.
[[nodiscard]] std::vector<JournalRecord> Fold(
    std::span<const JournalRecord> records, WallMillis now);

/// @brief JSON form of a record; members at their defaults are left out.
[[nodiscard]] std::string EncodeRecord(const JournalRecord& record);

/// @brief Parses EncodeRecord; kMalformed otherwise.
[[nodiscard]] Result<JournalRecord> DecodeRecord(std::string_view text);

}  // namespace buckthornmux::home
