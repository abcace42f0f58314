// What hosts remember and tell each other of when owners came.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/epoch_sightings.h"

namespace buckthornmux::tests {
namespace {

using entry::EpochSightings;

constexpr Time kNow{Millis(1'000'000)};

class EpochSightingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EpochSightingsTest);
  CPPUNIT_TEST(FirstSightOfAnEpochCounts);
  CPPUNIT_TEST(HostThatStartedSinceLearnsFromOthers);
  CPPUNIT_TEST(MemoryIsBounded);
  CPPUNIT_TEST(OtherHostsAreAskedInTurn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstSightOfAnEpochCounts() {
    EpochSightings sightings;
    entry::NoteEpoch(sightings, 0, kNow);
    CPPUNIT_ASSERT(sightings.empty());
    entry::NoteEpoch(sightings, 3, kNow);
    entry::NoteEpoch(sightings, 3, kNow + Millis(500));
    entry::NoteEpoch(sightings, 2, kNow + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sightings.size());
    CPPUNIT_ASSERT(sightings.at(3) == kNow);
  }

  // The clocks of two hosts have nothing in common; an answer that takes time
  // makes a sighting later, never earlier.
  void HostThatStartedSinceLearnsFromOthers() {
    EpochSightings other;
    entry::NoteEpoch(other, 7, kNow);
    entry::NoteEpoch(other, 8, kNow + Millis(900));
    const auto ages = entry::AgesOf(other, kNow + Millis(1000));
    const Time own{Millis(5000)};
    EpochSightings sightings;
    entry::NoteEpoch(sightings, 8, own - Millis(20));
    entry::MergeAges(sightings, ages, own);
    CPPUNIT_ASSERT(sightings.at(7) == own - Millis(1000));
    CPPUNIT_ASSERT(sightings.at(8) == own - Millis(100));
    entry::MergeAges(sightings, ages, own + Millis(300));
    CPPUNIT_ASSERT(sightings.at(7) == own - Millis(1000));
    entry::MergeAges(sightings, std::vector<entry::EpochAge>{{9, Millis(-5)}},
                     own);
    CPPUNIT_ASSERT(!sightings.contains(9));
  }

  void MemoryIsBounded() {
    EpochSightings sightings;
    for (Epoch epoch = 1; epoch <= 2 * entry::kMaxEpochSightings; ++epoch) {
      entry::NoteEpoch(sightings, epoch, kNow);
    }
    CPPUNIT_ASSERT_EQUAL(entry::kMaxEpochSightings, sightings.size());
    CPPUNIT_ASSERT(sightings.contains(2 * entry::kMaxEpochSightings));
  }

  // Guards against owners that only ask hosts that were killed with the former
  // ones and remember nothing.
  void OtherHostsAreAskedInTurn() {
    std::set<HostId> hosts;
    constexpr int kHosts = 42;
    for (int i = 0; i < kHosts; ++i) {
      hosts.insert("host-" + std::to_string(i));
    }
    std::set<HostId> asked;
    for (std::size_t round = 0; round < kHosts; ++round) {
      const auto some = entry::HostsToAsk(hosts, round);
      CPPUNIT_ASSERT_EQUAL(entry::kEpochHostsAsked, some.size());
      asked.insert(some.begin(), some.end());
    }
    CPPUNIT_ASSERT(asked == hosts);
    CPPUNIT_ASSERT(entry::HostsToAsk({}, 5).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         entry::HostsToAsk({"host-1"}, 5).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EpochSightingsTest);

}  // namespace
}  // namespace buckthornmux::tests
