/// The journal of a request partition in the platform's service: a chain of
/// segments, each created by compare-and-swap on "absent", so that a former
/// owner's append fails once its successor has taken the chain.
///
/// Key: journal/<partition>/<sequence, 12 digits>. Value: JSON with the epoch
/// that wrote it, its kind (taken, records, snapshot part) and its records.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "buckthornmux/detail/home/home.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::home {

/// Largest segment written, in bytes; the service takes values to 1 MB.
inline constexpr std::size_t kMaxSegmentBytes = 512 * 1024;

/// Place in a partition's chain, held by its owner's journal duty.
struct Chain {
  Partition partition = 0;
  Epoch epoch = 0;
  std::uint64_t next = 1;   ///< Sequence of the next segment.
  std::uint64_t first = 1;  ///< Oldest segment still kept.
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
/// A write whose answer was lost is read back, never blindly repeated.
/// @param chain advanced past what was written, also on failure
/// @return count of records surely durable, a prefix of `records`;
///   kOwnerStale where another epoch has taken the chain
[[nodiscard]] Result<std::size_t> AppendRecords(
    const store::Store& store, Chain& chain,
    std::span<const JournalRecord> records);

/// @brief Writes a snapshot of the folded records and erases what it replaces.
/// A crash between the two leaves a chain that reads the same.
[[nodiscard]] Result<std::size_t> Compact(const store::Store& store,
                                          Chain& chain, WallMillis now);

}  // namespace buckthornmux::home
