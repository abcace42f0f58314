// When an owner counts as gone: it leaves a call unanswered, answers no
// ping, and those of other hosts neither.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/open_offer.h"
#include "buckthornmux/detail/entry/owner_watch.h"

namespace buckthornmux::tests {
namespace {

using entry::LivenessQuery;
using entry::LivenessReply;

constexpr Time kStart{Millis(1'000'000)};
constexpr Millis kTick{50};

/// A host "a" whose owner is "o"; peers "b" and "c" are played by the test.
struct Fixture {
  std::vector<HostId> linked{"b", "c", "o"};
  int probes = 0;
  std::vector<std::pair<HostId, LivenessQuery>> asked;
  std::vector<std::pair<HostId, LivenessReply>> told;
  std::vector<HostId> gone;
  int reconnects = 0;
  Time now = kStart;
  entry::OwnerWatch watch{
      {[this] { return linked; }, [this](const HostId&) { ++probes; },
       [this](const HostId& to, const LivenessQuery& ask) {
         asked.emplace_back(to, ask);
       },
       [this](const HostId& to, const LivenessReply& reply) {
         told.emplace_back(to, reply);
       },
       [this](const HostId& owner) { gone.push_back(owner); },
       [this](const HostId&) { ++reconnects; }}};

  /// The owner has served the cell before.
  Fixture() {
    watch.Tick("o", std::nullopt, now);
    entry::CellReply served;
    served.end = entry::CallEnd::kPhase;
    watch.Answered("o", served);
  }

  /// Lets time pass while a call waits for the owner since kStart.
  void Pass(Millis span) {
    for (const Time end = now + span; now < end;) {
      now += kTick;
      watch.Tick("o", kStart, now);
    }
  }
  void AllHearNothing() {
    for (const auto& [host, ask] : asked) {
      watch.Take(LivenessReply{ask.ask, false}, now);
    }
  }
};

class OwnerWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerWatchTest);
  CPPUNIT_TEST(DeadOwnerIsFoundWithinHalfASecond);
  CPPUNIT_TEST(SlowAnswerOfALiveOwnerAsksNobody);
  CPPUNIT_TEST(OwnerThatAnotherHearsOfStays);
  CPPUNIT_TEST(HostThatIsCutOffSuspectsNobody);
  CPPUNIT_TEST(LostLinkAsksAtOnce);
  CPPUNIT_TEST(NewOwnerIsNotSuspectedForTheOldOne);
  CPPUNIT_TEST(AskedHostProbesBeforeItAnswers);
  CPPUNIT_TEST(OfferThatIsNotTakenGoesToAnotherHost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DeadOwnerIsFoundWithinHalfASecond() {
    Fixture f;
    f.Pass(Millis(150));
    CPPUNIT_ASSERT_EQUAL(1, f.probes);
    f.Pass(Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.asked.size());
    f.Pass(Millis(100));
    f.AllHearNothing();
    f.Pass(kTick);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.gone.size());
    CPPUNIT_ASSERT(f.now - kStart <= Millis(500));
    f.Pass(Millis(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.gone.size());
  }

  // A slow store delays answers for longer than the watch waits.
  void SlowAnswerOfALiveOwnerAsksNobody() {
    Fixture f;
    for (int i = 0; i < 40; ++i) {
      const int before = f.probes;
      f.Pass(kTick);
      if (f.probes > before) {
        f.watch.Alive("o", f.now + Millis(4));
      }
    }
    CPPUNIT_ASSERT(f.probes > 0);
    CPPUNIT_ASSERT(f.asked.empty());
  }

  void OwnerThatAnotherHearsOfStays() {
    Fixture f;
    f.Pass(Millis(300));
    f.watch.Take(LivenessReply{f.asked.at(0).second.ask, false}, f.now);
    f.watch.Take(LivenessReply{f.asked.at(1).second.ask, true}, f.now);
    // The connection went silent: a new one may work.
    CPPUNIT_ASSERT_EQUAL(1, f.reconnects);
    f.Pass(Millis(400));
    CPPUNIT_ASSERT(f.gone.empty());
  }

  void HostThatIsCutOffSuspectsNobody() {
    Fixture f;
    f.linked.clear();
    f.Pass(Millis(3000));
    CPPUNIT_ASSERT(f.gone.empty());
  }

  // A killed process resets its connections.
  void LostLinkAsksAtOnce() {
    Fixture f;
    f.linked = {"b", "c"};
    f.Pass(kTick);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.asked.size());
    f.AllHearNothing();
    f.Pass(kTick);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.gone.size());
  }

  void NewOwnerIsNotSuspectedForTheOldOne() {
    Fixture f;
    f.Pass(Millis(300));
    f.watch.Tick("c", std::nullopt, f.now);
    f.AllHearNothing();
    f.watch.Tick("c", std::nullopt, f.now + Millis(500));
    CPPUNIT_ASSERT(f.gone.empty());
  }

  void AskedHostProbesBeforeItAnswers() {
    Fixture f;
    f.watch.Take("b", LivenessQuery{7, "o"}, f.now);
    f.watch.Take("c", LivenessQuery{8, "x"}, f.now);
    CPPUNIT_ASSERT_EQUAL(1, f.probes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.told.size());
    CPPUNIT_ASSERT(!f.told[0].second.alive);  // It has no link to "x".
    f.watch.Alive("o", f.now + Millis(5));
    f.watch.Tick("o", std::nullopt, f.now + Millis(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.told.size());
    CPPUNIT_ASSERT(f.told[1].second.alive);
    f.watch.Take("b", LivenessQuery{9, "o"}, f.now + Millis(20));
    f.watch.Tick("o", std::nullopt, f.now + Millis(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.told.size());
    CPPUNIT_ASSERT(!f.told[2].second.alive);
  }

  // The host that was asked was killed at that moment; the former owner stays
  // registered, so that nobody else would claim the cell.
  void OfferThatIsNotTakenGoesToAnotherHost() {
    const std::vector<HostId> hosts{"b", "c"};
    std::optional<entry::OpenOffer> offer{
        {.epoch = 4, .to = "b", .next_host_at = kStart + entry::kOfferTimeout}};
    CPPUNIT_ASSERT(!entry::NextOffer(offer, 4, hosts, kStart));
    Time now = kStart + entry::kOfferTimeout;
    CPPUNIT_ASSERT(entry::NextOffer(offer, 4, hosts, now) == HostId("c"));
    CPPUNIT_ASSERT(!entry::NextOffer(offer, 4, hosts, now + kTick));
    now += entry::kOfferTimeout;
    CPPUNIT_ASSERT(!entry::NextOffer(offer, 4, {}, now));
    CPPUNIT_ASSERT(entry::NextOffer(offer, 4, hosts, now) == HostId("b"));
    CPPUNIT_ASSERT(!entry::NextOffer(offer, 5, hosts, now + Millis(5000)));
    CPPUNIT_ASSERT(!offer.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerWatchTest);

}  // namespace
}  // namespace buckthornmux::tests
