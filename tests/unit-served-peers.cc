// Tests to which host an owner hands the cell over if the store rejects it.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/served_peers.h"

namespace buckthornmux::tests {
namespace {

constexpr Time kStart{Millis(1'000'000)};

struct Fixture {
  std::vector<HostId> successors{"large", "half", "small"};
  std::vector<member::Member> members{
      MakeHost("small", 208), MakeHost("large", 500), MakeHost("half", 260)};
  entry::ServedPeers peers;

  static member::Member MakeHost(const HostId& id, std::uint32_t weight) {
    member::Member host;
    host.id = id;
    host.weight = weight;
    return host;
  }
  std::optional<HostId> ChosenAfter(Millis passed) {
    return entry::ChooseServedPeer(peers, successors, members, kStart + passed);
  }
};

class ServedPeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServedPeersTest);
  CPPUNIT_TEST(BestHostIsChosenThoughAnotherReportsFirst);
  CPPUNIT_TEST(HostWithTooLittleCapacityIsNotChosen);
  CPPUNIT_TEST(AlikeHostsDoNotWaitForEachOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The cell went to the host that reported first, not to the best one.
  void BestHostIsChosenThoughAnotherReportsFirst() {
    Fixture f;
    f.peers = {{"half", kStart}, {"small", kStart}};
    CPPUNIT_ASSERT(!f.ChosenAfter(Millis(50)));
    f.peers.emplace("large", kStart + Millis(60));
    CPPUNIT_ASSERT(f.ChosenAfter(Millis(60)) == HostId("large"));
    f.peers.erase("large");
    CPPUNIT_ASSERT(f.ChosenAfter(Millis(100)) == HostId("half"));
  }

  // A host of 10 Mbit/s got the cell while better ones were healthy. It is fit
  // once these are unreachable.
  void HostWithTooLittleCapacityIsNotChosen() {
    Fixture f;
    f.peers = {{"small", kStart}};
    CPPUNIT_ASSERT(!f.ChosenAfter(Millis(400)));
    f.successors = {"small"};
    CPPUNIT_ASSERT(f.ChosenAfter(Millis(400)) == HostId("small"));
    // Its report is outdated.
    CPPUNIT_ASSERT(!f.ChosenAfter(Millis(451)));
  }

  // Hosts of equal weight would delay each hand-over.
  void AlikeHostsDoNotWaitForEachOther() {
    Fixture f;
    for (member::Member& host : f.members) {
      host.weight = 500;
    }
    f.peers = {{"small", kStart}};
    CPPUNIT_ASSERT(f.ChosenAfter(Millis(0)) == HostId("small"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServedPeersTest);

}  // namespace
}  // namespace buckthornmux::tests
