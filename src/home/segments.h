/// Segments of a journal chain: their keys, their JSON, and what they hold.
#pragma once

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/home/journal.h"

namespace buckthornmux::home {

/// What a segment is for.
enum class SegmentKind : std::uint8_t {
  kTaken,     ///< Marks the takeover by an epoch; holds no records.
  kRecords,   ///< Appended.
  kSnapshot,  ///< Part of all that the segments before it hold, folded.
};

/// One key of the chain.
struct Segment {
  std::uint64_t sequence = 0;
  Revision revision = 0;
  Epoch epoch = 0;
  SegmentKind kind = SegmentKind::kRecords;
  std::uint32_t part = 0;   ///< Of a snapshot, from 0.
  std::uint32_t parts = 0;  ///< Of the snapshot.
  WallMillis at = 0;        ///< Of a takeover.
  std::vector<JournalRecord> records;
};

/// @brief DecodeRecord of parsed JSON.
[[nodiscard]] Result<JournalRecord> DecodeRecordValue(
    const boost::json::value& value);

[[nodiscard]] std::string ChainPrefix(Partition partition);
[[nodiscard]] std::string SegmentKey(Partition partition,
                                     std::uint64_t sequence);

/// @brief JSON of a segment whose records are already encoded.
[[nodiscard]] std::string EncodeSegment(const Segment& head,
                                        std::span<const std::string> records);

/// @brief Parses a segment; kMalformed where it is none.
[[nodiscard]] Result<Segment> DecodeSegment(std::string_view key,
                                            std::string_view value);

/// @brief Reads a whole chain, oldest first.
[[nodiscard]] Result<std::vector<Segment>> ReadChain(const store::Store& store,
                                                     Partition partition);

/// @brief Records since, and with, the last whole snapshot.
[[nodiscard]] std::vector<JournalRecord> RecordsOf(
    std::span<const Segment> segments);

}  // namespace buckthornmux::home
