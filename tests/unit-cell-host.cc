// Tests how CellHost replies while another host may own the cell.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "buckthornmux/detail/entry/cell_host.h"
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

/// A host that owns a cell with one stored job.
struct Fixture {
  boost::asio::io_context io;
  MockAsyncStore store;
  store::AsyncStore calls = store.Calls();
  net::HttpClient client{io, {}};
  runtime::Metrics metrics;
  std::vector<entry::CellReply> replies;
  entry::CellHost host{
      io,
      {},
      calls,
      client,
      metrics,
      NoTargets(),
      {[this](const HostId&, const auto& reply) { replies.push_back(reply); },
       [](const HostId&, const auto&) {}, [] {}, [] {}}};

  Fixture() {
    cell::Rules rules;
    rules.version = 1;
    rules.queues = {PlainQueue("plain")};
    host.SetRules(std::make_shared<const cell::Rules>(rules));
    host.SetLeaseHeld(true);
    host.Open({.range = "cell/0", .owner = "a", .epoch = 1}, Millis(0));
    Call(CallKind::kSubmit, "j1");
    Run();
  }

  void Run() {
    for (int i = 0; i < 20; ++i) {
      io.restart();
      io.run_for(std::chrono::milliseconds(3));
    }
  }

  entry::CellReply Call(CallKind kind, const std::string& job) {
    entry::CellCall call;
    call.kind = kind;
    call.queue = "plain";
    call.team = "team-0";
    call.job = job;
    call.spec = PlainJob(job);
    replies.clear();
    host.HandleCall("b", call);
    Run();
    return replies.empty() ? entry::CellReply() : replies.back();
  }
};

class CellHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CellHostTest);
  CPPUNIT_TEST(StoredJobIsFound);
  CPPUNIT_TEST(HostWithoutRegistrationAnswersNoQuery);
  CPPUNIT_TEST(HostWithoutRegistrationAcceptsNothing);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellHostTest);

}  // namespace
}  // namespace buckthornmux::tests
