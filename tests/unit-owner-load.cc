// Tests when an owner counts as overloaded, and to which host it hands over.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/owner_load.h"

namespace buckthornmux::tests {
namespace {

using entry::ChooseSuccessor;
using entry::HostCapacity;
using entry::HostNeed;
using entry::OwnerLoadGauge;
using entry::OwnerResource;
using entry::OwnerSample;
using entry::Weighed;

constexpr Time kStart{Millis(1'000'000)};
constexpr Time kLater = kStart + entry::kMinOverloadedOwnership;
constexpr HostCapacity kWeakLink{0.3, 10, 400};
constexpr HostCapacity kLarge{0.5, 200, 512};
/// A sample of 250 ms in which the traffic takes 9 Mbit/s and 0.2 core.
constexpr std::uint64_t kBytes = 281'250;
constexpr std::chrono::microseconds kBusy{50'000};

OwnerSample MakeSample(Millis peer_delay) {
  return {entry::kOwnerSampleInterval,
          kBytes,
          kBytes / 3,
          kBusy,
          peer_delay,
          Millis(0)};
}

void AddSeconds(OwnerLoadGauge& gauge, int seconds, const OwnerSample& sample) {
  for (int i = 0; i < 4 * seconds; ++i) {
    gauge.Add(sample);
  }
}

member::Member MakeHost(const HostId& id, const HostCapacity& capacity) {
  constexpr double kMilli = 1000;
  member::Member host;
  host.id = id;
  host.weight = entry::WeightOf(capacity);
  host.cores_milli = static_cast<std::uint32_t>(capacity.cores * kMilli);
  host.link_kbps = static_cast<std::uint32_t>(capacity.link_mbps * kMilli);
  return host;
}

class OwnerLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerLoadTest);
  CPPUNIT_TEST(OwnerOnASlowLinkHandsOver);
  CPPUNIT_TEST(DelayWithoutUseIsNoOverload);
  CPPUNIT_TEST(SlowPeersAreNotTheOwnersDelay);
  CPPUNIT_TEST(DelayedStartsAreAnOverload);
  CPPUNIT_TEST(TakeoverWithABacklogKeepsTheCellAtFirst);
  CPPUNIT_TEST(WeakHostsDoNotExchangeTheCell);
  CPPUNIT_TEST(WeakHostsAmongThemselvesKeepTheCell);
  CPPUNIT_TEST(EqualHostsKeepTheCell);
  CPPUNIT_TEST(MeasuredNeedDecidesWhoIsFit);
  CPPUNIT_TEST(OwnerThatCarriesTheNeedKeepsTheCell);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The messages of an owner with a 10 Mbit/s link waited for seconds, and it
  // kept the cell for 30 s although better hosts were healthy.
  void OwnerOnASlowLinkHandsOver() {
    OwnerLoadGauge gauge;
    AddSeconds(gauge, 3, MakeSample(Millis(20)));
    CPPUNIT_ASSERT(!gauge.Overloaded(kWeakLink));
    AddSeconds(gauge, 2, MakeSample(Millis(280)));
    CPPUNIT_ASSERT(gauge.Overloaded(kWeakLink) == OwnerResource::kLink);
    const std::vector<member::Member> hosts{MakeHost("other", {0.3, 10, 400}),
                                            MakeHost("half", {0.4, 30, 400}),
                                            MakeHost("large", kLarge)};
    const auto to = ChooseSuccessor(
        {kWeakLink, OwnerResource::kLink, gauge.Current(), kStart}, hosts, {},
        kLater);
    CPPUNIT_ASSERT(to == HostId("large"));
  }

  // An owner with free resources would move because the network is slow.
  void DelayWithoutUseIsNoOverload() {
    OwnerLoadGauge gauge;
    AddSeconds(gauge, 5, MakeSample(Millis(600)));
    CPPUNIT_ASSERT(!gauge.Overloaded({4, 200, 512}));
    CPPUNIT_ASSERT(!gauge.Overloaded({}));
  }

  // Two thirds of the hosts are small and may be slow themselves.
  void SlowPeersAreNotTheOwnersDelay() {
    std::vector<Millis> delays(41, Millis(900));
    std::fill_n(delays.begin(), 12, Millis(5));
    CPPUNIT_ASSERT_EQUAL(Millis(5).count(),
                         entry::FastestQuarter(delays).count());
    CPPUNIT_ASSERT_EQUAL(Millis(0).count(), entry::FastestQuarter({}).count());
  }

  // Only starts that targets have answered were measured, so calls that hang
  // went unnoticed.
  void DelayedStartsAreAnOverload() {
    entry::CallDelays starts;
    for (int i = 0; i < 10; ++i) {
      starts.Began(kStart);
    }
    for (int i = 0; i < 4; ++i) {
      starts.Ended(kStart, kStart + Millis(5));
    }
    const Millis delay = starts.Typical(kStart + Millis(700));
    CPPUNIT_ASSERT_EQUAL(Millis(700).count(), delay.count());
    OwnerLoadGauge gauge;
    OwnerSample sample = MakeSample(Millis(0));
    sample.start_delay = delay;
    sample.sent_bytes = 0;
    AddSeconds(gauge, 2, sample);
    CPPUNIT_ASSERT(gauge.Overloaded(kWeakLink) == OwnerResource::kProcessor);
  }

  // A new owner that reads the records and the backlog is delayed at first; a
  // move would repeat the reading.
  void TakeoverWithABacklogKeepsTheCellAtFirst() {
    OwnerLoadGauge gauge;
    AddSeconds(gauge, 2, MakeSample(Millis(900)));
    const std::vector<member::Member> hosts{MakeHost("large", kLarge)};
    const entry::OverloadedOwner owner{kWeakLink, OwnerResource::kLink,
                                       gauge.Current(), kStart};
    CPPUNIT_ASSERT(gauge.Overloaded(kWeakLink).has_value());
    CPPUNIT_ASSERT(!ChooseSuccessor(owner, hosts, {}, kLater - Millis(1)));
    CPPUNIT_ASSERT(ChooseSuccessor(owner, hosts, {}, kLater).has_value());
    // The measurements of an earlier ownership say nothing about this one.
    gauge.Restart();
    CPPUNIT_ASSERT(!gauge.Overloaded(kWeakLink));
  }

  // Of two hosts, one had the link and the other one the processor.
  void WeakHostsDoNotExchangeTheCell() {
    const HostCapacity slow_link{0.6, 10, 400};
    const HostCapacity slow_core{0.09, 200, 400};
    const std::vector<member::Member> hosts{MakeHost("a", slow_link)};
    const entry::OverloadedOwner owner{slow_core, OwnerResource::kProcessor,
                                       HostNeed{0.09, 1}, kStart};
    entry::OverloadedHosts overloaded{{"a", kStart}};
    const auto chosen_after = [&](Millis passed) {
      return ChooseSuccessor(owner, hosts, overloaded, kStart + passed);
    };
    CPPUNIT_ASSERT(!chosen_after(Millis(9'000)));
    CPPUNIT_ASSERT(!chosen_after(Millis(29'000)));
    CPPUNIT_ASSERT(chosen_after(Millis(30'000)) == HostId("a"));
    // Any overloaded owner delays the next hand-over by 10 s.
    overloaded = {{"b", kStart}};
    CPPUNIT_ASSERT(!chosen_after(Millis(9'999)));
    CPPUNIT_ASSERT(chosen_after(Millis(10'000)) == HostId("a"));
  }

  // Among weak hosts, a move helps nobody, and the cell has no owner meanwhile.
  void WeakHostsAmongThemselvesKeepTheCell() {
    const std::vector<member::Member> hosts{
        MakeHost("a", {0.09, 10, 120}), MakeHost("b", {0.3, 19, 400}),
        // Enough link, but not enough processor.
        MakeHost("c", {0.02, 40, 120}), MakeHost("unknown", {})};
    CPPUNIT_ASSERT(!ChooseSuccessor(
        {kWeakLink, OwnerResource::kLink, HostNeed{0.2, 10}, kStart}, hosts, {},
        kLater));
  }

  // Deployments with alike hosts keep the owner that they had.
  void EqualHostsKeepTheCell() {
    const std::vector<member::Member> hosts{MakeHost("a", kLarge),
                                            MakeHost("b", kLarge)};
    CPPUNIT_ASSERT(!entry::HasUnlikeHosts(hosts));
    // A host of an earlier build, whose capacity is unknown.
    CPPUNIT_ASSERT(!entry::HasUnlikeHosts(
        std::vector<member::Member>{hosts[0], MakeHost("old", {}), hosts[1]}));
    CPPUNIT_ASSERT(entry::HasUnlikeHosts(
        std::vector<member::Member>{hosts[0], MakeHost("b", kWeakLink)}));
    CPPUNIT_ASSERT(!ChooseSuccessor(
        {kLarge, OwnerResource::kLink, HostNeed{0.4, 200}, kStart}, hosts, {},
        kLater));
    for (const member::Member& host : Weighed(hosts, {0.1, 30})) {
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{500}, host.weight);
    }
  }

  // Traffic that needs more of the link than the default did not lower the
  // weight of hosts with a slow link.
  void MeasuredNeedDecidesWhoIsFit() {
    OwnerLoadGauge gauge;
    AddSeconds(gauge, 16, MakeSample(Millis(5)));
    CPPUNIT_ASSERT(!gauge.Peak().has_value());
    AddSeconds(gauge, 1, MakeSample(Millis(5)));
    OwnerSample idle;
    idle.span = entry::kOwnerSampleInterval;
    AddSeconds(gauge, 59, idle);
    const auto peak = gauge.Peak();
    CPPUNIT_ASSERT(peak.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9, peak->link_mbps, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, peak->cores, 0.001);
    CPPUNIT_ASSERT(!entry::Carries(kWeakLink, *peak));
    CPPUNIT_ASSERT(entry::Carries(kLarge, *peak));
    AddSeconds(gauge, 1, idle);
    CPPUNIT_ASSERT(entry::Carries(kWeakLink, gauge.Peak().value()));
    // 90 Mbit/s a core: the 10 Mbit/s of the host carry 111 thousandths.
    const std::vector<member::Member> hosts{MakeHost("a", kWeakLink)};
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{111},
                         Weighed(hosts, {0.1, 9}).front().weight);
  }

  // A weak owner of a cell with little traffic would hand it over for nothing.
  void OwnerThatCarriesTheNeedKeepsTheCell() {
    const HostNeed light{0.02, 2};
    const HostNeed heavy{0.3, 9};
    const auto weight = [](const HostNeed& need) {
      return entry::WeightOf(kLarge, need);
    };
    CPPUNIT_ASSERT(entry::ShouldCede(kWeakLink, std::nullopt, weight({})));
    CPPUNIT_ASSERT(!entry::ShouldCede(kWeakLink, light, weight(light)));
    CPPUNIT_ASSERT(!entry::ShouldCede(kWeakLink, heavy, weight(heavy)));
    const HostNeed link_heavy{0.1, 9};
    CPPUNIT_ASSERT(
        entry::ShouldCede(kWeakLink, link_heavy, weight(link_heavy)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerLoadTest);

}  // namespace
}  // namespace buckthornmux::tests
