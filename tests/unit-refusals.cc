// Refusal of new jobs for which no write has been sent, so that they never run.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

std::size_t RefusalsIn(const cell::Actions& actions) {
  return static_cast<std::size_t>(
      std::ranges::count_if(actions, [](const auto& action) {
        const auto* answer = std::get_if<cell::AnswerSubmit>(&action);
        return answer != nullptr && answer->error;
      }));
}

class RefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalTest);
  CPPUNIT_TEST(StoreLossRefusesWhatNoWriteHasLeftFor);
  CPPUNIT_TEST(UnsentJobIsRefusedBeforeItsCallersGiveUp);
  CPPUNIT_TEST(JobOfAWriteUnderWayIsNotRefused);
  CPPUNIT_TEST(JobThatComesAgainIsRefusedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StoreLossRefusesWhatNoWriteHasLeftFor() {
    World world({});
    world.SetRules({PlainQueue("plain")});
    world.Submit(PlainJob("j1"));
    cell::Actions actions;
    cell::SetStoreHealthy(world.State(), actions, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RefusalsIn(actions));
    CPPUNIT_ASSERT(!world.State().jobs.contains("j1"));
  }

  // Guards against unanswered submits: while a write took seconds, the jobs
  // waiting for it were held until their callers got an unknown outcome.
  void UnsentJobIsRefusedBeforeItsCallersGiveUp() {
    World world({});
    world.SetRules({PlainQueue("plain")});
    cell::Cell& owned = world.State();
    const Time now = world.NowTime();
    cell::Actions actions;
    cell::Submit(owned, actions, 1, PlainJob("j1"), now, now + Millis(400));
    cell::Submit(owned, actions, 2, PlainJob("j1"), now, now + Millis(900));
    cell::Tick(owned, actions, now + Millis(899));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RefusalsIn(actions));
    cell::Tick(owned, actions, now + Millis(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, RefusalsIn(actions));
    CPPUNIT_ASSERT(!owned.jobs.contains("j1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owned.writes.count);
  }

  void JobOfAWriteUnderWayIsNotRefused() {
    World world({});
    world.SetRules({PlainQueue("plain")});
    cell::Cell& owned = world.State();
    const Time now = world.NowTime();
    cell::Actions actions;
    cell::Submit(owned, actions, 1, PlainJob("j1"), now, now + Millis(400));
    CPPUNIT_ASSERT(cell::TakeBatch(owned, 29, now).has_value());
    cell::Tick(owned, actions, now + Millis(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RefusalsIn(actions));
    CPPUNIT_ASSERT(owned.jobs.contains("j1"));
  }

  // The job's id is in the write queue twice.
  void JobThatComesAgainIsRefusedOnce() {
    World world({});
    world.SetRules({PlainQueue("plain")});
    cell::Cell& owned = world.State();
    const Time now = world.NowTime();
    cell::Actions actions;
    cell::Submit(owned, actions, 1, PlainJob("j1"), now, now + Millis(400));
    cell::Tick(owned, actions, now + Millis(400));
    cell::Submit(owned, actions, 2, PlainJob("j1"), now, now + Millis(900));
    cell::Tick(owned, actions, now + Millis(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, RefusalsIn(actions));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owned.writes.count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalTest);

}  // namespace
}  // namespace buckthornmux::tests
