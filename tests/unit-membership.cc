// Tests registration, renewals and claims with a store that loses answers.
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/entry/membership.h"
#include "buckthornmux/detail/entry/repeated_commit.h"
#include "mock_async_store.h"

namespace buckthornmux::tests {
namespace {

using End = store::TransactionEnd::Kind;

store::Transaction WriteOf(const std::string& key, const std::string& value) {
  store::Transaction transaction;
  transaction.conditions.push_back({key, store::kAbsent});
  transaction.writes.push_back({key, value, store::kNoLease});
  return transaction;
}

/// A RepeatedCommit with a mock store and its answer.
struct Commit {
  MockAsyncStore store;
  store::AsyncStore calls = store.Calls();
  std::optional<Outcome<store::TransactionEnd>> answer;
  entry::RepeatedCommit commit{calls};

  void Start() {
    commit.Start(WriteOf("k", "mine"),
                 [this](auto outcome) { answer = std::move(outcome); });
  }
  void Settle() {
    Time now = entry::Now();
    for (int i = 0; i < 20; ++i) {
      now += Millis(200);
      commit.Tick(now);
    }
  }
  [[nodiscard]] const store::TransactionEnd& Good() const {
    CPPUNIT_ASSERT(answer.has_value());
    const auto* end = std::get_if<store::TransactionEnd>(&*answer);
    CPPUNIT_ASSERT(end != nullptr);
    return *end;
  }
  [[nodiscard]] ErrorKind Bad() const {
    CPPUNIT_ASSERT(answer.has_value());
    const auto* error = std::get_if<Error>(&*answer);
    CPPUNIT_ASSERT(error != nullptr);
    return error->kind;
  }
};

/// A host that registers and can own the cell.
struct Host {
  MockAsyncStore store;
  store::AsyncStore calls = store.Calls();
  int gained = 0;
  bool lease = false;
  entry::Membership members{
      calls,
      {"host-1", {}, "127.0.0.1:1", "127.0.0.1:2", "dc"},
      {{"cell/0", {}}},
      {[this](const member::OwnerRecord&) { ++gained; },
       [](const std::string&) {}, [](const std::string&) {},
       [this](bool held) { lease = held; }, [] {}}};

  /// Ticks every 50 ms of simulated time. Each tick also sleeps for 10 ms,
  /// since a range without an owner is claimed only after 30 ms of the
  /// process's own clock.
  void Tick(Millis from, Millis until) {
    const Time begin = entry::Now();
    for (Millis at = from; at <= until; at += Millis(50)) {
      std::this_thread::sleep_for(Millis(10));
      members.Tick(begin + at);
    }
  }
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(LostCopyIsSentAgain);
  CPPUNIT_TEST(AppliedCopyIsRecognised);
  CPPUNIT_TEST(WriteOfAnotherHostIsNoSuccess);
  CPPUNIT_TEST(RefusedAndLostCopiesAreDistinguished);
  CPPUNIT_TEST(ReplacedTransactionIsNotAnswered);
  CPPUNIT_TEST(RegistersThoughAnswersAreLost);
  CPPUNIT_TEST(LostClaimIsSentAgain);
  CPPUNIT_TEST(LostRenewalIsSentAgainImmediately);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LostCopyIsSentAgain() {
    Commit f;
    f.store.commit_outcomes = {CommitOutcome::kSilentBefore,
                               CommitOutcome::kSilentBefore};
    f.Start();
    f.commit.Tick(entry::Now());
    CPPUNIT_ASSERT_EQUAL(1, f.store.commits);
    f.Settle();
    CPPUNIT_ASSERT(f.Good().kind == End::kApplied);
    CPPUNIT_ASSERT_EQUAL(3, f.store.commits);
  }

  void AppliedCopyIsRecognised() {
    Commit f;
    f.store.commit_outcomes = {CommitOutcome::kSilentAfter};
    f.Start();
    f.Settle();
    CPPUNIT_ASSERT(f.Good().kind == End::kApplied);
    CPPUNIT_ASSERT_EQUAL(f.store.items.at("k").revision, f.Good().revision);
  }

  void WriteOfAnotherHostIsNoSuccess() {
    Commit f;
    f.store.commit_outcomes = {CommitOutcome::kSilentBefore};
    f.Start();
    f.store.Put("k", "another's");
    f.Settle();
    CPPUNIT_ASSERT(f.Good().kind == End::kConditionFailed);
  }

  void RefusedAndLostCopiesAreDistinguished() {
    Commit refused;
    refused.store.commit_outcomes = {CommitOutcome::kRefused};
    refused.Start();
    CPPUNIT_ASSERT(refused.Bad() == ErrorKind::kStoreUnavailable);
    Commit lost;
    lost.store.commit_outcomes = {CommitOutcome::kLostBefore};
    lost.Start();
    CPPUNIT_ASSERT(lost.Bad() == ErrorKind::kStoreUnknown);
  }

  void ReplacedTransactionIsNotAnswered() {
    Commit f;
    f.store.commit_outcomes = {CommitOutcome::kSilentBefore};
    f.Start();
    int answers = 0;
    f.commit.Start(WriteOf("other", "mine"), [&](const auto&) { ++answers; });
    f.Settle();
    CPPUNIT_ASSERT_EQUAL(1, answers);
    CPPUNIT_ASSERT(!f.answer.has_value());
  }

  // The store loses answers for seconds while the owner fails. No call has
  // timed out yet, which would take 0.6 s.
  void RegistersThoughAnswersAreLost() {
    Host f;
    f.store.lost_lease_calls = 2;
    f.store.commit_outcomes = {CommitOutcome::kSilentBefore,
                               CommitOutcome::kSilentAfter};
    f.members.Start();
    f.Tick(Millis(0), Millis(550));
    CPPUNIT_ASSERT(f.store.items.contains("state/members/host-1"));
    CPPUNIT_ASSERT(f.lease);
  }

  void LostClaimIsSentAgain() {
    Host f;
    f.store.commit_outcomes = {CommitOutcome::kAnswered,
                               CommitOutcome::kSilentBefore,
                               CommitOutcome::kSilentAfter};
    f.members.Start();
    f.Tick(Millis(0), Millis(550));
    CPPUNIT_ASSERT_EQUAL(1, f.gained);
    CPPUNIT_ASSERT_EQUAL(Epoch{1}, f.members.OwnedEpoch("cell/0"));
  }

  void LostRenewalIsSentAgainImmediately() {
    Host f;
    f.members.Start();
    const int before = f.store.lease_calls;
    f.store.lost_lease_calls = 3;
    f.Tick(Millis(300), Millis(650));
    CPPUNIT_ASSERT(f.store.lease_calls - before >= 4);
    CPPUNIT_ASSERT(f.lease);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace buckthornmux::tests
