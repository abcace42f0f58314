#include "src/cell/records/record_codec.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <span>
#include <unordered_map>

#include "buckthornmux/detail/core/archive.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

using buckthornmux::serialize;

constexpr std::size_t kIdDigits = 16;
constexpr unsigned kVarintBits = 7;
constexpr std::uint8_t kContinuationBit = 0x80;
constexpr std::uint8_t kLastPhase =
    static_cast<std::uint8_t>(JobPhase::kCancelled);

/// An encoded record. Numbers are varints of 7 bits per byte, lowest bits
/// first; texts are stored once and referenced by index; ids of 16 hexadecimal
/// digits are stored as 64-bit numbers.
struct Packed {
  std::vector<std::uint64_t> ids;
  std::vector<std::string> texts;
  std::vector<std::uint8_t> numbers;
};

struct Writer {
  Packed packed;
  /// Index of each text.
  std::unordered_map<std::string, std::size_t> indices;
};

void PutVarint(Writer& out, std::uint64_t number) {
  while (number >= kContinuationBit) {
    out.packed.numbers.push_back(static_cast<std::uint8_t>(
        (number & (kContinuationBit - 1U)) | kContinuationBit));
    number >>= kVarintBits;
  }
  out.packed.numbers.push_back(static_cast<std::uint8_t>(number));
}

/// Zigzag encoding, so that numbers of small magnitude are short.
void PutZigZag(Writer& out, std::int64_t number) {
  const auto bits = static_cast<std::uint64_t>(number);
  PutVarint(out, number < 0 ? (~bits << 1U) | 1U : bits << 1U);
}

void PutText(Writer& out, const std::string& text) {
  const auto [found, added] =
      out.indices.emplace(text, out.packed.texts.size());
  if (added) {
    out.packed.texts.push_back(text);
  }
  PutVarint(out, found->second);
}

/// Parses an id of 16 lower-case hexadecimal digits; empty for other ids.
std::optional<std::uint64_t> NumberOf(const JobId& id) {
  const bool digits =
      id.size() == kIdDigits && std::ranges::all_of(id, [](char letter) {
        return (letter >= '0' && letter <= '9') ||
               (letter >= 'a' && letter <= 'f');
      });
  std::uint64_t number = 0;
  if (!digits) {
    return std::nullopt;
  }
  std::from_chars(id.data(), id.data() + id.size(), number, 16);
  return number;
}

void PutId(Writer& out, const JobId& id) {
  const auto number = NumberOf(id);
  PutVarint(out, number ? 1 : 0);
  if (number) {
    out.packed.ids.push_back(*number);
  } else {
    PutText(out, id);
  }
}

/// Reads values in the order written; the first error clears `valid`.
struct Reader {
  Packed packed;
  std::size_t next = 0;     ///< Position in `numbers`.
  std::size_t next_id = 0;  ///< Position in `ids`.
  bool valid = true;
};

std::uint64_t ReadVarint(Reader& in) {
  std::uint64_t number = 0;
  constexpr unsigned kBits = 64;
  for (unsigned shift = 0; shift < kBits && in.next < in.packed.numbers.size();
       shift += kVarintBits) {
    const std::uint8_t part = in.packed.numbers[in.next++];
    number |= static_cast<std::uint64_t>(part & (kContinuationBit - 1U))
              << shift;
    if ((part & kContinuationBit) == 0) {
      return number;
    }
  }
  in.valid = false;
  return 0;
}

std::int64_t ReadZigZag(Reader& in) {
  const std::uint64_t bits = ReadVarint(in);
  return static_cast<std::int64_t>((bits & 1U) != 0 ? ~(bits >> 1U)
                                                    : bits >> 1U);
}

std::uint32_t ReadUint32(Reader& in) {
  return static_cast<std::uint32_t>(ReadVarint(in));
}

/// Reads an element count; each element takes at least one byte of `numbers`.
std::size_t ReadCount(Reader& in) {
  const std::uint64_t count = ReadVarint(in);
  in.valid = in.valid && count <= in.packed.numbers.size() - in.next;
  return in.valid ? count : 0;
}

std::string ReadText(Reader& in) {
  const std::uint64_t index = ReadVarint(in);
  in.valid = in.valid && index < in.packed.texts.size();
  return in.valid ? in.packed.texts[index] : std::string();
}

JobId ReadId(Reader& in) {
  if (ReadVarint(in) == 0) {
    return ReadText(in);
  }
  if (in.next_id >= in.packed.ids.size()) {
    in.valid = false;
    return {};
  }
  std::uint64_t number = in.packed.ids[in.next_id++];
  JobId id(kIdDigits, '0');
  for (std::size_t i = kIdDigits; i > 0; --i) {
    id[i - 1] = "0123456789abcdef"[number & 0xFU];
    number >>= 4U;
  }
  return id;
}

JobPhase ReadPhase(Reader& in) {
  const std::uint64_t phase = ReadVarint(in);
  in.valid = in.valid && phase <= kLastPhase;
  return in.valid ? static_cast<JobPhase>(phase) : JobPhase::kQueued;
}

void PutNumbers(Writer& out, const std::vector<std::uint32_t>& numbers) {
  PutVarint(out, numbers.size());
  for (const std::uint32_t number : numbers) {
    PutVarint(out, number);
  }
}

std::vector<std::uint32_t> ReadUint32List(Reader& in) {
  std::vector<std::uint32_t> numbers(ReadCount(in));
  std::ranges::generate(numbers, [&in] { return ReadUint32(in); });
  return numbers;
}

/// Flags that begin an encoded step. kUncommon announces the rarely used
/// fields, which are written only if one of them is set.
constexpr std::uint64_t kCheckpoints = 1;
constexpr std::uint64_t kGang = 2;
constexpr std::uint64_t kSameRack = 4;
constexpr std::uint64_t kCopies = 8;
constexpr std::uint64_t kService = 16;
constexpr std::uint64_t kFills = 32;
constexpr std::uint64_t kUncommon = 64;

std::uint64_t FlagsOf(const StepSpec& step) {
  const bool uncommon = !step.label.empty() || !step.data_rack.empty() ||
                        !step.image.empty() || step.max_per_target != 0 ||
                        step.tail_target != Millis(0) ||
                        step.max_unavailable != 0;
  return (step.checkpoints ? kCheckpoints : 0) | (step.gang ? kGang : 0) |
         (step.same_rack ? kSameRack : 0) |
         (step.copies_allowed ? kCopies : 0) | (step.service ? kService : 0) |
         (step.fills ? kFills : 0) | (uncommon ? kUncommon : 0);
}

void PutStep(Writer& out, const StepSpec& step) {
  const std::uint64_t flags = FlagsOf(step);
  PutVarint(out, flags);
  PutVarint(out, step.count);
  boost::pfr::for_each_field(
      step.demand, [&out](const auto& field) { PutZigZag(out, field); });
  PutZigZag(out, step.estimate.count());
  PutNumbers(out, step.after);
  if ((flags & kUncommon) != 0) {
    PutText(out, step.label);
    PutText(out, step.data_rack);
    PutText(out, step.image);
    PutVarint(out, step.max_per_target);
    PutZigZag(out, step.tail_target.count());
    PutVarint(out, step.max_unavailable);
  }
}

StepSpec ReadStepSpec(Reader& in) {
  StepSpec step;
  const std::uint64_t flags = ReadVarint(in);
  step.checkpoints = (flags & kCheckpoints) != 0;
  step.gang = (flags & kGang) != 0;
  step.same_rack = (flags & kSameRack) != 0;
  step.copies_allowed = (flags & kCopies) != 0;
  step.service = (flags & kService) != 0;
  step.fills = (flags & kFills) != 0;
  step.count = ReadUint32(in);
  boost::pfr::for_each_field(step.demand, [&in](auto& field) {
    field =
        static_cast<std::remove_reference_t<decltype(field)>>(ReadZigZag(in));
  });
  step.estimate = Millis(ReadZigZag(in));
  step.after = ReadUint32List(in);
  if ((flags & kUncommon) != 0) {
    step.label = ReadText(in);
    step.data_rack = ReadText(in);
    step.image = ReadText(in);
    step.max_per_target = ReadUint32(in);
    step.tail_target = Millis(ReadZigZag(in));
    step.max_unavailable = ReadUint32(in);
  }
  return step;
}

void PutJob(Writer& out, const StoredJob& job) {
  const JobSpec& spec = job.spec;
  PutId(out, spec.id);
  PutText(out, spec.queue);
  PutText(out, spec.team);
  PutText(out, spec.payload);
  PutZigZag(out, job.arrived);
  PutVarint(out, spec.recurrence.count);
  PutZigZag(out, spec.recurrence.first);
  PutZigZag(out, spec.recurrence.interval.count());
  PutVarint(out, spec.steps.size());
  for (const StepSpec& step : spec.steps) {
    PutStep(out, step);
  }
}

StoredJob ReadJob(Reader& in) {
  StoredJob job;
  JobSpec& spec = job.spec;
  spec.id = ReadId(in);
  spec.queue = ReadText(in);
  spec.team = ReadText(in);
  spec.payload = ReadText(in);
  job.arrived = ReadZigZag(in);
  spec.recurrence.count = ReadUint32(in);
  spec.recurrence.first = ReadZigZag(in);
  spec.recurrence.interval = Millis(ReadZigZag(in));
  const std::size_t steps = ReadCount(in);
  for (std::size_t i = 0; i < steps && in.valid; ++i) {
    spec.steps.push_back(ReadStepSpec(in));
  }
  return job;
}

/// Flags that begin an encoded StoredTasks.
constexpr std::uint64_t kDone = 1;
constexpr std::uint64_t kBegun = 2;       ///< `next_run` is not 1.
constexpr std::uint64_t kFailed = 4;      ///< Failed runs follow.
constexpr std::uint64_t kCheckpoint = 8;  ///< A checkpoint follows.
constexpr std::uint64_t kCrashed = 16;    ///< Crashes follow.

/// Flags of an encoded TaskCrash.
constexpr std::uint64_t kFresh = 1;
constexpr std::uint64_t kConfirmed = 2;
constexpr std::uint64_t kOutlived = 4;

void PutCrashes(Writer& out, const std::vector<TaskCrash>& crashes) {
  PutVarint(out, crashes.size());
  for (const TaskCrash& crash : crashes) {
    PutVarint(out, crash.run);
    PutText(out, crash.target);
    PutVarint(out, static_cast<std::uint64_t>(crash.life));
    PutVarint(out, (crash.fresh ? kFresh : 0) |
                       (crash.confirmed ? kConfirmed : 0) |
                       (crash.outlived ? kOutlived : 0));
  }
}

std::vector<TaskCrash> ReadCrashes(Reader& in) {
  std::vector<TaskCrash> crashes(ReadCount(in));
  for (TaskCrash& crash : crashes) {
    crash.run = ReadUint32(in);
    crash.target = ReadText(in);
    crash.life = static_cast<std::int64_t>(ReadVarint(in));
    const std::uint64_t crash_flags = ReadVarint(in);
    crash.fresh = (crash_flags & kFresh) != 0;
    crash.confirmed = (crash_flags & kConfirmed) != 0;
    crash.outlived = (crash_flags & kOutlived) != 0;
  }
  return crashes;
}

void PutTasks(Writer& out, const StoredTasks& tasks) {
  const std::uint64_t flags = (tasks.done ? kDone : 0) |
                              (tasks.next_run != 1 ? kBegun : 0) |
                              (tasks.failed_runs.empty() ? 0 : kFailed) |
                              (tasks.checkpoint.empty() ? 0 : kCheckpoint) |
                              (tasks.crashes.empty() ? 0 : kCrashed);
  PutVarint(out, flags);
  PutVarint(out, tasks.count);
  if ((flags & kBegun) != 0) {
    PutVarint(out, tasks.next_run);
  }
  if ((flags & kFailed) != 0) {
    PutNumbers(out, tasks.failed_runs);
  }
  if ((flags & kCheckpoint) != 0) {
    PutText(out, tasks.checkpoint);
  }
  if ((flags & kCrashed) != 0) {
    PutCrashes(out, tasks.crashes);
  }
}

StoredTasks ReadStoredTasks(Reader& in) {
  const std::uint64_t flags = ReadVarint(in);
  StoredTasks tasks;
  tasks.done = (flags & kDone) != 0;
  tasks.count = ReadUint32(in);
  if ((flags & kBegun) != 0) {
    tasks.next_run = ReadUint32(in);
  }
  if ((flags & kFailed) != 0) {
    tasks.failed_runs = ReadUint32List(in);
  }
  if ((flags & kCheckpoint) != 0) {
    tasks.checkpoint = ReadText(in);
  }
  if ((flags & kCrashed) != 0) {
    tasks.crashes = ReadCrashes(in);
  }
  return tasks;
}

void PutShelves(Writer& out, const std::map<DoneSteps, NumberRanges>& shelves) {
  PutVarint(out, shelves.size());
  for (const auto& [done, numbers] : shelves) {
    PutVarint(out, done);
    PutVarint(out, numbers.Ranges().size());
    std::uint32_t next = 0;
    for (const auto& [first, last] : numbers.Ranges()) {
      PutVarint(out, first - next);
      PutVarint(out, last - first);
      next = last;
    }
  }
}

std::map<DoneSteps, NumberRanges> ReadShelves(Reader& in) {
  std::map<DoneSteps, NumberRanges> shelves;
  const std::size_t count = ReadCount(in);
  for (std::size_t i = 0; i < count && in.valid; ++i) {
    NumberRanges& numbers = shelves[ReadVarint(in)];
    const std::size_t ranges = ReadCount(in);
    std::uint64_t next = 0;
    for (std::size_t r = 0; r < ranges && in.valid; ++r) {
      const std::uint64_t after = ReadVarint(in);
      const std::uint64_t length = ReadVarint(in);
      constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
      in.valid = in.valid && after <= kMax && length <= kMax &&
                 (r == 0 || after > 0) && next + after + length <= kMax;
      if (in.valid) {
        const auto first = static_cast<std::uint32_t>(next + after);
        next = first + length;
        numbers.Add(first, static_cast<std::uint32_t>(next));
      }
    }
    in.valid = in.valid && !numbers.Empty();
  }
  return shelves;
}

Result<Reader> Open(std::string_view bytes, std::string_view what) {
  BOOST_LEAF_AUTO(packed, DecodeBinary<Packed>(bytes, what));
  Reader in;
  in.packed = std::move(packed);
  return in;
}

/// Whether the record was valid and has been read to its end.
bool IsComplete(const Reader& in) {
  return in.valid && in.next == in.packed.numbers.size() &&
         in.next_id == in.packed.ids.size();
}

}  // namespace

std::size_t StoredBytes(const JobSpec& spec) {
  constexpr std::size_t kJobBytes = 160;
  constexpr std::size_t kStepBytes = 96;
  constexpr std::size_t kAfterBytes = 5;
  constexpr std::size_t kTextBytes = 8;
  std::size_t bytes = kJobBytes + spec.id.size() + spec.queue.size() +
                      spec.team.size() + spec.payload.size();
  for (const StepSpec& step : spec.steps) {
    bytes += kStepBytes + 3 * kTextBytes + step.label.size() +
             step.data_rack.size() + step.image.size() +
             kAfterBytes * step.after.size();
  }
  return bytes;
}

std::string EncodeJobs(const std::vector<StoredJob>& jobs) {
  Writer out;
  PutVarint(out, jobs.size());
  for (const StoredJob& job : jobs) {
    PutJob(out, job);
  }
  return EncodeBinary(out.packed);
}

Result<std::vector<StoredJob>> DecodeJobs(std::string_view bytes,
                                          std::string_view what) {
  BOOST_LEAF_AUTO(in, Open(bytes, what));
  std::vector<StoredJob> jobs;
  const std::size_t count = ReadCount(in);
  for (std::size_t i = 0; i < count && in.valid; ++i) {
    jobs.push_back(ReadJob(in));
  }
  if (!IsComplete(in)) {
    return Fail(ErrorKind::kMalformed,
                "malformed job record: " + std::string(what));
  }
  return jobs;
}

std::string EncodeEnds(const std::vector<StoredEnd>& ends) {
  Writer out;
  PutVarint(out, ends.size());
  for (const StoredEnd& end : ends) {
    PutId(out, end.id);
    PutVarint(out, static_cast<std::uint64_t>(end.phase));
    PutText(out, end.queue);
    PutText(out, end.team);
  }
  return EncodeBinary(out.packed);
}

Result<std::vector<StoredEnd>> DecodeEnds(std::string_view bytes,
                                          std::string_view what) {
  BOOST_LEAF_AUTO(in, Open(bytes, what));
  std::vector<StoredEnd> ends(ReadCount(in));
  for (StoredEnd& end : ends) {
    end.id = ReadId(in);
    end.phase = ReadPhase(in);
    end.queue = ReadText(in);
    end.team = ReadText(in);
  }
  if (!IsComplete(in)) {
    return Fail(ErrorKind::kMalformed,
                "malformed end record: " + std::string(what));
  }
  return ends;
}

std::string EncodeProgress(const StoredProgress& progress) {
  Writer out;
  PutVarint(out, static_cast<std::uint64_t>(progress.phase));
  PutVarint(out, progress.begun);
  PutVarint(out, progress.done);
  PutVarint(out, progress.open.size());
  for (const StoredOccurrence& occurrence : progress.open) {
    PutVarint(out, occurrence.number);
    PutVarint(out, occurrence.steps.size());
    for (const std::vector<StoredTasks>& step : occurrence.steps) {
      PutVarint(out, step.size());
      for (const StoredTasks& tasks : step) {
        PutTasks(out, tasks);
      }
    }
  }
  if (!progress.shelved.empty()) {
    PutShelves(out, progress.shelved);
  }
  return EncodeBinary(out.packed);
}

Result<StoredProgress> DecodeProgress(
    std::string_view bytes, std::string_view what,
    const std::function<void(const StoredProgress&, StoredOccurrence&)>& open) {
  BOOST_LEAF_AUTO(in, Open(bytes, what));
  StoredProgress progress;
  progress.phase = ReadPhase(in);
  progress.begun = ReadUint32(in);
  progress.done = ReadUint32(in);
  const std::size_t count = ReadCount(in);
  for (std::size_t i = 0; i < count && in.valid; ++i) {
    StoredOccurrence occurrence;
    occurrence.number = ReadUint32(in);
    const std::size_t steps = ReadCount(in);
    for (std::size_t s = 0; s < steps && in.valid; ++s) {
      std::vector<StoredTasks>& rows = occurrence.steps.emplace_back();
      const std::size_t rows_of_step = ReadCount(in);
      for (std::size_t r = 0; r < rows_of_step && in.valid; ++r) {
        rows.push_back(ReadStoredTasks(in));
      }
    }
    if (in.valid) {
      open(progress, occurrence);
    }
  }
  if (in.valid && in.next < in.packed.numbers.size()) {
    progress.shelved = ReadShelves(in);
  }
  if (!IsComplete(in)) {
    return Fail(ErrorKind::kMalformed,
                "malformed progress record: " + std::string(what));
  }
  return progress;
}

}  // namespace buckthornmux::cell
