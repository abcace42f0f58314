#include "segments.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <iomanip>
#include <sstream>

namespace buckthornmux::home {
namespace {

namespace json = boost::json;

constexpr int kSequenceDigits = 12;

std::string_view KindName(SegmentKind kind) {
  switch (kind) {
    case SegmentKind::kTaken:
      return "taken";
    case SegmentKind::kSnapshot:
      return "snapshot";
    default:
      return "records";
  }
}

template <class Number>
Number NumberOrZero(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  boost::system::error_code error;
  const Number number =
      value == nullptr ? Number{} : value->to_number<Number>(error);
  return error ? Number{} : number;
}

Result<std::uint64_t> SequenceOf(std::string_view key) {
  const std::string_view digits = key.substr(key.rfind('/') + 1);
  std::uint64_t sequence = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, sequence);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(ErrorKind::kMalformed, "not a journal key", std::string(key));
  }
  return sequence;
}

Result<void> ReadRecords(const json::object& object, Segment& segment) {
  const json::value* records = object.if_contains("records");
  if (records == nullptr || !records->is_array()) {
    return {};
  }
  for (const json::value& record : records->get_array()) {
    BOOST_LEAF_AUTO(decoded, DecodeRecordValue(record));
    segment.records.push_back(std::move(decoded));
  }
  return {};
}

/// Whether a complete snapshot starts at this segment.
bool StartsCompleteSnapshot(std::span<const Segment> segments, std::size_t at) {
  const Segment& first = segments[at];
  if (first.kind != SegmentKind::kSnapshot || first.part != 0 ||
      first.parts == 0 || at + first.parts > segments.size()) {
    return false;
  }
  for (std::uint32_t part = 0; part < first.parts; ++part) {
    const Segment& each = segments[at + part];
    if (each.kind != SegmentKind::kSnapshot || each.part != part ||
        each.parts != first.parts || each.epoch != first.epoch ||
        each.sequence != first.sequence + part) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string ChainPrefix(Partition partition) {
  return std::string(store::kJournalPrefix) + std::to_string(partition) + "/";
}

std::string SegmentKey(Partition partition, std::uint64_t sequence) {
  std::ostringstream key;
  key << ChainPrefix(partition) << std::setw(kSequenceDigits)
      << std::setfill('0') << sequence;
  return key.str();
}

std::string EncodeSegment(const Segment& header,
                          std::span<const std::string> records) {
  json::object object;
  object["epoch"] = header.epoch;
  object["kind"] = KindName(header.kind);
  if (header.kind == SegmentKind::kSnapshot) {
    object["part"] = header.part;
    object["parts"] = header.parts;
  }
  if (header.kind == SegmentKind::kTaken) {
    object["at"] = header.at;
    return json::serialize(object);
  }
  // The encoded records are inserted as text: encoding them twice would double
  // the cost of an append.
  std::string text = json::serialize(object);
  text.pop_back();
  text += ",\"records\":[";
  for (std::size_t index = 0; index < records.size(); ++index) {
    text += index == 0 ? "" : ",";
    text += records[index];
  }
  text += "]}";
  return text;
}

Result<Segment> DecodeSegment(std::string_view key, std::string_view value) {
  Segment segment;
  BOOST_LEAF_ASSIGN(segment.sequence, SequenceOf(key));
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::system::error_code error;
  const json::value parsed = json::parse(value, error, {}, options);
  if (error || !parsed.is_object() ||
      parsed.get_object().if_contains("epoch") == nullptr) {
    return Fail(ErrorKind::kMalformed, "not a journal segment",
                std::string(key));
  }
  const json::object& object = parsed.get_object();
  segment.epoch = NumberOrZero<Epoch>(object, "epoch");
  segment.part = NumberOrZero<std::uint32_t>(object, "part");
  segment.parts = NumberOrZero<std::uint32_t>(object, "parts");
  segment.at = NumberOrZero<WallMillis>(object, "at");
  const json::value* kind = object.if_contains("kind");
  for (const SegmentKind each : {SegmentKind::kTaken, SegmentKind::kSnapshot}) {
    if (kind != nullptr && kind->is_string() &&
        kind->get_string() == KindName(each)) {
      segment.kind = each;
    }
  }
  if (auto read = ReadRecords(object, segment); !read) {
    return read.error();
  }
  return segment;
}

Result<std::vector<Segment>> ReadChain(const store::Store& store,
                                       Partition partition) {
  BOOST_LEAF_AUTO(entries, store.list(ChainPrefix(partition)));
  std::vector<Segment> segments;
  segments.reserve(entries.size());
  for (const store::Entry& entry : entries) {
    BOOST_LEAF_AUTO(segment, DecodeSegment(entry.key, entry.value));
    segment.revision = entry.revision;
    segments.push_back(std::move(segment));
  }
  std::ranges::sort(segments, {}, &Segment::sequence);
  return segments;
}

std::vector<JournalRecord> RecordsOf(std::span<const Segment> segments) {
  std::size_t start = 0;
  for (std::size_t at = 0; at < segments.size(); ++at) {
    start = StartsCompleteSnapshot(segments, at) ? at : start;
  }
  const bool has_snapshot =
      !segments.empty() && StartsCompleteSnapshot(segments, start);
  const std::size_t parts = has_snapshot ? segments[start].parts : 0;
  std::vector<JournalRecord> records;
  for (std::size_t at = start; at < segments.size(); ++at) {
    // Parts of an incomplete snapshot only repeat existing records.
    const bool is_snapshot_part = segments[at].kind == SegmentKind::kSnapshot;
    if (!is_snapshot_part || at < start + parts) {
      records.insert(records.end(), segments[at].records.begin(),
                     segments[at].records.end());
    }
  }
  return records;
}

}  // namespace buckthornmux::home
