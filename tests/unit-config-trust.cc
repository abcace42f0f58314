// How long a revision is trusted for keys, under cuts and outages.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/runtime/config_trust.h"

namespace buckthornmux::runtime {
namespace {

constexpr Millis kTrust{2500};
constexpr Time kRead{Millis(10'000)};

TrustInputs Inputs() {
  TrustInputs inputs;
  inputs.revision = 7;
  inputs.read_at = kRead;
  inputs.ever_read = true;
  inputs.trust = kTrust;
  return inputs;
}

PeerConfig CutOffPeer(Time received_at) {
  return {received_at, 7, Millis(60'000), false};
}

class ConfigTrustTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigTrustTest);
  CPPUNIT_TEST(OwnReadEndsWithItsTrust);
  CPPUNIT_TEST(NothingReadIsNotTrusted);
  CPPUNIT_TEST(PeerThatIsSureExtendsTrust);
  CPPUNIT_TEST(NewerRevisionElsewhereEndsTrust);
  CPPUNIT_TEST(TotalOutageKeepsTrust);
  CPPUNIT_TEST(SilentMemberInAnOutageEndsTrust);
  CPPUNIT_TEST(MemberWithTheStoreEndsTrustOfTheCutOff);
  CPPUNIT_TEST(TrustInAnOutageCountsFromTheOldestHeartbeat);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OwnReadEndsWithItsTrust() {
    TrustInputs inputs = Inputs();
    inputs.peers["b"] = {};  // Registered, never heard.
    CPPUNIT_ASSERT(TrustedUntil(inputs, kRead + kTrust) == kRead + kTrust);
  }

  void NothingReadIsNotTrusted() {
    TrustInputs inputs = Inputs();
    inputs.ever_read = false;
    CPPUNIT_ASSERT(TrustedUntil(inputs, kRead) == Time{});
  }

  void PeerThatIsSureExtendsTrust() {
    TrustInputs inputs = Inputs();
    const Time heard = kRead + Millis(3000);
    inputs.peers["b"] = {heard, 7, Millis(100), true};
    CPPUNIT_ASSERT(TrustedUntil(inputs, heard) == heard - Millis(100) + kTrust);
  }

  void NewerRevisionElsewhereEndsTrust() {
    TrustInputs inputs = Inputs();
    inputs.peers["b"] = {kRead, 8, Millis(0), true};
    CPPUNIT_ASSERT(TrustedUntil(inputs, kRead) < kRead);
  }

  void TotalOutageKeepsTrust() {
    TrustInputs inputs = Inputs();
    const Time now = kRead + Millis(3'600'000);
    inputs.peers["b"] = CutOffPeer(now);
    inputs.peers["c"] = CutOffPeer(now);
    CPPUNIT_ASSERT(TrustedUntil(inputs, now) == now + kTrust);
  }

  void SilentMemberInAnOutageEndsTrust() {
    TrustInputs inputs = Inputs();
    const Time now = kRead + Millis(3'600'000);
    inputs.peers["b"] = CutOffPeer(now);
    inputs.peers["c"] = CutOffPeer(now - kTrust - Millis(1));
    CPPUNIT_ASSERT(TrustedUntil(inputs, now) < now);
  }

  void MemberWithTheStoreEndsTrustOfTheCutOff() {
    TrustInputs inputs = Inputs();
    const Time now = kRead + Millis(3'600'000);
    inputs.peers["b"] = CutOffPeer(now);
    inputs.peers["b"].store_reachable = true;
    CPPUNIT_ASSERT(TrustedUntil(inputs, now) < now);
  }

  void TrustInAnOutageCountsFromTheOldestHeartbeat() {
    TrustInputs inputs = Inputs();
    const Time now = kRead + Millis(3'600'000);
    inputs.peers["b"] = CutOffPeer(now);
    inputs.peers["c"] = CutOffPeer(now - Millis(2000));
    CPPUNIT_ASSERT(TrustedUntil(inputs, now) == now - Millis(2000) + kTrust);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTrustTest);

}  // namespace
}  // namespace buckthornmux::runtime
