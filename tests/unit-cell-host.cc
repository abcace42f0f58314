// Tests how CellHost replies while another host may own the cell.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>

#include "buckthornmux/detail/entry/cell_host.h"
#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/runtime/log_line.h"
#include "mock_async_store.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

using entry::CallKind;
using entry::CallResult;

/// Placeholder target calls; the cell has no targets.
entry::TargetCalls NoTargets() {
  return {[](const auto&, Epoch) { return net::HttpRequest(); },
          [](const auto&, Epoch) { return net::HttpRequest(); },
          [](const auto&, const auto&, Epoch, Millis) {
            return net::HttpRequest();
          },
          [](const auto&) { return cell::OrderOutcome::kUnknown; },
          [](std::string_view) -> Result<cell::TargetReport> {
            return cell::TargetReport();
          }};
}

entry::HostSettings SettingsWith(Millis evacuate_within) {
  entry::HostSettings settings;
  settings.bounds.evacuate_within = evacuate_within;
  return settings;
}

/// A host that owns a cell with one stored job.
struct Fixture {
  entry::TargetCalls target_calls = NoTargets();
  entry::HostSettings settings;
  boost::asio::io_context io;
  MockAsyncStore store;
  store::AsyncStore calls = store.Calls();
  net::HttpClient client{io, {.clock = entry::Now}};
  runtime::Metrics metrics;
  std::vector<entry::CellReply> replies;
  entry::CellHost host{
      io,
      settings,
      calls,
      client,
      metrics,
      target_calls,
      {[this](const HostId&, const auto& reply) { replies.push_back(reply); },
       [](const HostId&, const auto&) {}, [] {}, [] {}}};

  explicit Fixture(std::optional<entry::TargetCalls> used = std::nullopt,
                   std::vector<cell::Team> teams = {},
                   Millis evacuate_within = Millis(0))
      : target_calls(used ? std::move(*used) : NoTargets()),
        settings(SettingsWith(evacuate_within)) {
    cell::Rules rules;
    rules.version = 1;
    rules.queues = {PlainQueue("plain")};
    rules.teams = std::move(teams);
    host.SetRules(std::make_shared<const cell::Rules>(rules));
    host.SetLeaseHeld(true);
    host.Open({.range = "cell/0", .owner = "a", .epoch = 1}, Millis(0));
    Call(CallKind::kSubmit, "j1");
    Run();
  }

  /// Passes a list of targets on that has just been read.
  void List(std::vector<cell::TargetEntry> entries) {
    host.SetTargets({std::move(entries), entry::Now(), 1});
  }

  void Run() {
    for (int i = 0; i < 20; ++i) {
      io.restart();
      io.run_for(std::chrono::milliseconds(3));
    }
  }

  entry::CellReply Call(CallKind kind, const std::string& job,
                        const std::string& team = "team-0", Epoch epoch = 1,
                        std::optional<Time> sent_at = std::nullopt) {
    entry::CellCall call;
    call.kind = kind;
    call.queue = "plain";
    call.team = team;
    call.job = job;
    call.spec = PlainJob(job);
    call.spec.team = team;
    call.epoch = epoch;
    call.sent_at = sent_at.value_or(entry::Now()).time_since_epoch();
    call.patience = Millis(1000);
    replies.clear();
    host.HandleCall("b", call);
    Run();
    return replies.empty() ? entry::CellReply() : replies.back();
  }
};

/// A target's process as its owner's report calls see it.
class TargetProcess {
 public:
  TargetProcess(boost::asio::io_context& io, std::uint16_t port,
                std::int64_t life)
      : m_server(io, {.address = "127.0.0.1:" + std::to_string(port)},
                 [state = m_state, life](const net::HttpRequest& request,
                                         const net::Responder& respond) {
                   if (state->crashed) {
                     respond({.status = 0});  // Closes the connection.
                     return;
                   }
                   state->received.push_back(request.body);
                   respond({.body = std::to_string(life)});
                 }) {}
  ~TargetProcess() { m_state->crashed = true; }
  TargetProcess(const TargetProcess&) = delete;
  TargetProcess& operator=(const TargetProcess&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return m_server.Port(); }

  /// Bodies of the report calls.
  [[nodiscard]] const std::vector<std::string>& Received() const {
    return m_state->received;
  }

 private:
  struct State {
    bool crashed = false;
    std::vector<std::string> received;
  };
  std::shared_ptr<State> m_state = std::make_shared<State>();
  net::HttpServer m_server;
};

/// Target calls with the deadline and the acknowledgement as the body. The
/// answer is the life of the target, which has one end to acknowledge.
entry::TargetCalls ReportsOnly() {
  entry::TargetCalls calls = NoTargets();
  calls.report = [](const auto&, const cell::ReportCall& call, Epoch, Millis) {
    net::HttpRequest request;
    request.body = std::string(call.deadline_ms > 0 ? "renew" : "look") +
                   (call.acked_end > 0 ? " ack" : "");
    return request;
  };
  calls.outcome = [](const Outcome<net::HttpResponse>& answer) {
    return std::holds_alternative<net::HttpResponse>(answer)
               ? cell::OrderOutcome::kDone
               : cell::OrderOutcome::kUnknown;
  };
  calls.parse_report = [](std::string_view body) -> Result<cell::TargetReport> {
    cell::TargetReport report;
    report.life = body == "1" ? 1 : 2;
    report.clock_ms = 5;
    report.ended = {{1, {{"other", 0, 0, 0}, 1}, cell::RunEnd::kDone, {}}};
    return report;
  };
  return calls;
}

/// A cell with one target that reports, which counts its starts.
struct OneTarget {
  int starts = 0;
  Fixture cell;
  TargetProcess process{cell.io, 0, 1};
  cell::TargetEntry entry;

  explicit OneTarget(Millis evacuate_within = Millis(0))
      : cell(CountStarts(starts), {}, evacuate_within) {
    entry.id = "t1";
    entry.service = "service";
    entry.address = "127.0.0.1:" + std::to_string(process.Port());
    entry.data_centre = "a";
    entry.life = 1;
    entry.capacity = {0, 16'000, 32'768, 0};
  }

  static entry::TargetCalls CountStarts(int& starts) {
    entry::TargetCalls calls = ReportsOnly();
    calls.start = [&starts](const cell::SendStart&, Epoch) {
      ++starts;
      return net::HttpRequest();
    };
    return calls;
  }

  /// Returns the number of starts after some ticks.
  int StartsAfterTicks() {
    for (int i = 0; i < 20; ++i) {
      cell.host.Tick(entry::Now());
      cell.Run();
    }
    return starts;
  }

  /// Opens the next term of ownership, and counts its starts alone.
  void NextTerm(Epoch epoch) {
    starts = 0;
    cell.host.Open({.range = "cell/0", .owner = "a", .epoch = epoch},
                   Millis(0));
  }
};

/// A target that restarts without closing the connections of its former
/// process, which no longer answers on them.
class RestartingTarget {
 public:
  explicit RestartingTarget(boost::asio::io_context& io)
      : m_server(io, {.address = "127.0.0.1:0"},
                 [state = m_state](const net::HttpRequest& request,
                                   const net::Responder& respond) {
                   const bool former =
                       request.connection <= state->former_connections;
                   state->connections =
                       std::max(state->connections, request.connection);
                   if (former) {
                     return;
                   }
                   const int life = state->former_connections > 0 ? 2 : 1;
                   state->received.push_back(request.body);
                   if (!state->silent) {
                     respond({.body = std::to_string(life)});
                   }
                 }) {}

  void Restart() {
    m_state->former_connections = m_state->connections;
    m_state->received.clear();
  }
  /// Makes it receive calls and answer none.
  void SetSilent(bool silent) { m_state->silent = silent; }
  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_server.Port());
  }
  /// Bodies of the calls that the current process has received.
  [[nodiscard]] const std::vector<std::string>& Received() const {
    return m_state->received;
  }

 private:
  struct State {
    std::uint64_t connections = 0;
    std::uint64_t former_connections = 0;
    bool silent = false;
    std::vector<std::string> received;
  };
  std::shared_ptr<State> m_state = std::make_shared<State>();
  net::HttpServer m_server;
};

class CellHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellHostTest);
  CPPUNIT_TEST(StoredJobIsFound);
  CPPUNIT_TEST(OtherTeamLearnsNothingOfAJob);
  CPPUNIT_TEST(HostAheadOfTheOwnerGetsNoVerdict);
  CPPUNIT_TEST(HostWithoutRegistrationAnswersNoQuery);
  CPPUNIT_TEST(HostWithoutRegistrationAcceptsNothing);
  CPPUNIT_TEST(HostWithoutRegistrationDeniesNoJobThatItHas);
  CPPUNIT_TEST(HeldUpCallsHaveNoEffect);
  CPPUNIT_TEST(RefusalWhileNotServingOvertakesEarlierCalls);
  CPPUNIT_TEST(NewProcessOfATargetGetsNoAcknowledgementOfTheFormerOne);
  CPPUNIT_TEST(StartReachesOnlyTheProcessItIsMeantFor);
  CPPUNIT_TEST(NothingIsRenewedWithoutALookAtTheRegistration);
  CPPUNIT_TEST(EachTermWaitsForItsOwnListOfEvacuations);
  CPPUNIT_TEST(EachTermStartsByItsOwnListOfTargets);
  CPPUNIT_TEST(ListThatIsReadBeforeTheRecordsIsUsed);
  CPPUNIT_TEST(OwnerWithAnOldListStartsNothingAndSaysSo);
  CPPUNIT_TEST(ReleaseEndsWithItsTerm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StoredJobIsFound() {
    Fixture f;
    CPPUNIT_ASSERT(f.Call(CallKind::kQuery, "j1").end == CallResult::kPhase);
    CPPUNIT_ASSERT(f.Call(CallKind::kQuery, "j2").end ==
                   CallResult::kNoSuchJob);
  }

  // An owner that was disconnected from the store replied "no such job" for
  // jobs that the next owner had accepted (rwk-sched, scale-2).
  // review/4: a query, a cancel and a repeat of one job agree on who may act.
  void OtherTeamLearnsNothingOfAJob() {
    Fixture f({}, {{"team-0"}, {"other"}});
    const auto query = f.Call(CallKind::kQuery, "j1", "other");
    CPPUNIT_ASSERT(query.end == CallResult::kRefused);
    CPPUNIT_ASSERT(query.error == ErrorKind::kNotPermitted);
    const auto cancel = f.Call(CallKind::kCancel, "j1", "other");
    CPPUNIT_ASSERT(cancel.end == CallResult::kRefused);
    CPPUNIT_ASSERT(cancel.error == ErrorKind::kNotPermitted);
    const auto submit = f.Call(CallKind::kSubmit, "j1", "other");
    CPPUNIT_ASSERT(submit.end == CallResult::kRefused);
    CPPUNIT_ASSERT(submit.error == ErrorKind::kDuplicateRequest);
    CPPUNIT_ASSERT(f.Call(CallKind::kQuery, "j2", "other").end ==
                   CallResult::kNoSuchJob);
    CPPUNIT_ASSERT(f.Call(CallKind::kCancel, "j2", "other").end ==
                   CallResult::kNoSuchJob);
    CPPUNIT_ASSERT(f.Call(CallKind::kQuery, "j1").phase ==
                   cell::JobPhase::kQueued);
  }

  // Guards against a refusal that the owner's older configuration can't
  // justify; a repeated submit isn't told that nothing runs.
  void HostAheadOfTheOwnerGetsNoVerdict() {
    Fixture f({}, {{"team-0"}});
    for (const CallKind kind : {CallKind::kQuery, CallKind::kCancel}) {
      const auto reply = f.Call(kind, "j1", "new-team");
      CPPUNIT_ASSERT(reply.end == CallResult::kRefused);
      CPPUNIT_ASSERT(reply.error == ErrorKind::kNotReady);
    }
    const auto submit = f.Call(CallKind::kSubmit, "j1", "new-team");
    CPPUNIT_ASSERT(submit.end == CallResult::kUnknown);
    CPPUNIT_ASSERT(submit.error == ErrorKind::kNotReady);
  }

  // Guards against "not accepted and never runs" from the owner that has the
  // job: its write may be stored while the registration is overdue (review/7).
  void HostWithoutRegistrationDeniesNoJobThatItHas() {
    Fixture f;
    (void)f.Call(CallKind::kSubmit, "j2");
    (void)f.Call(CallKind::kCancel, "j2");
    f.host.SetLeaseHeld(false);
    const auto end = [&f](CallKind kind, const std::string& job) {
      const auto reply = f.Call(kind, job);
      CPPUNIT_ASSERT(reply.error == ErrorKind::kNotReady);
      return reply.end;
    };
    CPPUNIT_ASSERT(end(CallKind::kSubmit, "j1") == CallResult::kUnknown);
    CPPUNIT_ASSERT(end(CallKind::kCancel, "j1") == CallResult::kRefused);
    CPPUNIT_ASSERT(end(CallKind::kCancel, "j2") == CallResult::kUnknown);
    CPPUNIT_ASSERT(end(CallKind::kSubmit, "j3") == CallResult::kRefused);
  }

  // Guards against a held-up call that takes effect after its caller was told
  // that it has none (review/7), also at the same host in its next epoch.
  void HeldUpCallsHaveNoEffect() {
    for (const auto& [epoch, age] :
         {std::pair{Epoch{0}, Millis(0)}, std::pair{Epoch{2}, Millis(0)},
          std::pair{Epoch{1}, Millis(1000)}}) {
      Fixture f;
      for (const CallKind kind : {CallKind::kSubmit, CallKind::kCancel}) {
        const std::string job = kind == CallKind::kSubmit ? "j2" : "j1";
        const auto reply =
            f.Call(kind, job, "team-0", epoch, entry::Now() - age);
        CPPUNIT_ASSERT(reply.end == CallResult::kRefused);
        CPPUNIT_ASSERT(reply.error == ErrorKind::kOwnerStale);
      }
      CPPUNIT_ASSERT(f.Call(CallKind::kQuery, "j2").end ==
                     CallResult::kNoSuchJob);
      CPPUNIT_ASSERT(f.Call(CallKind::kQuery, "j1").phase ==
                     cell::JobPhase::kQueued);
      CPPUNIT_ASSERT(f.metrics.Text().find("calls_stale 2\n") !=
                     std::string::npos);
    }
  }

  // Attempt 2 is refused, then attempt 1 arrives within its time.
  void RefusalWhileNotServingOvertakesEarlierCalls() {
    Fixture f;
    const Time sent_at = entry::Now();
    f.host.SetLeaseHeld(false);
    CPPUNIT_ASSERT(f.Call(CallKind::kSubmit, "j2").end == CallResult::kRefused);
    f.host.SetLeaseHeld(true);
    const auto late = f.Call(CallKind::kSubmit, "j2", "team-0", 1, sent_at);
    CPPUNIT_ASSERT(late.error == ErrorKind::kOwnerStale);
    std::this_thread::sleep_for(Millis(2));  // The clock counts milliseconds.
    CPPUNIT_ASSERT(f.Call(CallKind::kSubmit, "j2").end ==
                   CallResult::kAccepted);
  }

  void HostWithoutRegistrationAnswersNoQuery() {
    Fixture f;
    f.host.SetLeaseHeld(false);
    for (const char* job : {"j1", "j2"}) {
      const entry::CellReply reply = f.Call(CallKind::kQuery, job);
      CPPUNIT_ASSERT(reply.end == CallResult::kRefused);
      CPPUNIT_ASSERT(reply.error == ErrorKind::kNotReady);
    }
  }

  void HostWithoutRegistrationAcceptsNothing() {
    Fixture f;
    f.host.SetLeaseHeld(false);
    const int commits = f.store.commits;
    for (const CallKind kind : {CallKind::kSubmit, CallKind::kCancel}) {
      const entry::CellReply reply = f.Call(kind, "j2");
      CPPUNIT_ASSERT(reply.end == CallResult::kRefused);
      CPPUNIT_ASSERT(reply.error == ErrorKind::kNotReady);
    }
    CPPUNIT_ASSERT_EQUAL(commits, f.store.commits);
  }

  // Guards against a target that forgets ends of its new process, and prolongs
  // its runs by the clock of the former one, before its owner knows of it.
  void NewProcessOfATargetGetsNoAcknowledgementOfTheFormerOne() {
    Fixture f(ReportsOnly());
    auto process = std::make_unique<TargetProcess>(f.io, 0, 1);
    const std::uint16_t port = process->Port();
    cell::TargetEntry entry;
    entry.id = "t1";
    entry.service = "service";
    entry.address = "127.0.0.1:" + std::to_string(port);
    entry.life = 1;
    f.List({entry});
    const auto waits_for = [&](const std::string& body) {
      const auto& received = process->Received();
      for (int i = 0; i < 100 && (received.empty() || received.back() != body);
           ++i) {
        f.host.Tick(entry::Now());
        f.Run();
      }
      return !received.empty() && received.back() == body;
    };
    CPPUNIT_ASSERT(waits_for("renew ack"));
    process.reset();
    f.Run();
    process = std::make_unique<TargetProcess>(f.io, port, 2);
    CPPUNIT_ASSERT(waits_for("renew ack"));
    CPPUNIT_ASSERT_EQUAL(std::string("look"), process->Received().front());
  }

  // Guards against renewals by a host that was suspended: as it wakes, it gets
  // to answers and timers before the tick that finds its registration over.
  void NothingIsRenewedWithoutALookAtTheRegistration() {
    Fixture f(ReportsOnly());
    TargetProcess process(f.io, 0, 1);
    cell::TargetEntry entry;
    entry.id = "t1";
    entry.service = "service";
    entry.address = "127.0.0.1:" + std::to_string(process.Port());
    entry.life = 1;
    f.List({entry});
    const auto& received = process.Received();
    const auto renews = [&] {
      return std::ranges::count_if(received, [](const std::string& body) {
        return body.starts_with("renew");
      });
    };
    for (int i = 0; i < 100 && renews() == 0; ++i) {
      f.host.Tick(entry::Now());
      f.Run();
    }
    CPPUNIT_ASSERT(renews() > 0);
    constexpr Millis kOverdue{1100};
    const Time last_tick = entry::Now();
    while (entry::Now() < last_tick + kOverdue) {
      f.Run();
    }
    const auto before = renews();
    while (entry::Now() < last_tick + 2 * kOverdue) {
      f.Run();
    }
    CPPUNIT_ASSERT_EQUAL(before, renews());
    f.host.Tick(entry::Now());
    f.Run();
    f.Run();
    CPPUNIT_ASSERT(renews() > before);
  }

  // Guards against a start that is executed by a target's next process, whose
  // clock began anew: its lease would last longer than any owner knows.
  void StartReachesOnlyTheProcessItIsMeantFor() {
    entry::TargetCalls calls = ReportsOnly();
    calls.start = [](const cell::SendStart& start, Epoch) {
      net::HttpRequest request;
      request.body = "start " + std::to_string(start.life);
      return request;
    };
    Fixture f(calls);
    RestartingTarget target(f.io);
    cell::TargetEntry entry;
    entry.id = "t1";
    entry.service = "service";
    entry.address = target.Address();
    entry.life = 1;
    entry.capacity = {0, 16'000, 32'768, 0};
    f.List({entry});
    const auto waits_for = [&](const std::string& body) {
      const auto& received = target.Received();
      for (int i = 0; i < 100; ++i) {
        if (std::ranges::find(received, body) != received.end()) {
          return true;
        }
        f.host.Tick(entry::Now());
        f.Run();
      }
      return false;
    };
    CPPUNIT_ASSERT(waits_for("start 1"));
    target.SetSilent(true);
    target.Restart();
    for (int i = 0; i < 10; ++i) {
      f.host.Tick(entry::Now());
      f.Run();
    }
    target.SetSilent(false);
    entry.life = 2;
    f.List({entry});
    CPPUNIT_ASSERT(waits_for("start 2"));
    const auto& received = target.Received();
    CPPUNIT_ASSERT(std::ranges::find(received, "start 1") == received.end());
  }

  // Guards against a new term of ownership that starts tasks by the list of an
  // earlier one, or before it has any.
  void EachTermWaitsForItsOwnListOfEvacuations() {
    OneTarget f(Millis(5000));
    f.cell.List({f.entry});
    CPPUNIT_ASSERT_EQUAL(0, f.StartsAfterTicks());
    f.cell.host.SetEvacuated(std::vector<DataCentre>{"a"});
    CPPUNIT_ASSERT_EQUAL(0, f.StartsAfterTicks());
    CPPUNIT_ASSERT(f.cell.metrics.Text().find("targets_evacuated 1\n") !=
                   std::string::npos);
    f.cell.host.SetEvacuated({});
    f.NextTerm(2);
    f.cell.List({f.entry});
    CPPUNIT_ASSERT_EQUAL(0, f.StartsAfterTicks());
    f.cell.host.SetEvacuated({});
    CPPUNIT_ASSERT(f.StartsAfterTicks() > 0);
  }

  // Guards against a host that owns the cell again and starts tasks by the list
  // of its former term, on targets that have left or drain (review/12).
  void EachTermStartsByItsOwnListOfTargets() {
    OneTarget f;
    f.cell.List({f.entry});
    CPPUNIT_ASSERT(f.StartsAfterTicks() > 0);
    f.NextTerm(2);
    CPPUNIT_ASSERT_EQUAL(0, f.StartsAfterTicks());
    f.cell.host.Close("owned by another host");
    f.cell.List({f.entry});  // Of a reading that ends between two terms.
    f.NextTerm(3);
    CPPUNIT_ASSERT_EQUAL(0, f.StartsAfterTicks());
    f.cell.List({f.entry});
    CPPUNIT_ASSERT(f.StartsAfterTicks() > 0);
  }

  // Guards against an owner that loses sight of the list, and starts tasks on
  // targets that may have been draining for longer than its settings allow.
  void OwnerWithAnOldListStartsNothingAndSaysSo() {
    std::string log;
    runtime::SetLogSink([&log](std::string_view line) { log += line; });
    OneTarget f;
    const Millis age = f.cell.settings.bounds.drain_within;
    f.cell.host.SetTargets({{f.entry}, entry::Now() - age, 1});
    CPPUNIT_ASSERT_EQUAL(0, f.StartsAfterTicks());
    runtime::SetLogSink({});
    CPPUNIT_ASSERT(log.find("event=targets_awaited") != std::string::npos);
    CPPUNIT_ASSERT(log.find("list_wait_ms=") != std::string::npos);
    f.cell.List({f.entry});
    CPPUNIT_ASSERT(f.StartsAfterTicks() > 0);
  }

  // Guards against a host that gives the cell up as soon as it owns it again,
  // since the release of a former term seems to have timed out.
  void ReleaseEndsWithItsTerm() {
    Fixture f;
    int releases = 0;
    const auto release = [&] { f.host.Release([&releases] { ++releases; }); };
    f.store.commit_outcomes.push_back(CommitOutcome::kSilentBefore);
    (void)f.Call(CallKind::kSubmit, "j2");
    release();
    CPPUNIT_ASSERT(f.host.ReleasingSince().has_value());
    f.host.Close("owned by another host");
    CPPUNIT_ASSERT(!f.host.ReleasingSince().has_value());
    f.host.Open({.range = "cell/0", .owner = "a", .epoch = 2}, Millis(0));
    f.Run();
    CPPUNIT_ASSERT(!f.host.ReleasingSince().has_value());
    CPPUNIT_ASSERT_EQUAL(0, releases);
    release();
    f.Run();
    CPPUNIT_ASSERT_EQUAL(1, releases);
    CPPUNIT_ASSERT(!f.host.ReleasingSince().has_value());
  }

  // Guards against a takeover that reads the list a second time.
  void ListThatIsReadBeforeTheRecordsIsUsed() {
    OneTarget f;
    f.cell.store.hold_lists = true;
    f.NextTerm(2);
    f.cell.List({f.entry});
    CPPUNIT_ASSERT_EQUAL(0, f.StartsAfterTicks());
    f.cell.store.AnswerLists();
    CPPUNIT_ASSERT(f.StartsAfterTicks() > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellHostTest);

}  // namespace
}  // namespace buckthornmux::tests
