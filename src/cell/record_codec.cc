#include "record_codec.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <span>
#include <unordered_map>

#include "buckthornmux/detail/core/archive.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

using buckthornmux::serialize;

constexpr std::size_t kIdDigits = 16;
constexpr unsigned kPartBits = 7;
constexpr std::uint8_t kMorePart = 0x80;
constexpr std::uint8_t kLastPhase =
    static_cast<std::uint8_t>(JobPhase::kCancelled);

/// A record: numbers in parts of seven bits, lowest first; texts named by their
/// index; ids of 16 hexadecimal digits as numbers.
struct Packed {
  std::vector<std::uint64_t> ids;
  std::vector<std::string> texts;
  std::vector<std::uint8_t> numbers;
};

struct Writer {
  Packed packed;
  std::unordered_map<std::string, std::size_t> indices;  ///< Of texts.
};

void Put(Writer& out, std::uint64_t number) {
  while (number >= kMorePart) {
    out.packed.numbers.push_back(
        static_cast<std::uint8_t>((number & (kMorePart - 1U)) | kMorePart));
    number >>= kPartBits;
  }
  out.packed.numbers.push_back(static_cast<std::uint8_t>(number));
}

/// Small numbers of either sign take little room.
void PutSigned(Writer& out, std::int64_t number) {
  const auto bits = static_cast<std::uint64_t>(number);
  Put(out, number < 0 ? (~bits << 1U) | 1U : bits << 1U);
}

void PutText(Writer& out, const std::string& text) {
  const auto [found, added] =
      out.indices.emplace(text, out.packed.texts.size());
  if (added) {
    out.packed.texts.push_back(text);
  }
  Put(out, found->second);
}

/// The number that an id of hexadecimal digits stands for.
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
  Put(out, number ? 1 : 0);
  if (number) {
    out.packed.ids.push_back(*number);
  } else {
    PutText(out, id);
  }
}

/// Takes what was put, in the same order; `sound` ends with the first fault.
struct Reader {
  Packed packed;
  std::size_t next = 0;     ///< Of the numbers.
  std::size_t next_id = 0;  ///< Of the ids.
  bool sound = true;
};

std::uint64_t Take(Reader& in) {
  std::uint64_t number = 0;
  constexpr unsigned kBits = 64;
  for (unsigned shift = 0; shift < kBits && in.next < in.packed.numbers.size();
       shift += kPartBits) {
    const std::uint8_t part = in.packed.numbers[in.next++];
    number |= static_cast<std::uint64_t>(part & (kMorePart - 1U)) << shift;
    if ((part & kMorePart) == 0) {
      return number;
    }
  }
  in.sound = false;
  return 0;
}

std::int64_t TakeSigned(Reader& in) {
  const std::uint64_t bits = Take(in);
  return static_cast<std::int64_t>((bits & 1U) != 0 ? ~(bits >> 1U)
                                                    : bits >> 1U);
}

std::uint32_t TakeSmall(Reader& in) {
  return static_cast<std::uint32_t>(Take(in));
}

/// How many elements follow; each takes a number at least.
std::size_t TakeCount(Reader& in) {
  const std::uint64_t count = Take(in);
  in.sound = in.sound && count <= in.packed.numbers.size() - in.next;
  return in.sound ? count : 0;
}

std::string TakeText(Reader& in) {
  const std::uint64_t index = Take(in);
  in.sound = in.sound && index < in.packed.texts.size();
  return in.sound ? in.packed.texts[index] : std::string();
}

JobId TakeId(Reader& in) {
  if (Take(in) == 0) {
    return TakeText(in);
  }
  if (in.next_id >= in.packed.ids.size()) {
    in.sound = false;
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

JobPhase TakePhase(Reader& in) {
  const std::uint64_t phase = Take(in);
  in.sound = in.sound && phase <= kLastPhase;
  return in.sound ? static_cast<JobPhase>(phase) : JobPhase::kQueued;
}

void PutNumbers(Writer& out, const std::vector<std::uint32_t>& numbers) {
  Put(out, numbers.size());
  for (const std::uint32_t number : numbers) {
    Put(out, number);
  }
}

std::vector<std::uint32_t> TakeNumbers(Reader& in) {
  std::vector<std::uint32_t> numbers(TakeCount(in));
  std::ranges::generate(numbers, [&in] { return TakeSmall(in); });
  return numbers;
}

/// Bits of the first number of a step; the rest of it follows where one of its
/// uncommon fields is set.
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
  Put(out, flags);
  Put(out, step.count);
  boost::pfr::for_each_field(
      step.demand, [&out](const auto& field) { PutSigned(out, field); });
  PutSigned(out, step.estimate.count());
  PutNumbers(out, step.after);
  if ((flags & kUncommon) != 0) {
    PutText(out, step.label);
    PutText(out, step.data_rack);
    PutText(out, step.image);
    Put(out, step.max_per_target);
    PutSigned(out, step.tail_target.count());
    Put(out, step.max_unavailable);
  }
}

StepSpec TakeStep(Reader& in) {
  StepSpec step;
  const std::uint64_t flags = Take(in);
  step.checkpoints = (flags & kCheckpoints) != 0;
  step.gang = (flags & kGang) != 0;
  step.same_rack = (flags & kSameRack) != 0;
  step.copies_allowed = (flags & kCopies) != 0;
  step.service = (flags & kService) != 0;
  step.fills = (flags & kFills) != 0;
  step.count = TakeSmall(in);
  boost::pfr::for_each_field(step.demand, [&in](auto& field) {
    field =
        static_cast<std::remove_reference_t<decltype(field)>>(TakeSigned(in));
  });
  step.estimate = Millis(TakeSigned(in));
  step.after = TakeNumbers(in);
  if ((flags & kUncommon) != 0) {
    step.label = TakeText(in);
    step.data_rack = TakeText(in);
    step.image = TakeText(in);
    step.max_per_target = TakeSmall(in);
    step.tail_target = Millis(TakeSigned(in));
    step.max_unavailable = TakeSmall(in);
  }
  return step;
}

void PutJob(Writer& out, const StoredJob& job) {
  const JobSpec& spec = job.spec;
  PutId(out, spec.id);
  PutText(out, spec.queue);
  PutText(out, spec.team);
  PutText(out, spec.payload);
  PutSigned(out, job.arrived);
  Put(out, spec.recurrence.count);
  PutSigned(out, spec.recurrence.first);
  PutSigned(out, spec.recurrence.interval.count());
  Put(out, spec.steps.size());
  for (const StepSpec& step : spec.steps) {
    PutStep(out, step);
  }
}

StoredJob TakeJob(Reader& in) {
  StoredJob job;
  JobSpec& spec = job.spec;
  spec.id = TakeId(in);
  spec.queue = TakeText(in);
  spec.team = TakeText(in);
  spec.payload = TakeText(in);
  job.arrived = TakeSigned(in);
  spec.recurrence.count = TakeSmall(in);
  spec.recurrence.first = TakeSigned(in);
  spec.recurrence.interval = Millis(TakeSigned(in));
  const std::size_t steps = TakeCount(in);
  for (std::size_t i = 0; i < steps && in.sound; ++i) {
    spec.steps.push_back(TakeStep(in));
  }
  return job;
}

/// Bits of the first number of alike tasks.
constexpr std::uint64_t kDone = 1;
constexpr std::uint64_t kBegun = 2;       ///< Its next run is not the first.
constexpr std::uint64_t kFailed = 4;      ///< Runs of it have failed.
constexpr std::uint64_t kCheckpoint = 8;  ///< It has one.

void PutTasks(Writer& out, const StoredTasks& tasks) {
  const std::uint64_t flags = (tasks.done ? kDone : 0) |
                              (tasks.next_run != 1 ? kBegun : 0) |
                              (tasks.failed_runs.empty() ? 0 : kFailed) |
                              (tasks.checkpoint.empty() ? 0 : kCheckpoint);
  Put(out, flags);
  Put(out, tasks.count);
  if ((flags & kBegun) != 0) {
    Put(out, tasks.next_run);
  }
  if ((flags & kFailed) != 0) {
    PutNumbers(out, tasks.failed_runs);
  }
  if ((flags & kCheckpoint) != 0) {
    PutText(out, tasks.checkpoint);
  }
}

StoredTasks TakeTasks(Reader& in) {
  const std::uint64_t flags = Take(in);
  StoredTasks tasks;
  tasks.done = (flags & kDone) != 0;
  tasks.count = TakeSmall(in);
  if ((flags & kBegun) != 0) {
    tasks.next_run = TakeSmall(in);
  }
  if ((flags & kFailed) != 0) {
    tasks.failed_runs = TakeNumbers(in);
  }
  if ((flags & kCheckpoint) != 0) {
    tasks.checkpoint = TakeText(in);
  }
  return tasks;
}

Result<Reader> Open(std::string_view bytes, std::string_view what) {
  BOOST_LEAF_AUTO(packed, DecodeBinary<Packed>(bytes, what));
  Reader in;
  in.packed = std::move(packed);
  return in;
}

/// Nothing was missing and nothing is left.
bool Whole(const Reader& in) {
  return in.sound && in.next == in.packed.numbers.size() &&
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
  Put(out, jobs.size());
  for (const StoredJob& job : jobs) {
    PutJob(out, job);
  }
  return EncodeBinary(out.packed);
}

Result<std::vector<StoredJob>> DecodeJobs(std::string_view bytes,
                                          std::string_view what) {
  BOOST_LEAF_AUTO(in, Open(bytes, what));
  std::vector<StoredJob> jobs;
  const std::size_t count = TakeCount(in);
  for (std::size_t i = 0; i < count && in.sound; ++i) {
    jobs.push_back(TakeJob(in));
  }
  if (!Whole(in)) {
    return Fail(ErrorKind::kMalformed, "not jobs: " + std::string(what));
  }
  return jobs;
}

std::string EncodeEnds(const std::vector<StoredEnd>& ends) {
  Writer out;
  Put(out, ends.size());
  for (const StoredEnd& end : ends) {
    PutId(out, end.id);
    Put(out, static_cast<std::uint64_t>(end.phase));
    PutText(out, end.queue);
    PutText(out, end.team);
  }
  return EncodeBinary(out.packed);
}

Result<std::vector<StoredEnd>> DecodeEnds(std::string_view bytes,
                                          std::string_view what) {
  BOOST_LEAF_AUTO(in, Open(bytes, what));
  std::vector<StoredEnd> ends(TakeCount(in));
  for (StoredEnd& end : ends) {
    end.id = TakeId(in);
    end.phase = TakePhase(in);
    end.queue = TakeText(in);
    end.team = TakeText(in);
  }
  if (!Whole(in)) {
    return Fail(ErrorKind::kMalformed, "not ends: " + std::string(what));
  }
  return ends;
}

std::string EncodeProgress(const StoredProgress& progress) {
  Writer out;
  Put(out, static_cast<std::uint64_t>(progress.phase));
  Put(out, progress.begun);
  Put(out, progress.done);
  Put(out, progress.open.size());
  for (const StoredOccurrence& occurrence : progress.open) {
    Put(out, occurrence.number);
    Put(out, occurrence.steps.size());
    for (const std::vector<StoredTasks>& step : occurrence.steps) {
      Put(out, step.size());
      for (const StoredTasks& tasks : step) {
        PutTasks(out, tasks);
      }
    }
  }
  return EncodeBinary(out.packed);
}

Result<StoredProgress> DecodeProgress(std::string_view bytes,
                                      std::string_view what) {
  BOOST_LEAF_AUTO(in, Open(bytes, what));
  StoredProgress progress;
  progress.phase = TakePhase(in);
  progress.begun = TakeSmall(in);
  progress.done = TakeSmall(in);
  progress.open.resize(TakeCount(in));
  for (StoredOccurrence& occurrence : progress.open) {
    occurrence.number = TakeSmall(in);
    occurrence.steps.resize(TakeCount(in));
    for (std::vector<StoredTasks>& step : occurrence.steps) {
      step.resize(TakeCount(in));
      std::ranges::generate(step, [&in] { return TakeTasks(in); });
    }
  }
  if (!Whole(in)) {
    return Fail(ErrorKind::kMalformed, "not progress: " + std::string(what));
  }
  return progress;
}

}  // namespace buckthornmux::cell
