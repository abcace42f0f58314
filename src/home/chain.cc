#include <algorithm>

#include "segments.h"

namespace buckthornmux::home {
namespace {

/// Maximum attempts of one operation when other writers interfere or answers
/// are lost.
constexpr int kMaxAttempts = 6;
/// Bytes reserved in a segment for all members except its records.
constexpr std::size_t kMaxSegmentHeaderBytes = 256;

/// Outcome of creating a segment.
struct Created {
  bool ours = false;
  store::Entry found;  ///< The entry that has the key, if it existed already.
};

/// Runs a store call; returns its value, or the kind of the error with which it
/// failed.
template <class Value>
std::variant<Value, ErrorKind> Call(const std::function<Result<Value>()>& f) {
  const auto outcome = Capture(f);
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return error->kind;
  }
  return std::get<Value>(outcome);
}

/// Creates a key by compare-and-swap on "absent". Repeating the same write is
/// safe: it takes effect at most once, and it is read back when its outcome is
/// unknown.
Result<Created> Create(const store::Store& store, const std::string& key,
                       const std::string& value) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto put = Call<Revision>([&]() -> Result<Revision> {
      return store.put(key, value, store::kAbsent, store::kNoLease);
    });
    if (std::holds_alternative<Revision>(put)) {
      return Created{true, {}};
    }
    const ErrorKind kind = std::get<ErrorKind>(put);
    if (kind != ErrorKind::kStoreConflict && kind != ErrorKind::kStoreUnknown) {
      // An earlier iteration may have taken effect.
      return Fail(attempt == 0 ? kind : ErrorKind::kStoreUnknown,
                  "journal segment could not be written", key);
    }
    const auto got =
        Call<std::optional<store::Entry>>([&] { return store.get(key); });
    if (std::holds_alternative<ErrorKind>(got)) {
      return Fail(ErrorKind::kStoreUnknown,
                  "journal segment could not be read back", key);
    }
    const auto& entry = std::get<std::optional<store::Entry>>(got);
    if (entry) {
      return Created{entry->value == value, *entry};
    }
  }
  return Fail(ErrorKind::kStoreUnknown,
              "journal segment changed during every attempt to create it", key);
}

Result<void> CheckEpochs(std::span<const Segment> segments, Epoch epoch) {
  for (const Segment& segment : segments) {
    if (segment.epoch > epoch) {
      return Fail(ErrorKind::kOwnerStale,
                  "a later owner has claimed the journal");
    }
  }
  return {};
}

/// Encodes records in groups that each fit into a segment.
Result<std::vector<std::vector<std::string>>> Group(
    std::span<const JournalRecord> records) {
  std::vector<std::vector<std::string>> groups;
  std::size_t bytes = kMaxSegmentBytes;
  for (const JournalRecord& record : records) {
    std::string text = EncodeRecord(record);
    if (text.size() + kMaxSegmentHeaderBytes >= kMaxSegmentBytes) {
      if (groups.empty()) {
        return Fail(ErrorKind::kTooLarge,
                    "job is too large for a journal segment", record.job);
      }
      break;  // The records before it are written first.
    }
    if (bytes + text.size() + 1 + kMaxSegmentHeaderBytes >= kMaxSegmentBytes) {
      groups.emplace_back();
      bytes = 0;
    }
    bytes += text.size() + 1;
    groups.back().push_back(std::move(text));
  }
  return groups;
}

/// Number of leading records that an earlier write of this owner already
/// contains.
std::size_t CommonPrefixLength(const Segment& written,
                               std::span<const std::string> records) {
  std::size_t count = 0;
  while (count < written.records.size() && count < records.size() &&
         EncodeRecord(written.records[count]) == records[count]) {
    ++count;
  }
  return count;
}

/// Writes one group at the chain's end; returns how many of its records are
/// durable.
Result<std::size_t> AppendGroup(const store::Store& store, Chain& chain,
                                std::span<const std::string> group) {
  std::size_t done = 0;
  while (done < group.size()) {
    Segment header;
    header.epoch = chain.epoch;
    const auto rest = group.subspan(done);
    const std::string key = SegmentKey(chain.partition, chain.next);
    BOOST_LEAF_AUTO(created, Create(store, key, EncodeSegment(header, rest)));
    if (created.ours) {
      ++chain.next;
      return group.size();
    }
    BOOST_LEAF_AUTO(found, DecodeSegment(key, created.found.value));
    if (found.epoch != chain.epoch) {
      return Fail(ErrorKind::kOwnerStale,
                  "another owner has claimed the journal", key);
    }
    // An earlier write of this owner, whose answer was lost, has fewer records.
    ++chain.next;
    done += CommonPrefixLength(found, rest);
  }
  return done;
}

/// Writes a snapshot; returns the sequence of its first part. If an earlier
/// write of this owner has the key of a part, the snapshot starts again behind
/// it.
Result<std::uint64_t> WriteSnapshot(const store::Store& store, Chain& chain,
                                    std::span<const JournalRecord> records) {
  BOOST_LEAF_AUTO(groups, Group(records));
  if (groups.empty()) {
    groups.emplace_back();
  }
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const std::uint64_t first = chain.next;
    bool complete = true;
    for (std::uint32_t part = 0; complete && part < groups.size(); ++part) {
      Segment header;
      header.epoch = chain.epoch;
      header.kind = SegmentKind::kSnapshot;
      header.part = part;
      header.parts = static_cast<std::uint32_t>(groups.size());
      const std::string key = SegmentKey(chain.partition, chain.next);
      BOOST_LEAF_AUTO(created,
                      Create(store, key, EncodeSegment(header, groups[part])));
      if (!created.ours) {
        BOOST_LEAF_AUTO(found, DecodeSegment(key, created.found.value));
        if (found.epoch != chain.epoch) {
          return Fail(ErrorKind::kOwnerStale,
                      "another owner has claimed the journal", key);
        }
      }
      complete = created.ours;
      ++chain.next;
    }
    if (complete) {
      return first;
    }
  }
  return Fail(ErrorKind::kStoreUnknown,
              "every attempt to write the snapshot was interrupted");
}

Segment TakenMark(Epoch epoch, WallMillis now) {
  Segment mark;
  mark.epoch = epoch;
  mark.kind = SegmentKind::kTaken;
  mark.at = now;
  return mark;
}

/// How compaction treats a segment that a snapshot replaces.
enum class Retirement : std::uint8_t { kStays, kMarked, kErased };

/// Keys at which a paused former owner may still append must stay occupied: the
/// takeover mark, and the segment before it. That owner may have lost the
/// answer to writing that segment and would write it again with more records.
Retirement RetirementOf(std::span<const Segment> segments, std::size_t at,
                        WallMillis now) {
  const auto is_recent_mark = [&](const Segment& segment) {
    return segment.kind == SegmentKind::kTaken &&
           now - segment.at < kTakeoverMarkRetention.count();
  };
  if (is_recent_mark(segments[at])) {
    return Retirement::kStays;
  }
  const bool before_mark =
      at + 1 < segments.size() && is_recent_mark(segments[at + 1]) &&
      segments[at + 1].sequence == segments[at].sequence + 1;
  return before_mark && segments[at].kind != SegmentKind::kTaken
             ? Retirement::kMarked
             : Retirement::kErased;
}

/// Erases a segment or replaces it by a mark; false if the store does not
/// answer.
bool Retire(const store::Store& store, const Chain& chain,
            const Segment& segment, Retirement retirement, WallMillis now) {
  const std::string key = SegmentKey(chain.partition, segment.sequence);
  const auto done = Call<Revision>([&]() -> Result<Revision> {
    if (retirement == Retirement::kErased) {
      return store.erase(key, segment.revision);
    }
    return store.put(key, EncodeSegment(TakenMark(chain.epoch, now), {}),
                     segment.revision, store::kNoLease);
  });
  const auto* kind = std::get_if<ErrorKind>(&done);
  return kind == nullptr || *kind == ErrorKind::kStoreConflict;
}

}  // namespace

Result<ClaimedChain> ClaimChain(const store::Store& store, Partition partition,
                                Epoch epoch, WallMillis now) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    BOOST_LEAF_AUTO(segments, ReadChain(store, partition));
    if (auto checked = CheckEpochs(segments, epoch); !checked) {
      return checked.error();
    }
    Chain chain{partition, epoch};
    chain.next = segments.empty() ? 1 : segments.back().sequence + 1;
    // Takeover marks are kept for a day and don't count as chain length.
    const auto oldest =
        std::ranges::find_if(segments, [](const Segment& segment) {
          return segment.kind != SegmentKind::kTaken;
        });
    chain.first = oldest == segments.end() ? chain.next : oldest->sequence;
    const bool taken =
        std::ranges::any_of(segments, [&](const Segment& segment) {
          return segment.epoch == epoch && segment.kind == SegmentKind::kTaken;
        });
    if (!taken) {
      const std::string key = SegmentKey(partition, chain.next);
      BOOST_LEAF_AUTO(
          created,
          Create(store, key, EncodeSegment(TakenMark(epoch, now), {})));
      if (!created.ours) {
        // The former owner appended again, or a later one claimed the chain.
        continue;
      }
      ++chain.next;
    }
    return ClaimedChain{chain, Fold(RecordsOf(segments), now)};
  }
  return Fail(ErrorKind::kStoreUnknown,
              "journal chain changed during every attempt to claim it");
}

Result<std::size_t> AppendRecords(const store::Store& store, Chain& chain,
                                  std::span<const JournalRecord> records) {
  BOOST_LEAF_AUTO(groups, Group(records));
  std::size_t durable = 0;
  for (const std::vector<std::string>& group : groups) {
    const auto appended = Call<std::size_t>([&]() -> Result<std::size_t> {
      return AppendGroup(store, chain, group);
    });
    if (const auto* kind = std::get_if<ErrorKind>(&appended)) {
      if (durable > 0 && *kind != ErrorKind::kOwnerStale) {
        return durable;
      }
      return Fail(*kind, "journal records could not be written");
    }
    durable += std::get<std::size_t>(appended);
  }
  return durable;
}

Result<std::size_t> Compact(const store::Store& store, Chain& chain,
                            WallMillis now) {
  BOOST_LEAF_AUTO(segments, ReadChain(store, chain.partition));
  if (auto checked = CheckEpochs(segments, chain.epoch); !checked) {
    return checked.error();
  }
  const std::vector<JournalRecord> folded = Fold(RecordsOf(segments), now);
  BOOST_LEAF_AUTO(snapshot, WriteSnapshot(store, chain, folded));
  std::size_t retired = 0;
  for (std::size_t at = 0; at < segments.size(); ++at) {
    // An earlier attempt may have written this same snapshot and lost the
    // answer.
    if (segments[at].sequence >= snapshot) {
      break;
    }
    const Retirement retirement = RetirementOf(segments, at, now);
    if (retirement == Retirement::kStays) {
      continue;
    }
    if (!Retire(store, chain, segments[at], retirement, now)) {
      break;  // The next compaction retires the rest.
    }
    ++retired;
  }
  chain.first = snapshot;
  return retired;
}

}  // namespace buckthornmux::home
