// Tests the steps of a host's shutdown.
#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "buckthornmux/detail/entry/shutdown.h"

namespace buckthornmux::tests {
namespace {

using entry::NextShutdownStep;
using entry::ShutdownState;
using entry::ShutdownStep;

constexpr Time kStart{Millis(1'000'000)};
constexpr Millis kGrace{6000};

class ShutdownTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownTest);
  CPPUNIT_TEST(ServesUntilTheBalancerHasNoticed);
  CPPUNIT_TEST(OpenCallsAreEndedBeforeTheKill);
  CPPUNIT_TEST(SecondSignalEndsCallsAtOnce);
  CPPUNIT_TEST(ExitWaitsForResponsesForABoundedTime);
  CPPUNIT_TEST(AnyShutdownEndsBeforeTheKill);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServesUntilTheBalancerHasNoticed() {
    const ShutdownState idle{.began = kStart, .owns_nothing = true};
    CPPUNIT_ASSERT(NextShutdownStep(idle, kGrace, kStart + Millis(3499)) ==
                   ShutdownStep::kServe);
    CPPUNIT_ASSERT(NextShutdownStep(idle, kGrace, kStart + Millis(3500)) ==
                   ShutdownStep::kEndCalls);
  }

  // Guards against LOST (review/10): requests that waited for an owner were cut
  // when the process ended.
  void OpenCallsAreEndedBeforeTheKill() {
    const ShutdownState busy{
        .began = kStart, .owns_nothing = true, .open_calls = 54};
    CPPUNIT_ASSERT(NextShutdownStep(busy, kGrace, kStart + Millis(5199)) ==
                   ShutdownStep::kServe);
    CPPUNIT_ASSERT(NextShutdownStep(busy, kGrace, kStart + Millis(5200)) ==
                   ShutdownStep::kEndCalls);
  }

  void SecondSignalEndsCallsAtOnce() {
    const ShutdownState forced{
        .began = kStart, .forced = true, .open_calls = 1};
    CPPUNIT_ASSERT(NextShutdownStep(forced, kGrace, kStart + Millis(10)) ==
                   ShutdownStep::kEndCalls);
  }

  void ExitWaitsForResponsesForABoundedTime() {
    ShutdownState state{.began = kStart,
                        .forced = true,
                        .calls_ended = kStart + Millis(100),
                        .registered = false,
                        .open_responses = 2};
    CPPUNIT_ASSERT(NextShutdownStep(state, kGrace, kStart + Millis(599)) ==
                   ShutdownStep::kFlush);
    CPPUNIT_ASSERT(NextShutdownStep(state, kGrace, kStart + Millis(600)) ==
                   ShutdownStep::kExit);
    state.open_responses = 0;
    CPPUNIT_ASSERT(NextShutdownStep(state, kGrace, kStart + Millis(101)) ==
                   ShutdownStep::kExit);
    // A store that doesn't answer must not hold the process up.
    state.registered = true;
    CPPUNIT_ASSERT(NextShutdownStep(state, kGrace, kStart + Millis(101)) ==
                   ShutdownStep::kFlush);
    CPPUNIT_ASSERT(NextShutdownStep(state, kGrace, kStart + Millis(600)) ==
                   ShutdownStep::kExit);
  }

  // Calls come and go, the cell is given away or not, the store answers or not,
  // and a second signal may come.
  void AnyShutdownEndsBeforeTheKill() {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      std::mt19937_64 draw(seed);
      const auto chance = [&draw](int percent) {
        return std::uniform_int_distribution<int>(1, 100)(draw) <= percent;
      };
      ShutdownState state{.began = kStart};
      const bool store_answers = chance(50);
      Time now = kStart;
      auto step = ShutdownStep::kServe;
      while (step != ShutdownStep::kExit) {
        now += Millis(50);
        CPPUNIT_ASSERT(now < kStart + kGrace);
        state.open_calls = chance(50) ? 1 : 0;
        state.open_responses = chance(50) ? 1 : 0;
        state.owns_nothing = state.owns_nothing || chance(5);
        state.forced = state.forced || chance(1);
        step = NextShutdownStep(state, kGrace, now);
        if (step == ShutdownStep::kEndCalls) {
          CPPUNIT_ASSERT(state.calls_ended == Time{});
          state.calls_ended = now;
          state.registered = !store_answers;
        }
      }
      CPPUNIT_ASSERT(state.calls_ended > Time{});
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

}  // namespace
}  // namespace buckthornmux::tests
