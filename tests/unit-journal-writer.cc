// Tests that each batch is stored exactly once and in order when the store
// loses requests or answers.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/cell/cell.h"
#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/entry/journal_writer.h"
#include "mock_async_store.h"

namespace buckthornmux::tests {
namespace {

using entry::JournalWriter;

cell::Batch BatchOf(const std::string& key, const std::string& value) {
  cell::Batch batch;
  batch.writes.push_back({key, value, false});
  return batch;
}

/// A writer with a mock store, which counts the writer's events.
struct Fixture {
  MockAsyncStore store;
  store::AsyncStore calls = store.Calls();
  int stored = 0;
  int lost = 0;
  cell::Batch batch;                 ///< The last that was stored.
  std::vector<std::string> omitted;  ///< Keys; empty if there was none.
  std::vector<cell::RecordWrite> loaded;
  JournalWriter writer{calls,
                       {[this](auto records) { loaded = std::move(records); },
                        [this](const cell::Batch& written) {
                          ++stored;
                          batch = written;
                        },
                        [this] { ++lost; },
                        [this](cell::Batch& sent, std::string_view) {
                          const auto left_out = cell::ShortenBatch(sent);
                          omitted.push_back(left_out ? left_out->key : "");
                          return left_out.has_value();
                        }}};

  void Open() {
    store.Put("state/owners/cell/0", "owner");
    writer.Open({"cell/0", "host-1", "life", 1, store.revision});
  }
  /// Advances the time until all unanswered calls have been repeated.
  void Settle() {
    Time now = entry::Now();
    for (int i = 0; i < 20; ++i) {
      now += Millis(200);
      writer.Tick(now);
    }
  }
  [[nodiscard]] std::string Value(const std::string& key) const {
    const auto found = store.items.find("journal/cell/0/" + key);
    return found == store.items.end() ? "" : found->second.value;
  }
};

class JournalWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalWriterTest);
  CPPUNIT_TEST(BatchIsStored);
  CPPUNIT_TEST(RecordsAreReadPageByPage);
  CPPUNIT_TEST(LostAnswerIsRecovered);
  CPPUNIT_TEST(LostWriteIsRepeated);
  CPPUNIT_TEST(LateWriteTakesNoEffectAfterALaterOne);
  CPPUNIT_TEST(RefusedWriteIsRepeated);
  CPPUNIT_TEST(RejectedRecordHoldsNoOtherBack);
  CPPUNIT_TEST(BatchRejectedForNoKnownReasonIsRepeated);
  CPPUNIT_TEST(UnansweredBatchesDoNotDelayLaterOnes);
  CPPUNIT_TEST(NewOwnerStopsTheWriter);
  CPPUNIT_TEST(ErasuresAreWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BatchIsStored() {
    Fixture f;
    f.Open();
    CPPUNIT_ASSERT(f.writer.Ready());
    f.writer.Write(BatchOf("job/1", "a"), entry::Now());
    CPPUNIT_ASSERT_EQUAL(1, f.stored);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), f.Value("job/1"));
    f.writer.Write(BatchOf("job/1", "b"), entry::Now());
    CPPUNIT_ASSERT_EQUAL(2, f.stored);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), f.Value("job/1"));
    CPPUNIT_ASSERT_EQUAL(2, f.store.commits);
  }

  void RecordsAreReadPageByPage() {
    Fixture f;
    f.store.page = 2;
    for (int i = 0; i < 7; ++i) {
      f.store.Put("journal/cell/0/job/" + std::to_string(i), "x");
    }
    f.store.Put("journal/cell/1/job/9", "another range's");
    f.Open();
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, f.loaded.size());
    CPPUNIT_ASSERT_EQUAL(std::string("job/0"), f.loaded[0].key);
  }

  void LostAnswerIsRecovered() {
    Fixture f;
    f.Open();
    f.store.commit_outcomes = {CommitOutcome::kLostAfter};
    f.writer.Write(BatchOf("job/1", "a"), entry::Now());
    CPPUNIT_ASSERT_EQUAL(0, f.stored);
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(1, f.stored);
    f.writer.Write(BatchOf("job/1", "b"), entry::Now());
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(2, f.stored);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), f.Value("job/1"));
  }

  void LostWriteIsRepeated() {
    Fixture f;
    f.Open();
    f.store.commit_outcomes = {CommitOutcome::kLostBefore,
                               CommitOutcome::kLostBefore};
    f.writer.Write(BatchOf("job/1", "a"), entry::Now());
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(1, f.stored);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), f.Value("job/1"));
  }

  // The first write is delayed until its copy and the next batch are stored.
  void LateWriteTakesNoEffectAfterALaterOne() {
    Fixture f;
    f.Open();
    f.store.commit_outcomes = {CommitOutcome::kDelayed};
    f.writer.Write(BatchOf("job/1", "a"), entry::Now());
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(1, f.stored);
    f.writer.Write(BatchOf("job/1", "b"), entry::Now());
    f.store.RunDelayed();
    CPPUNIT_ASSERT_EQUAL(std::string("b"), f.Value("job/1"));
    f.writer.Write(BatchOf("job/2", "c"), entry::Now());
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(3, f.stored);
  }

  void RefusedWriteIsRepeated() {
    Fixture f;
    f.Open();
    f.store.commit_outcomes = {CommitOutcome::kRefused,
                               CommitOutcome::kRefused};
    f.writer.Write(BatchOf("job/1", "a"), entry::Now());
    CPPUNIT_ASSERT(f.writer.WaitingSince().has_value());
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(1, f.stored);
    CPPUNIT_ASSERT(!f.writer.WaitingSince().has_value());
  }

  // The store loses answers for seconds, and no call has timed out yet.
  // Guards against a batch that is rejected for its length and repeated for
  // ever, while all other changes wait behind it.
  void RejectedRecordHoldsNoOtherBack() {
    Fixture f;
    f.Open();
    f.store.max_value_bytes = 100;
    cell::Batch batch = BatchOf("jobs/1", "a");
    batch.writes.push_back({"progress/x", std::string(300, 'x'), false});
    batch.writes.push_back({"progress/y", std::string(50, 'y'), false});
    batch.versions = {{"x", 7}, {"y", 5}};
    f.writer.Write(batch, entry::Now());
    CPPUNIT_ASSERT_EQUAL(1, f.stored);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), f.Value("jobs/1"));
    CPPUNIT_ASSERT_EQUAL(std::string(50, 'y'), f.Value("progress/y"));
    CPPUNIT_ASSERT(f.Value("progress/x").empty());
    CPPUNIT_ASSERT(f.omitted == std::vector<std::string>{"progress/x"});
    CPPUNIT_ASSERT(
        f.batch.versions ==
        (std::vector<std::pair<cell::JobId, std::uint64_t>>{{"y", 5}}));
    f.writer.Write(BatchOf("jobs/2", "b"), entry::Now());
    CPPUNIT_ASSERT_EQUAL(2, f.stored);
  }

  // The other side: a record that others depend on is never left out.
  void BatchRejectedForNoKnownReasonIsRepeated() {
    Fixture f;
    f.Open();
    f.store.max_value_bytes = 10;
    f.writer.Write(BatchOf("jobs/1", std::string(20, 'a')), entry::Now());
    CPPUNIT_ASSERT_EQUAL(0, f.stored);
    f.store.max_value_bytes = 100;
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(1, f.stored);
    CPPUNIT_ASSERT_EQUAL(std::string(20, 'a'), f.Value("jobs/1"));
  }

  void UnansweredBatchesDoNotDelayLaterOnes() {
    Fixture f;
    f.Open();
    for (int i = 1; i <= 4; ++i) {
      f.store.commit_outcomes = {CommitOutcome::kSilentAfter};
      f.writer.Write(BatchOf("job/1", std::to_string(i)), entry::Now());
      f.Settle();
      CPPUNIT_ASSERT_EQUAL(i, f.stored);
    }
    f.store.commit_outcomes = {CommitOutcome::kSilentBefore};
    f.writer.Write(BatchOf("job/1", "last"), entry::Now());
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(5, f.stored);
    CPPUNIT_ASSERT_EQUAL(std::string("last"), f.Value("job/1"));
  }

  void NewOwnerStopsTheWriter() {
    Fixture f;
    f.Open();
    f.store.Put("state/owners/cell/0", "another");
    f.writer.Write(BatchOf("job/1", "a"), entry::Now());
    CPPUNIT_ASSERT_EQUAL(0, f.stored);
    CPPUNIT_ASSERT_EQUAL(1, f.lost);
    CPPUNIT_ASSERT_EQUAL(std::string(), f.Value("job/1"));
  }

  void ErasuresAreWritten() {
    Fixture f;
    f.Open();
    f.writer.Write(BatchOf("job/1", "a"), entry::Now());
    cell::Batch batch;
    batch.writes.push_back({"job/1", {}, true});
    f.writer.Write(batch, entry::Now());
    CPPUNIT_ASSERT_EQUAL(2, f.stored);
    CPPUNIT_ASSERT_EQUAL(std::string(), f.Value("job/1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalWriterTest);

}  // namespace
}  // namespace buckthornmux::tests
