// Callers' HTTP: one answer each, refused at once where nothing can be done,
// and handed to the next owner where one is expected.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "buckthornmux/detail/entry/callers.h"
#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/net/http_client.h"
#include "mock_async_store.h"
#include "platform/jobs.h"
#include "platform/rules.h"

namespace buckthornmux::tests {
namespace {

using entry::CallEnd;
using entry::ForwardResult;

constexpr std::string_view kRules =
    R"({"version":1,"routes":[{"name":"q","hostname":"h","prefix":"/p/",
    "service":"s"},{"name":"open","hostname":"h","prefix":"/o/","service":"s",
    "public":true}],"limits":{"max_body_bytes":2000},
    "tenants":[{"name":"red","api_keys":["k1"]}]})";
constexpr std::string_view kJob = "/p/0123456789abcdef";

/// Callers with an owner that the test plays.
struct Fixture {
  boost::asio::io_context io;
  MockAsyncStore store;
  store::AsyncStore calls = store.Calls();
  entry::RulesReader rules{calls, "rules", platform::ParseRules, [] {}};
  runtime::Metrics metrics;
  ForwardResult handed = ForwardResult::kSent;
  bool owner_expected = true;
  bool serves_others = false;
  std::vector<entry::CellCall> taken;
  entry::Callers callers{
      io,
      "127.0.0.1:0",
      {"X-Key", "X-Deadline-Ms", platform::ParseJob, platform::IsJobId,
       platform::FormatPhase, platform::FormatPending},
      rules,
      Millis(5000),
      metrics,
      {[this](const entry::CellCall& call, HostId& to) {
         to = "owner";
         if (handed == ForwardResult::kSent) {
           taken.push_back(call);
         }
         return handed;
       },
       [this] { return owner_expected; }, [this] { return serves_others; }}};
  net::HttpClient client{io, {}};

  Fixture() {
    store.Put("rules", std::string(kRules));
    rules.Tick(entry::Now());
  }

  /// Sends a call; `while_waiting` runs once it has arrived.
  net::HttpResponse Send(const std::string& method, std::string_view path,
                         const std::string& key, const std::string& body,
                         const std::function<void()>& while_waiting = {},
                         int deadline_ms = 3000) {
    net::HttpRequest request;
    request.method = method;
    request.target = std::string(path);
    request.body = body;
    request.headers = {{"Host", "h"},
                       {"X-Key", key},
                       {"X-Deadline-Ms", std::to_string(deadline_ms)}};
    std::optional<Outcome<net::HttpResponse>> answer;
    client.Call("127.0.0.1:" + std::to_string(callers.Port()), request,
                Millis(2000),
                [&answer](auto outcome) { answer = std::move(outcome); });
    for (int i = 0; i < 200 && !answer; ++i) {
      io.restart();
      io.run_for(std::chrono::milliseconds(5));
      if (while_waiting && callers.Open() > 0) {
        while_waiting();
      }
    }
    CPPUNIT_ASSERT(answer.has_value());
    const auto* response = std::get_if<net::HttpResponse>(&*answer);
    CPPUNIT_ASSERT(response != nullptr);
    return *response;
  }

  /// The owner that was called last says no.
  void Decline(CallEnd end, ErrorKind error) {
    entry::CellReply reply;
    reply.call = taken.back().call;
    reply.attempt = taken.back().attempt;
    reply.end = end;
    reply.error = error;
    callers.Reply(reply);
  }

  void Accept() {
    if (!taken.empty()) {
      entry::CellReply reply;
      reply.call = taken.back().call;
      reply.attempt = taken.back().attempt;
      reply.end = CallEnd::kAccepted;
      callers.Reply(reply);
    }
  }
};

class EntryCallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryCallersTest);
  CPPUNIT_TEST(AcceptedJobIsAnswered);
  CPPUNIT_TEST(BadCallsAreRefusedAtOnce);
  CPPUNIT_TEST(UnconfirmedRulesTrustNoKey);
  CPPUNIT_TEST(NoOwnerExpectedIsRefusedAtOnce);
  CPPUNIT_TEST(CallWaitsForTheNextOwner);
  CPPUNIT_TEST(LostCallIsHandedToTheNextOwner);
  CPPUNIT_TEST(SilentOwnerIsNotCalledNotRun);
  CPPUNIT_TEST(OwnerWithoutTheStoreIsWaitedOut);
  CPPUNIT_TEST(StoreAwayForAllIsRefusedAtOnce);
  CPPUNIT_TEST(CallThatAnOwnerLetGoOfIsNotCalledNotRun);
  CPPUNIT_TEST(CallersMoveToHostsThatTheStoreServes);
  CPPUNIT_TEST(LateNoOfAFormerOwnerIsNotTheAnswer);
  CPPUNIT_TEST(LastTryWithLittleTimeGetsItsAnswer);
  CPPUNIT_TEST(CallWithoutTimeIsRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptedJobIsAnswered() {
    Fixture f;
    const auto answer = f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})",
                               [&f] { f.Accept(); });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("red"), f.taken.at(0).team);
    CPPUNIT_ASSERT_EQUAL(std::string("q"), f.taken.at(0).spec.queue);
  }

  void BadCallsAreRefusedAtOnce() {
    Fixture f;
    CPPUNIT_ASSERT_EQUAL(401, f.Send("GET", kJob, "k2", "").status);
    CPPUNIT_ASSERT_EQUAL(404, f.Send("GET", "/x/1", "k1", "").status);
    CPPUNIT_ASSERT_EQUAL(404, f.Send("GET", "/p/short", "k1", "").status);
    CPPUNIT_ASSERT_EQUAL(400, f.Send("POST", kJob, "k1", "{").status);
    CPPUNIT_ASSERT_EQUAL(
        413, f.Send("POST", kJob, "k1", std::string(2001, ' ')).status);
    CPPUNIT_ASSERT(f.taken.empty());
  }

  void UnconfirmedRulesTrustNoKey() {
    Fixture f;
    CPPUNIT_ASSERT(f.callers.RulesTrusted(entry::Now()));
    CPPUNIT_ASSERT(!f.callers.RulesTrusted(entry::Now() + Millis(3600)));
  }

  void NoOwnerExpectedIsRefusedAtOnce() {
    Fixture f;
    f.handed = ForwardResult::kNoOwner;
    f.owner_expected = false;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})");
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.retry_after > Millis(0));
  }

  void CallWaitsForTheNextOwner() {
    Fixture f;
    f.handed = ForwardResult::kNoOwner;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          f.handed = ForwardResult::kSent;
          f.callers.Tick(entry::Now());
          f.Accept();
        });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
  }

  void LostCallIsHandedToTheNextOwner() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          if (f.taken.size() == 1) {
            f.callers.HostLost("owner");
            f.callers.Tick(entry::Now());
          } else {
            f.Accept();
          }
        });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.taken.size());
  }

  void SilentOwnerIsNotCalledNotRun() {
    Fixture f;
    const auto late = [&f] { f.callers.Tick(entry::Now() + Millis(5000)); };
    const auto submit =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", late);
    CPPUNIT_ASSERT_EQUAL(504, submit.status);
    CPPUNIT_ASSERT(submit.body.find("unknown") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(503, f.Send("GET", kJob, "k1", "", late).status);
  }

  // Its owner can't store, but somebody else can: the next owner takes it.
  void OwnerWithoutTheStoreIsWaitedOut() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          if (f.taken.size() == 1) {
            f.Decline(CallEnd::kRefused, ErrorKind::kStoreUnavailable);
            f.callers.Tick(entry::Now() + Millis(200));
          } else {
            f.Accept();
          }
        });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.taken.size());
  }

  void StoreAwayForAllIsRefusedAtOnce() {
    Fixture f;
    f.owner_expected = false;
    const auto answer = f.Send(
        "POST", kJob, "k1", R"({"steps":[{"count":1}]})",
        [&f] { f.Decline(CallEnd::kRefused, ErrorKind::kStoreUnavailable); });
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.body.find(R"("ran":"no")") != std::string::npos);
    CPPUNIT_ASSERT(answer.retry_after > Millis(0));
  }

  // A write may have left before the owner lost the cell.
  void CallThatAnOwnerLetGoOfIsNotCalledNotRun() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          f.Decline(CallEnd::kUnknown, ErrorKind::kOwnerStale);
          f.handed = ForwardResult::kNoOwner;
          f.callers.Tick(entry::Now() + Millis(1600));
        });
    CPPUNIT_ASSERT_EQUAL(504, answer.status);
    CPPUNIT_ASSERT(answer.body.find("unknown") != std::string::npos);
  }

  // The link to the first owner was reset; its answer comes on the other one
  // when the next owner has taken the job.
  void LateNoOfAFormerOwnerIsNotTheAnswer() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          f.callers.HostLost("owner");
          f.callers.Tick(entry::Now());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.taken.size());
          for (const ErrorKind error :
               {ErrorKind::kTeamLimit, ErrorKind::kNotReady}) {
            entry::CellReply late;
            late.call = f.taken[0].call;
            late.attempt = f.taken[0].attempt;
            late.end = CallEnd::kRefused;
            late.error = error;
            f.callers.Reply(late);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.callers.Open());
          }
          f.Accept();
        });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
  }

  void CallersMoveToHostsThatTheStoreServes() {
    Fixture f;
    f.serves_others = true;
    const auto answer = f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})",
                               [&f] { f.Accept(); });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT(answer.close);
  }

  // Load pattern: a hot team's callers come back until their time is over. Jobs
  // that the owner took within 10 ms were answered 504 after 5 ms.
  void LastTryWithLittleTimeGetsItsAnswer() {
    Fixture f;
    int waited = 0;
    const auto answer = f.Send(
        "POST", kJob, "k1", R"({"steps":[{"count":1}]})",
        [&] {
          f.callers.Tick(entry::Now());
          if (++waited == 6) {
            f.Accept();
          }
        },
        120);
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
  }

  void CallWithoutTimeIsRefusedAtOnce() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", {}, 10);
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(f.taken.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCallersTest);

}  // namespace
}  // namespace buckthornmux::tests
