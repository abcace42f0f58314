// Links to target stand-ins over loopback: starts, ends, fencing, lost answers,
// unresponsive connections, tasks that never end, duplicates and target
// outages.
#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>

#include "buckthornmux/detail/target/target_links.h"
#include "standins/io_thread.h"
#include "standins/json_http.h"
#include "standins/target_server.h"

namespace buckthornmux::target {
namespace {

using standins::IoThread;
using standins::SteadyNow;
using standins::TargetOptions;
using standins::TargetServer;

constexpr Millis kWaitTimeout{10'000};  ///< Limit of each wait in these tests.

TargetLinkOptions FastOptions() {
  TargetLinkOptions options;
  options.call_timeout = Millis(300);
  options.renewal_interval = Millis(300);
  options.task_lease = Millis(3000);
  options.unreachable_after = Millis(600);
  return options;
}

/// Collects events and allows a test to wait for one.
struct Collector {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<sched::Event> events;

  void Add(sched::Event event) {
    const std::lock_guard lock(mutex);
    events.push_back(std::move(event));
    changed.notify_all();
  }

  /// Waits for the first event of a type that satisfies a condition. Removes it
  /// and all earlier events.
  template <class T, class Condition>
  T Await(Condition condition) {
    std::unique_lock lock(mutex);
    std::optional<T> found;
    const bool received = changed.wait_for(lock, kWaitTimeout, [&] {
      for (auto it = events.begin(); it != events.end(); ++it) {
        const auto* item = std::get_if<T>(&*it);
        if (item != nullptr && condition(*item)) {
          found = *item;
          events.erase(events.begin(), std::next(it));
          return true;
        }
      }
      return false;
    });
    std::string kinds;
    for (const auto& event : events) {
      kinds += std::to_string(event.index()) + " ";
    }
    CPPUNIT_ASSERT_MESSAGE(
        "the event was not received; received events: " + kinds, received);
    return *found;
  }

  template <class T>
  T Await() {
    return Await<T>([](const T&) { return true; });
  }
};

struct Fixture {
  IoThread server_io;
  IoThread client_io;
  TargetServer server;
  Collector seen;
  net::HttpClient client;
  TargetLinks links;

  explicit Fixture(const TargetOptions& options = {})
      : server(server_io.io, options),
        client(client_io.io, {}),
        links(client_io.io, client, FastOptions(),
              [this](const ShardId&, sched::Event event) {
                seen.Add(std::move(event));
              }) {
    SetOwner(1);
    seen.Await<sched::TargetReport>();
  }

  void SetOwner(Epoch epoch) {
    TargetSpec spec;
    spec.id = "t1";
    spec.address = server.Address();
    links.SetShard("s", epoch, {{spec}});
  }

  void SetFaults(const std::string& body) {
    net::HttpClient control(client_io.io, {});
    const auto outcome = control.CallAndWait(
        server.Address(), {"POST", "/standin/faults", body}, kWaitTimeout);
    CPPUNIT_ASSERT(std::holds_alternative<net::HttpResponse>(outcome));
  }

  void Start(const std::string& job, const std::string& payload,
             Epoch epoch = 1, Millis in = Millis(2000)) {
    sched::Start start{"t1", {}, {}, epoch, SteadyNow() + in};
    start.task.team = "a";
    start.task.job = job;
    start.task.demand.slots = 1;
    start.task.payload = payload;
    links.Send("s", start);
  }
};

class TargetLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLinksTest);
  CPPUNIT_TEST(TaskRunsAndEndIsReported);
  CPPUNIT_TEST(LateStartIsNotSent);
  CPPUNIT_TEST(FencedOwnerIsRefused);
  CPPUNIT_TEST(LostAnswerMayRunAndIsReported);
  CPPUNIT_TEST(DuplicateStartRunsOnce);
  CPPUNIT_TEST(TaskThatNeverEndsIsStopped);
  CPPUNIT_TEST(UnresponsiveConnectionsAreNotADeadTarget);
  CPPUNIT_TEST(HangingTargetIsUnreachableThenRecovers);
  CPPUNIT_TEST(FullTargetRefuses);
  CPPUNIT_TEST(DroppedShardSendsNoEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TaskRunsAndEndIsReported() {
    Fixture f;
    f.Start("j", R"({"run_ms":20,"echo":"x"})");
    CPPUNIT_ASSERT(f.seen.Await<sched::StartAnswered>().accepted);
    const auto end = f.seen.Await<sched::TaskEnded>();
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"echo":"x","target":"t1"})"),
                         end.result);
    f.Start("k", "plain");
    CPPUNIT_ASSERT(f.seen.Await<sched::TaskEnded>().result.find("plain") !=
                   std::string::npos);
  }

  void LateStartIsNotSent() {
    Fixture f;
    f.Start("j", "x", 1, Millis(-1));
    const auto answer = f.seen.Await<sched::StartAnswered>();
    CPPUNIT_ASSERT(!answer.accepted && !answer.may_run);
  }

  void FencedOwnerIsRefused() {
    Fixture f;
    Fixture* former = &f;
    Collector seen;
    TargetLinks successor(f.client_io.io, f.client, FastOptions(),
                          [&seen](const ShardId&, sched::Event event) {
                            seen.Add(std::move(event));
                          });
    former->Start("old", R"({"run_ms":-1})");
    f.seen.Await<sched::StartAnswered>();
    TargetSpec spec;
    spec.id = "t1";
    spec.address = f.server.Address();
    successor.SetShard("s", 2, {{spec}});
    const auto report = seen.Await<sched::TargetReport>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.tasks.size());
    former->Start("late", "x");
    const auto answer = f.seen.Await<sched::StartAnswered>();
    CPPUNIT_ASSERT(!answer.accepted && !answer.may_run);
    CPPUNIT_ASSERT(answer.error == ErrorKind::kOwnerStale);
  }

  void LostAnswerMayRunAndIsReported() {
    Fixture f;
    f.SetFaults(R"({"drop_answer_every":1})");
    f.Start("j", R"({"run_ms":-1})");
    const auto answer = f.seen.Await<sched::StartAnswered>();
    CPPUNIT_ASSERT(!answer.accepted && answer.may_run);
    f.SetFaults(R"({"drop_answer_every":0})");
    f.Start("k", R"({"run_ms":-1})");
    f.seen.Await<sched::TargetReport>([](const sched::TargetReport& report) {
      return report.tasks.size() == 2;
    });
  }

  void DuplicateStartRunsOnce() {
    Fixture f;
    f.Start("j", R"({"run_ms":1,"echo":"once"})");
    f.seen.Await<sched::TaskEnded>();
    f.Start("j", R"({"run_ms":1,"echo":"twice"})");
    CPPUNIT_ASSERT(f.seen.Await<sched::StartAnswered>().accepted);
    f.Start("after", "x");
    const auto end = f.seen.Await<sched::TaskEnded>();
    CPPUNIT_ASSERT_EQUAL(std::string("a/after/0"), end.task_id);
  }

  void TaskThatNeverEndsIsStopped() {
    Fixture f;
    f.SetFaults(R"({"black_hole":true})");
    f.Start("j", R"({"run_ms":1})");
    f.seen.Await<sched::StartAnswered>();
    f.links.Send("s", sched::Stop{"t1", "a/j/0", 1, true});
    CPPUNIT_ASSERT(f.seen.Await<sched::TaskEnded>().end == TaskEnd::kCancelled);
    f.Start(
        "j",
        R"({"run_ms":1})");  // Arrives after the stop, so it isn't run again.
    CPPUNIT_ASSERT(f.seen.Await<sched::StartAnswered>().accepted);
  }

  void UnresponsiveConnectionsAreNotADeadTarget() {
    Fixture f;
    f.Start("j", "x");
    f.seen.Await<sched::TaskEnded>();
    f.SetFaults(R"({"silent_connections":true})");
    // Regardless of the first start, a later one must be accepted.
    bool accepted = false;
    for (int i = 0; i < 3 && !accepted; ++i) {
      f.Start("k" + std::to_string(i), "x");
      accepted = f.seen.Await<sched::StartAnswered>().accepted;
    }
    CPPUNIT_ASSERT(accepted);
    f.seen.Await<sched::TaskEnded>();
    const std::lock_guard lock(f.seen.mutex);
    for (const auto& event : f.seen.events) {
      CPPUNIT_ASSERT(!std::holds_alternative<sched::TargetHealth>(event));
    }
  }

  void HangingTargetIsUnreachableThenRecovers() {
    Fixture f;
    f.SetFaults(R"({"hang":true})");
    CPPUNIT_ASSERT(!f.seen.Await<sched::TargetHealth>().reachable);
    f.Start("j", "x");
    CPPUNIT_ASSERT(f.seen.Await<sched::StartAnswered>().may_run);
    f.SetFaults(R"({"hang":false})");
    CPPUNIT_ASSERT(f.seen.Await<sched::TargetHealth>().reachable);
    f.seen.Await<sched::TargetReport>();
  }

  void FullTargetRefuses() {
    TargetOptions options;
    options.capacity.slots = 1;
    Fixture f(options);
    f.Start("j", R"({"run_ms":-1})");
    CPPUNIT_ASSERT(f.seen.Await<sched::StartAnswered>().accepted);
    f.Start("k", "x");
    const auto refused = f.seen.Await<sched::StartAnswered>();
    CPPUNIT_ASSERT(!refused.accepted && !refused.may_run);
  }

  void DroppedShardSendsNoEvents() {
    Fixture f;
    f.links.DropShard("s");
    f.Start("j", "x");
    f.SetOwner(2);
    f.seen.Await<sched::TargetReport>();
    f.Start("k", "x", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("a/k/0"),
                         f.seen.Await<sched::StartAnswered>().task_id);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLinksTest);

}  // namespace
}  // namespace buckthornmux::target
