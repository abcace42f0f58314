// Tests of the journal chain under lost answers, outages, races and crashes.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "buckthornmux/detail/home/journal.h"
#include "home_driver.h"
#include "mock_store.h"

namespace buckthornmux::home {
namespace {

using store::MockFault;
using store::MockStore;
using Type = JournalRecord::Type;

constexpr Partition kPart = 3;

JournalRecord Accepted(const std::string& id) {
  JournalRecord record;
  record.type = Type::kAccepted;
  record.team = "red";
  record.job = id;
  record.request = MakeRequest(id, WorkClass::kPatient, true);
  record.at = 5;
  return record;
}

JournalRecord Step(Type type, const std::string& id, std::uint32_t attempt,
                   WallMillis at = 5) {
  JournalRecord record;
  record.type = type;
  record.team = "red";
  record.job = id;
  record.attempt = attempt;
  record.at = at;
  return record;
}

std::vector<JournalRecord> Jobs(int count) {
  std::vector<JournalRecord> records;
  records.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    records.push_back(Accepted("job" + std::to_string(index)));
  }
  return records;
}

std::vector<std::string> Texts(const std::vector<JournalRecord>& records) {
  std::vector<std::string> texts;
  texts.reserve(records.size());
  for (const JournalRecord& record : records) {
    texts.push_back(EncodeRecord(record));
  }
  return texts;
}

/// Returns the value of a call, or its error.
template <class F>
auto Try(F&& f) {
  return Capture(std::forward<F>(f));
}

template <class Value>
bool FailedWith(const Outcome<Value>& outcome, ErrorKind kind) {
  const auto* error = std::get_if<Error>(&outcome);
  return error != nullptr && error->kind == kind;
}

ClaimedChain Claim(MockStore& mock, Epoch epoch, WallMillis now = 10) {
  const auto handle = mock.Handle();
  return std::get<ClaimedChain>(
      Try([&] { return ClaimChain(handle, kPart, epoch, now); }));
}

auto Append(MockStore& mock, Chain& chain,
            const std::vector<JournalRecord>& records) {
  const auto handle = mock.Handle();
  return Try([&] { return AppendRecords(handle, chain, records); });
}

auto DoCompact(MockStore& mock, Chain& chain, WallMillis now = 10) {
  const auto handle = mock.Handle();
  return Try([&] { return Compact(handle, chain, now); });
}

class JournalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalTest);
  CPPUNIT_TEST(CodecKeepsEveryMember);
  CPPUNIT_TEST(CodecRefusesOtherForms);
  CPPUNIT_TEST(LostAnswerIsRecognised);
  CPPUNIT_TEST(LongerRetryRecognisesItsOwnSegment);
  CPPUNIT_TEST(OutageReportsNothingDurable);
  CPPUNIT_TEST(FormerOwnerIsFenced);
  CPPUNIT_TEST(FormerOwnerIsFencedBehindCompaction);
  CPPUNIT_TEST(ClaimHandlesAConcurrentAppend);
  CPPUNIT_TEST(CrashAtEachCallOfCompactionIsHarmless);
  CPPUNIT_TEST(RepeatedSnapshotIsKept);
  CPPUNIT_TEST(SegmentsStaySmall);
  CPPUNIT_TEST(FoldDropsFinishedWork);
  CPPUNIT_TEST(RandomFaultsLoseNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CodecKeepsEveryMember() {
    JournalRecord record = Accepted("a/b \"\xff\n");
    record.request.all_at_once = true;
    record.request.tasks = 9;
    record.request.labels = {"gpu", "rack 1"};
    record.request.expected_run = Millis(77);
    record.type = Type::kIntent;
    record.task = 2;
    record.attempt = 3;
    record.shard = "s1";
    record.shard_epoch = 8;
    record.end = TaskEnd::kUnknown;
    record.error = ErrorKind::kOutcomeUnknown;
    record.result = std::string("bin\0ary", 7);
    const auto back = Try([&] { return DecodeRecord(EncodeRecord(record)); });
    const auto& read = std::get<JournalRecord>(back);
    CPPUNIT_ASSERT_EQUAL(EncodeRecord(record), EncodeRecord(read));
    CPPUNIT_ASSERT_EQUAL(record.result, read.result);
    CPPUNIT_ASSERT_EQUAL(record.request.id, read.request.id);
    CPPUNIT_ASSERT(read.end == record.end && read.error == record.error);
    CPPUNIT_ASSERT(read.shard_epoch == 8 && read.request.tasks == 9);
  }

  void CodecRefusesOtherForms() {
    for (const char* text :
         {"", "[]", "{}", R"({"type":"what","job":"a"})",
          R"({"type":"ended","job":5})", R"({"type":"ended"})",
          R"({"type":"accepted","job":"a","request":{}})",
          R"({"type":"ended","job":"a","attempt":-1})"}) {
      CPPUNIT_ASSERT(FailedWith(Try([&] { return DecodeRecord(text); }),
                                ErrorKind::kMalformed));
    }
  }

  void LostAnswerIsRecognised() {
    MockStore mock;
    Chain chain = Claim(mock, 1).chain;
    int puts = 0;
    mock.fault = [&](std::string_view call, std::string_view) {
      return call == "put" && ++puts == 1 ? MockFault::kLostAnswer
                                          : MockFault::kNone;
    };
    const auto durable = Append(mock, chain, Jobs(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, std::get<std::size_t>(durable));
    CPPUNIT_ASSERT_EQUAL(1, puts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Claim(mock, 2).records.size());
  }

  void LongerRetryRecognisesItsOwnSegment() {
    MockStore mock;
    Chain chain = Claim(mock, 1).chain;
    mock.fault = [](std::string_view call, std::string_view) {
      return call == "put" ? MockFault::kLostAnswer : MockFault::kUnavailable;
    };
    CPPUNIT_ASSERT(
        FailedWith(Append(mock, chain, Jobs(2)), ErrorKind::kStoreUnknown));
    mock.fault = nullptr;
    const auto durable = Append(mock, chain, Jobs(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, std::get<std::size_t>(durable));
    CPPUNIT_ASSERT(Texts(Claim(mock, 2).records) == Texts(Jobs(5)));
  }

  void OutageReportsNothingDurable() {
    MockStore mock;
    Chain chain = Claim(mock, 1).chain;
    mock.fault = [](std::string_view, std::string_view) {
      return MockFault::kUnavailable;
    };
    CPPUNIT_ASSERT(
        FailedWith(Append(mock, chain, Jobs(2)), ErrorKind::kStoreUnavailable));
    mock.fault = nullptr;
    CPPUNIT_ASSERT(Claim(mock, 2).records.empty());
  }

  void FormerOwnerIsFenced() {
    MockStore mock;
    Chain former = Claim(mock, 1).chain;
    Chain latter = Claim(mock, 2).chain;
    CPPUNIT_ASSERT(
        FailedWith(Append(mock, former, Jobs(1)), ErrorKind::kOwnerStale));
    CPPUNIT_ASSERT(FailedWith(DoCompact(mock, former), ErrorKind::kOwnerStale));
    const auto handle = mock.Handle();
    CPPUNIT_ASSERT(
        FailedWith(Try([&] { return ClaimChain(handle, kPart, 1, 10); }),
                   ErrorKind::kOwnerStale));
    CPPUNIT_ASSERT(
        std::holds_alternative<std::size_t>(Append(mock, latter, Jobs(1))));
  }

  void FormerOwnerIsFencedBehindCompaction() {
    MockStore mock;
    Chain former = Claim(mock, 1).chain;
    mock.fault = [](std::string_view call, std::string_view) {
      return call == "put" ? MockFault::kLostAnswer : MockFault::kUnavailable;
    };
    CPPUNIT_ASSERT(
        FailedWith(Append(mock, former, Jobs(1)), ErrorKind::kStoreUnknown));
    mock.fault = nullptr;
    Chain latter = Claim(mock, 2).chain;
    CPPUNIT_ASSERT(
        std::holds_alternative<std::size_t>(DoCompact(mock, latter)));
    // The former owner resumes and writes its segment again with more records.
    CPPUNIT_ASSERT(
        FailedWith(Append(mock, former, Jobs(2)), ErrorKind::kOwnerStale));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Claim(mock, 3).records.size());
  }

  void ClaimHandlesAConcurrentAppend() {
    MockStore mock;
    Chain former = Claim(mock, 1).chain;
    bool once = false;
    mock.before = [&](std::string_view call, std::string_view) {
      if (call == "put" && !std::exchange(once, true)) {
        CPPUNIT_ASSERT(
            std::holds_alternative<std::size_t>(Append(mock, former, Jobs(2))));
      }
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Claim(mock, 2).records.size());
  }

  void CrashAtEachCallOfCompactionIsHarmless() {
    bool finished = false;
    for (int crash_at = 1; !finished; ++crash_at) {
      MockStore mock;
      Chain chain = Claim(mock, 1).chain;
      std::vector<JournalRecord> large = Jobs(30);
      for (JournalRecord& record : large) {
        record.request.payload.assign(40'000, 'x');
        CPPUNIT_ASSERT(
            std::holds_alternative<std::size_t>(Append(mock, chain, {record})));
      }
      int calls = 0;
      mock.fault = [&](std::string_view, std::string_view) {
        return ++calls >= crash_at ? MockFault::kUnavailable : MockFault::kNone;
      };
      finished = std::holds_alternative<std::size_t>(DoCompact(mock, chain)) &&
                 calls < crash_at;
      mock.fault = nullptr;
      CPPUNIT_ASSERT(Texts(Claim(mock, 2).records) == Texts(large));
    }
  }

  /// The answer to writing a snapshot is lost and the compaction is repeated.
  /// It finds its own snapshot with equal contents and must not erase it.
  void RepeatedSnapshotIsKept() {
    MockStore mock;
    Chain chain = Claim(mock, 1).chain;
    const std::vector<JournalRecord> records = Jobs(3);
    CPPUNIT_ASSERT(
        std::holds_alternative<std::size_t>(Append(mock, chain, records)));
    mock.fault = [](std::string_view call, std::string_view) {
      return call == "put"   ? MockFault::kLostAnswer
             : call == "get" ? MockFault::kUnavailable
                             : MockFault::kNone;
    };
    CPPUNIT_ASSERT(std::holds_alternative<Error>(DoCompact(mock, chain)));
    mock.fault = nullptr;
    CPPUNIT_ASSERT(std::holds_alternative<std::size_t>(DoCompact(mock, chain)));
    CPPUNIT_ASSERT(Texts(Claim(mock, 2).records) == Texts(records));
  }

  void SegmentsStaySmall() {
    MockStore mock;
    Chain chain = Claim(mock, 1).chain;
    std::vector<JournalRecord> records = Jobs(40);
    for (JournalRecord& record : records) {
      record.request.payload.assign(100'000, 'x');
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{40},
                         std::get<std::size_t>(Append(mock, chain, records)));
    CPPUNIT_ASSERT(std::holds_alternative<std::size_t>(DoCompact(mock, chain)));
    CPPUNIT_ASSERT(mock.largest_value < kMaxSegmentBytes);
    records[0].request.payload.assign(kMaxSegmentBytes, 'x');
    CPPUNIT_ASSERT(
        FailedWith(Append(mock, chain, records), ErrorKind::kTooLarge));
  }

  void FoldDropsFinishedWork() {
    std::vector<JournalRecord> records = Jobs(3);
    const WallMillis end = 1000;
    const WallMillis later = end + kResultRetention.count();
    records.push_back(Step(Type::kIntent, "job0", 1));
    records.push_back(Step(Type::kIntent, "job0", 2));
    records.push_back(Step(Type::kIntent, "job1", 1));
    records.push_back(Step(Type::kEnded, "job1", 1));
    records.push_back(Step(Type::kJobEnded, "job1", 0, end));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Fold(records, later - 1).size());
    const auto folded = Fold(records, later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, folded.size());
    CPPUNIT_ASSERT_EQUAL(2U, folded[1].attempt);
    CPPUNIT_ASSERT(Texts(Fold(folded, later)) == Texts(folded));
    // A non-idempotent job is kept longer, so that it is not run again.
    records[1].request.idempotent = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Fold(records, later).size());
  }

  /// Random store faults, changes of the owner and a paused former owner: every
  /// later owner reads each record that was reported durable, once and in
  /// order.
  void RandomFaultsLoseNothing() {
    const bool held = rc::check([] {
      MockStore mock;
      const auto fault_of = [](std::string_view, std::string_view) {
        const int draw = *rc::gen::inRange(0, 10);
        return draw < 6 ? MockFault::kNone : static_cast<MockFault>(draw - 6);
      };
      Epoch epoch = 1;
      Chain chain = Claim(mock, epoch).chain;
      std::optional<Chain> paused;
      std::vector<JournalRecord> confirmed;
      std::vector<JournalRecord> pending;
      int next = 0;
      const int steps = *rc::gen::inRange(5, 40);
      for (int step = 0; step < steps; ++step) {
        mock.fault = fault_of;
        const int what = *rc::gen::inRange(0, 10);
        if (what < 6) {
          pending.push_back(Accepted("job" + std::to_string(next++)));
          const auto done = Append(mock, chain, pending);
          if (const auto* count = std::get_if<std::size_t>(&done)) {
            const auto end =
                pending.begin() + static_cast<std::ptrdiff_t>(*count);
            confirmed.insert(confirmed.end(), pending.begin(), end);
            pending.erase(pending.begin(), end);
          }
        } else if (what < 8) {
          static_cast<void>(DoCompact(mock, chain));
        } else if (what < 9 || !paused) {
          mock.fault = nullptr;
          paused = chain;
          chain = Claim(mock, ++epoch).chain;
          pending.clear();
        } else {
          const auto late =
              Append(mock, *paused, {Accepted("late" + std::to_string(step))});
          RC_ASSERT(std::holds_alternative<Error>(late));
        }
      }
      mock.fault = nullptr;
      const auto texts = Texts(Claim(mock, ++epoch).records);
      const std::set<std::string> kept(texts.begin(), texts.end());
      RC_ASSERT(kept.size() == texts.size());
      for (const JournalRecord& record : confirmed) {
        RC_ASSERT(kept.contains(EncodeRecord(record)));
      }
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);

}  // namespace
}  // namespace buckthornmux::home
