/// Keys, JSON encoding and contents of the segments of a journal chain.
#pragma once

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/home/journal.h"

namespace buckthornmux::home {

/// Purpose of a segment.
enum class SegmentKind : std::uint8_t {
  kTaken,     ///< Marks that an epoch claimed the chain; holds no records.
  kRecords,   ///< Holds appended records.
  kSnapshot,  ///< Holds a part of the folded records of all earlier segments.
};

/// One segment of the chain.
struct Segment {
  std::uint64_t sequence = 0;
  Revision revision = 0;
  Epoch epoch = 0;
  SegmentKind kind = SegmentKind::kRecords;
  std::uint32_t part = 0;   ///< Index of a snapshot part, from 0.
  std::uint32_t parts = 0;  ///< Number of parts of the snapshot.
  WallMillis at = 0;        ///< Time of the takeover; set in kTaken.
  std::vector<JournalRecord> records;
};

/// @brief Decodes a record from parsed JSON.
[[nodiscard]] Result<JournalRecord> DecodeRecordValue(
    const boost::json::value& value);

[[nodiscard]] std::string ChainPrefix(Partition partition);
[[nodiscard]] std::string SegmentKey(Partition partition,
                                     std::uint64_t sequence);

/// @brief Encodes a segment whose records are already encoded.
[[nodiscard]] std::string EncodeSegment(const Segment& header,
                                        std::span<const std::string> records);

/// @brief Parses a segment; kMalformed if the value is not a segment.
[[nodiscard]] Result<Segment> DecodeSegment(std::string_view key,
                                            std::string_view value);

/// @brief Reads a whole chain, oldest first.
[[nodiscard]] Result<std::vector<Segment>> ReadChain(const store::Store& store,
                                                     Partition partition);

/// @brief Returns the records of the last complete snapshot and of all later
/// segments.
[[nodiscard]] std::vector<JournalRecord> RecordsOf(
    std::span<const Segment> segments);

}  // namespace buckthornmux::home
