// JSON encoding of the target protocol, and events of a link from renewals.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "buckthornmux/detail/sched/policy.h"
#include "buckthornmux/detail/target/link_state.h"
#include "buckthornmux/detail/target/target_codec.h"

namespace buckthornmux::target {
namespace {

constexpr Millis kUnreachableAfter{3000};
const Time kStart{Millis(1'000'000)};

/// Arbitrary ASCII text, including control characters and quotes.
std::string ArbitraryText() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
}

TaskSpec ArbitraryTask() {
  TaskSpec task;
  task.job = ArbitraryText();
  task.index = *rc::gen::arbitrary<std::uint32_t>();
  task.attempt = *rc::gen::arbitrary<std::uint32_t>();
  task.team = ArbitraryText();
  task.work_class = *rc::gen::element(WorkClass::kUrgent, WorkClass::kPatient,
                                      WorkClass::kService);
  task.idempotent = *rc::gen::arbitrary<bool>();
  task.demand.cpu_milli = *rc::gen::arbitrary<std::int64_t>();
  task.deadline = *rc::gen::arbitrary<WallMillis>();
  task.labels = {"gpu", ArbitraryText()};
  task.payload = ArbitraryText();
  return task;
}

sched::ReportedTask Running(const std::string& job, std::uint32_t attempt) {
  sched::ReportedTask task;
  task.spec.team = "a";
  task.spec.job = job;
  task.spec.attempt = attempt;
  task.id = task.spec.Id();
  task.attempt = attempt;
  task.running = true;
  return task;
}

sched::ReportedTask EndedTask(const std::string& job, std::uint32_t attempt) {
  sched::ReportedTask task = Running(job, attempt);
  task.running = false;
  task.result = "r";
  return task;
}

template <class T>
std::vector<T> EventsOf(const std::vector<sched::Event>& events) {
  std::vector<T> found;
  for (const auto& event : events) {
    if (const auto* item = std::get_if<T>(&event)) {
      found.push_back(*item);
    }
  }
  return found;
}

class TargetCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetCodecTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(MalformedInputIsReported);
  CPPUNIT_TEST(FirstAnswerIsAReport);
  CPPUNIT_TEST(EachEndIsReportedOnce);
  CPPUNIT_TEST(SilenceIsReportedOnceAndRecoveryAsksForAll);
  CPPUNIT_TEST(UncertainStartIsResolvedOnlyByALaterRenewal);
  CPPUNIT_TEST(FullAnswerRemovesUnlistedTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTrips() {
    CPPUNIT_ASSERT(rc::check("start and report keep every member", [] {
      const StartRequest start{
          "s1", 7, 1234, Millis(10'000), ArbitraryTask(), {3, 9, 4}};
      const auto parsed = ParseStart(FormatStart(start));
      RC_ASSERT(!!parsed);
      RC_ASSERT(FormatStart(parsed.value()) == FormatStart(start));
      RC_ASSERT(parsed.value().task.payload == start.task.payload);
      RC_ASSERT(parsed.value().task.demand == start.task.demand);
      RC_ASSERT(parsed.value().home.inquiry == start.home.inquiry);
      RenewAnswer answer{
          "i", 5, true, false, {1, 2, 3, 4}, {EndedTask("j", 2)}};
      answer.tasks.front().spec = start.task;
      const auto renewed = ParseRenewAnswer(FormatRenewAnswer(answer));
      RC_ASSERT(!!renewed);
      RC_ASSERT(FormatRenewAnswer(renewed.value()) ==
                FormatRenewAnswer(answer));
    }));
  }

  void MalformedInputIsReported() {
    for (const char* body : {"", "[]", "{}", R"({"shard":1})",
                             R"({"instance":"","sequence":-1})"}) {
      const auto outcome = Capture([&] { return ParseRenewAnswer(body); });
      CPPUNIT_ASSERT(std::get<Error>(outcome).kind == ErrorKind::kMalformed);
    }
    CPPUNIT_ASSERT(ParseRefusal("nonsense") == Refusal::kMalformed);
    CPPUNIT_ASSERT(ParseRefusal(R"({"error":"too_late"})") ==
                   Refusal::kTooLate);
  }

  void FirstAnswerIsAReport() {
    LinkState state{"t", kStart};
    const auto events =
        OnRenewed(state, {"i", 1, true, false, {}, {}}, kStart, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         EventsOf<sched::TargetReport>(events).size());
    CPPUNIT_ASSERT(
        OnRenewed(state, {"i", 1, false, false, {}, {}}, kStart, kStart)
            .empty());
  }

  void EachEndIsReportedOnce() {
    LinkState state{"t", kStart};
    (void)OnRenewed(state, {"i", 1, true, false, {}, {Running("j", 1)}}, kStart,
                    kStart);
    const auto events = OnRenewed(
        state,
        {"i", 4, false, false, {}, {EndedTask("j", 1), EndedTask("k", 2)}},
        kStart, kStart);
    const auto ends = EventsOf<sched::TaskEnded>(events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ends.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a/j/0"), ends.front().task_id);
    CPPUNIT_ASSERT(EventsOf<sched::TargetReport>(events).front().tasks.empty());
  }

  void SilenceIsReportedOnceAndRecoveryAsksForAll() {
    LinkState state{"t", kStart};
    (void)OnRenewed(state, {"i", 5, true, false, {}, {Running("j", 1)}}, kStart,
                    kStart);
    CPPUNIT_ASSERT(
        OnRenewFailed(state, kUnreachableAfter, kStart + Millis(2999)).empty());
    const auto lost =
        OnRenewFailed(state, kUnreachableAfter, kStart + kUnreachableAfter);
    CPPUNIT_ASSERT(!EventsOf<sched::TargetHealth>(lost).front().reachable);
    CPPUNIT_ASSERT(
        OnRenewFailed(state, kUnreachableAfter, kStart + Millis(9999)).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.after);
    const auto back = OnRenewed(
        state, {"i", 9, true, false, {}, {EndedTask("j", 1)}}, kStart, kStart);
    CPPUNIT_ASSERT(EventsOf<sched::TargetHealth>(back).front().reachable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         EventsOf<sched::TaskEnded>(back).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         EventsOf<sched::TargetReport>(back).size());
  }

  /// A start whose answer was lost may still take effect until start_by, so a
  /// renewal sent before that is not conclusive.
  void UncertainStartIsResolvedOnlyByALaterRenewal() {
    LinkState state{"t", kStart};
    const RenewAnswer same{"i", 1, false, false, {}, {}};
    (void)OnRenewed(state, {"i", 1, true, false, {}, {}}, kStart, kStart);
    OnStartUncertain(state, kStart + Millis(500));
    CPPUNIT_ASSERT(
        OnRenewed(state, same, kStart + Millis(400), kStart + Millis(2400))
            .empty());
    // Only a report that arrives more than Policy::report_delay after start_by
    // is conclusive for the shard's owner.
    const Time conclusive_at =
        kStart + Millis(500) + sched::Policy{}.report_delay;
    CPPUNIT_ASSERT(
        OnRenewed(state, same, conclusive_at, conclusive_at).empty());
    const Time later = conclusive_at + Millis(1);
    const auto settled = OnRenewed(state, same, later, later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         EventsOf<sched::TargetReport>(settled).size());
  }

  void FullAnswerRemovesUnlistedTasks() {
    LinkState state{"t", kStart};
    (void)OnRenewed(state, {"i", 5, true, false, {}, {Running("j", 1)}}, kStart,
                    kStart);
    const auto events =
        OnRenewed(state, {"other", 1, true, false, {}, {}}, kStart, kStart);
    CPPUNIT_ASSERT(state.running.empty());
    CPPUNIT_ASSERT(EventsOf<sched::TargetReport>(events).front().tasks.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetCodecTest);

}  // namespace
}  // namespace buckthornmux::target
