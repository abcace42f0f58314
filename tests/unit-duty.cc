// Duties: rings that refuse, wake-ups, timers of the runtime's clock.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>

#include "buckthornmux/detail/runtime/duty_thread.h"

namespace buckthornmux::runtime {
namespace {

constexpr std::chrono::seconds kPatience{5};

class DutyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DutyTest);
  CPPUNIT_TEST(FullRingRefusesAndKeepsOrder);
  CPPUNIT_TEST(MessagesReachTheStep);
  CPPUNIT_TEST(TimerFiresWithoutMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullRingRefusesAndKeepsOrder() {
    BoundedRing<int> ring(2, 3);
    CPPUNIT_ASSERT(ring.TryPushExternal(1));
    CPPUNIT_ASSERT(ring.TryPushExternal(2));
    CPPUNIT_ASSERT(!ring.TryPushExternal(3));
    CPPUNIT_ASSERT(ring.TryPush(4));
    CPPUNIT_ASSERT(!ring.TryPush(5));
    CPPUNIT_ASSERT((ring.PopAll() == std::vector<int>{1, 2, 4}));
    CPPUNIT_ASSERT(ring.TryPushExternal(6));
  }

  void MessagesReachTheStep() {
    ActorRuntime runtime;
    std::promise<int> sum_ready;
    int sum = 0;
    Duty<int> duty;
    duty.Run(runtime, [&](std::vector<int> messages, Time) {
      for (const int message : messages) {
        sum += message;
        if (message == 0) {
          sum_ready.set_value(sum);
        }
      }
      return Time::max();
    });
    for (int i = 100; i >= 0; --i) {
      CPPUNIT_ASSERT(duty.Post(i));
    }
    auto future = sum_ready.get_future();
    CPPUNIT_ASSERT(future.wait_for(kPatience) == std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(5050, future.get());
    duty.Stop();
  }

  void TimerFiresWithoutMessages() {
    ActorRuntime runtime;
    std::promise<void> third;
    int calls = 0;
    Duty<int> duty;
    duty.Run(runtime, [&](const std::vector<int>&, Time now) {
      if (++calls == 3) {
        third.set_value();
      }
      return calls < 3 ? now + Millis(1) : Time::max();
    });
    CPPUNIT_ASSERT(third.get_future().wait_for(kPatience) ==
                   std::future_status::ready);
    duty.Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyTest);

}  // namespace
}  // namespace buckthornmux::runtime
