// Reader of the list of targets: an entry that can't be read hides no other
// one, is logged once, and is forgotten when its key goes.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "buckthornmux/detail/entry/target_reader.h"
#include "buckthornmux/detail/runtime/log_line.h"
#include "mock_async_store.h"

namespace buckthornmux::entry {
namespace {

constexpr Millis kPastInterval{1000};

/// Entries are readable if their text is "good"; else the text is the reason.
Result<cell::TargetEntry> Parse(std::string_view key, std::string_view text) {
  if (text != "good") {
    return Fail(ErrorKind::kMalformed, std::string(text), std::string(key));
  }
  cell::TargetEntry entry;
  entry.id = std::string(key);
  return entry;
}

class TargetReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetReaderTest);
  CPPUNIT_TEST(KeepsTheOthers);
  CPPUNIT_TEST(LogsEachOddEntryOnce);
  CPPUNIT_TEST(LogsAgainAfterTheKeyWentAndCameBack);
  CPPUNIT_TEST(LogsAChangingReasonOnce);
  CPPUNIT_TEST(LogsOnceWhileLaterPagesFail);
  CPPUNIT_TEST(BoundsWhatItRemembers);
  CPPUNIT_TEST(ListIsAsOldAsItsFirstPage);
  CPPUNIT_TEST(ReadingOfAFormerTermIsDropped);
  CPPUNIT_TEST(EachTermReadsAtOnce);
  CPPUNIT_TEST(ReadsSeveralTimesWithinTheMaximumAge);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_lines.clear();
    runtime::SetLogSink(
        [this](std::string_view line) { m_lines.emplace_back(line); });
    m_reader.SetActive(true, m_now);
    m_store.lists = 0;
  }
  void tearDown() override { runtime::SetLogSink({}); }

  // One entry that can't be read must not hide the others, on any page.
  void KeepsTheOthers() {
    m_store.page = 2;
    for (const char* key : {"servers/a", "servers/c", "servers/e"}) {
      m_store.Put(key, "good");
    }
    m_store.Put("servers/b", "bad");
    m_store.Put("servers/d", "bad");
    Read();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_listed.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("servers/e"), m_listed.entries.back().id);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Lines("target_entry_unreadable"));
  }

  void LogsEachOddEntryOnce() {
    m_store.Put("servers/a", "bad");
    for (int i = 0; i < 10; ++i) {
      Read();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Lines("target_entry_unreadable"));
  }

  // The list of unreadable keys kept a key that had gone for good.
  void LogsAgainAfterTheKeyWentAndCameBack() {
    m_store.Put("servers/a", "bad");
    Read();
    m_store.items.erase("servers/a");
    Read();
    m_store.Put("servers/a", "bad");
    Read();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Lines("target_entry_unreadable"));
  }

  // A list that fails halfway says nothing of the keys that it didn't show.
  void LogsOnceWhileLaterPagesFail() {
    m_store.page = 2;
    m_store.list_failure_interval = 2;
    for (const char* key : {"servers/a", "servers/b", "servers/c"}) {
      m_store.Put(key, "bad");
    }
    for (int i = 0; i < 5; ++i) {
      Read();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Lines("target_entry_unreadable"));
    m_store.list_failure_interval = 0;
    Read();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Lines("target_entry_unreadable"));
  }

  void LogsAChangingReasonOnce() {
    m_store.Put("servers/a", "bad");
    Read();
    m_store.Put("servers/a", "worse");
    Read();
    m_store.away = true;
    Read();
    m_store.away = false;
    Read();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Lines("target_entry_unreadable"));
  }

  // Each odd entry took memory and a log line, without a limit.
  void BoundsWhatItRemembers() {
    constexpr std::size_t kEntries = 5000;
    for (std::size_t i = 0; i < kEntries; ++i) {
      m_store.Put("servers/" + std::to_string(i), "bad");
    }
    m_store.Put("servers/z", "good");
    for (int i = 0; i < 3; ++i) {
      Read();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_listed.entries.size());
    CPPUNIT_ASSERT_EQUAL(kMaxUnreadableTargets,
                         Lines("target_entry_unreadable"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Lines("target_entries_unreadable"));
    // Keys that go make room for the next ones.
    m_store.items.clear();
    Read();
    m_store.Put("servers/new", "bad");
    Read();
    CPPUNIT_ASSERT_EQUAL(kMaxUnreadableTargets + 1,
                         Lines("target_entry_unreadable"));
  }

  // The pages of a list don't form a snapshot: a change of an entry on the
  // first page, while later ones are read, isn't shown.
  void ListIsAsOldAsItsFirstPage() {
    m_store.page = 1;
    m_store.hold_lists = true;
    m_store.Put("servers/a", "good");
    m_store.Put("servers/b", "good");
    Read();
    const Time began = m_now;
    for (int page = 0; page < 2; ++page) {
      m_now += kPastInterval;
      m_store.AnswerLists();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_listed.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_listed.pages);
    CPPUNIT_ASSERT(began == m_listed.as_of);
  }

  // Guards against a list that was read for a former term of ownership and is
  // answered in the next one (review/12).
  void ReadingOfAFormerTermIsDropped() {
    m_store.hold_lists = true;
    m_store.Put("servers/a", "good");
    Read();
    m_reader.SetActive(false, m_now);
    m_now += kPastInterval;
    m_lists.clear();
    m_reader.SetActive(true, m_now);
    m_store.AnswerLists();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lists.size());
    CPPUNIT_ASSERT(m_lists.front().as_of == m_now);
  }

  // Guards against a new owner that waits for an answer to its former term, or
  // for the next tick, before it asks for the list.
  void EachTermReadsAtOnce() {
    m_store.hold_lists = true;
    Read();
    const int lists = m_store.lists;
    m_reader.SetActive(false, m_now);
    m_reader.SetActive(true, m_now);
    CPPUNIT_ASSERT_EQUAL(lists + 1, m_store.lists);
    m_reader.SetActive(false, m_now);
    CPPUNIT_ASSERT_EQUAL(lists + 1, m_store.lists);
  }

  // Guards against a fixed interval that leaves an owner without a list that is
  // recent enough, where targets have little time to leave.
  void ReadsSeveralTimesWithinTheMaximumAge() {
    constexpr Millis kMaxAge{400};
    constexpr Millis kTick{50};
    TargetReader reader(
        m_calls, "servers/", Parse, [](const auto&) {}, kMaxAge);
    reader.SetActive(true, m_now);
    m_store.lists = 0;
    for (const Time end = m_now + 4 * kMaxAge; m_now < end;) {
      m_now += kTick;
      reader.Tick(m_now);
    }
    CPPUNIT_ASSERT_EQUAL(8, m_store.lists);
  }

 private:
  void Read() {
    m_now += kPastInterval;
    m_reader.Tick(m_now);
  }

  [[nodiscard]] std::size_t Lines(std::string_view event) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_lines, [&](const std::string& line) {
          return line.find(event) != std::string::npos;
        }));
  }

  tests::MockAsyncStore m_store;
  store::AsyncStore m_calls = m_store.Calls();
  TargetList m_listed;
  std::vector<TargetList> m_lists;  ///< All that were passed on.
  std::vector<std::string> m_lines;
  // Later than the retry after a failed list, which runs on the real clock.
  Time m_now = Time(std::chrono::duration_cast<Millis>(
                   std::chrono::steady_clock::now().time_since_epoch())) +
               Millis(60'000);
  TargetReader m_reader{m_calls, "servers/", Parse, [this](TargetList list) {
                          m_listed = list;
                          m_lists.push_back(std::move(list));
                        }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetReaderTest);

}  // namespace
}  // namespace buckthornmux::entry
