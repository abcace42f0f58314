// Tests the HTTP front end for callers: each request gets one response,
// requests that can't succeed are refused immediately, and others wait for the
// next owner.
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

using entry::CallResult;
using entry::ForwardResult;

constexpr std::string_view kRules =
    R"({"version":1,"routes":[{"name":"q","hostname":"h","prefix":"/p/",
    "service":"s"},{"name":"open","hostname":"h","prefix":"/o/","service":"s",
    "public":true}],"limits":{"max_body_bytes":2000},
    "tenants":[{"name":"red","api_keys":["k1"]}]})";
constexpr std::string_view kJob = "/p/0123456789abcdef";
constexpr std::string_view kSteps = R"({"steps":[{"count":1}]})";

/// Callers with an owner that the test simulates.
struct Fixture {
  boost::asio::io_context io;
  MockAsyncStore store;
  store::AsyncStore calls = store.Calls();
  entry::RulesReader rules{calls, "rules", platform::ParseRules, [] {}};
  runtime::Metrics metrics;
  ForwardResult forward_result = ForwardResult::kSent;
  Epoch epoch = 1;  ///< Of the owner that calls are forwarded to.
  bool owner_expected = true;
  bool serves_others = false;
  std::vector<entry::CellCall> forwarded;
  std::vector<entry::JobInDoubt> doubts;  ///< That other hosts were told of.
  entry::Callers callers{
      io,
      "127.0.0.1:0",
      {"X-Key", "X-Deadline-Ms", platform::ParseJob, platform::IsJobId,
       platform::FormatPhase, platform::FormatPending},
      rules,
      Millis(5000),
      metrics,
      {[this](entry::CellCall& call, HostId& to) {
         to = "owner";
         call.epoch = epoch;
         if (forward_result == ForwardResult::kSent) {
           forwarded.push_back(call);
         }
         return forward_result;
       },
       [this] { return owner_expected; }, [this] { return serves_others; },
       [this](const entry::JobsInDoubt& told) {
         doubts.insert(doubts.end(), told.jobs.begin(), told.jobs.end());
       }}};
  net::HttpClient client{io, {}};

  Fixture() {
    store.Put("rules", std::string(kRules));
    rules.Tick(entry::Now());
  }

  /// Sends a call and runs `while_waiting` repeatedly while it is open.
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

  /// Sends a negative reply to the last forwarded call.
  void Decline(CallResult end, ErrorKind error, Epoch from = 0) {
    entry::CellReply reply;
    reply.epoch = from;
    reply.call = forwarded.back().call;
    reply.attempt = forwarded.back().attempt;
    reply.end = end;
    reply.error = error;
    callers.HandleReply(reply);
  }

  /// A submit whose owner is lost, with no next one in time.
  void LoseSubmit() {
    const auto answer = Send("POST", kJob, "k1", std::string(kSteps), [this] {
      callers.HostLost("owner");
      forward_result = ForwardResult::kNoOwner;
      callers.Tick(entry::Now() + Millis(1600));
    });
    CPPUNIT_ASSERT_EQUAL(504, answer.status);
  }

  void Accept() {
    if (!forwarded.empty()) {
      entry::CellReply reply;
      reply.call = forwarded.back().call;
      reply.attempt = forwarded.back().attempt;
      reply.end = CallResult::kAccepted;
      callers.HandleReply(reply);
    }
  }
};

class EntryCallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryCallersTest);
  CPPUNIT_TEST(AcceptedJobIsAnswered);
  CPPUNIT_TEST(InvalidCallsAreRefusedImmediately);
  CPPUNIT_TEST(UnconfirmedRulesAreNotTrusted);
  CPPUNIT_TEST(CallIsRefusedIfNoOwnerIsExpected);
  CPPUNIT_TEST(CallWaitsForTheNextOwner);
  CPPUNIT_TEST(LostCallIsForwardedToTheNextOwner);
  CPPUNIT_TEST(SilentOwnerGivesUnknownOutcome);
  CPPUNIT_TEST(CallWaitsWhileTheOwnerCannotStore);
  CPPUNIT_TEST(CallIsRefusedIfNoHostReachesTheStore);
  CPPUNIT_TEST(CallDroppedByItsOwnerHasUnknownOutcome);
  CPPUNIT_TEST(ResponsesCloseIfTheStoreServesOnlyOthers);
  CPPUNIT_TEST(LateRefusalOfAFormerOwnerIsIgnored);
  CPPUNIT_TEST(RefusalOfAnEarlierOwnerLeavesTheOutcomeOpen);
  CPPUNIT_TEST(RefusalOfALaterOwnerSettlesALostCall);
  CPPUNIT_TEST(NextTryOfALostSubmitIsNotDenied);
  CPPUNIT_TEST(NextTryIsNotDeniedBeforeTheCallIsOpened);
  CPPUNIT_TEST(DoubtOfAnotherHostIsHeeded);
  CPPUNIT_TEST(AcceptedJobIsNeverDenied);
  CPPUNIT_TEST(RefusalOfALaterOwnerSettlesEarlierTries);
  CPPUNIT_TEST(StoppingHostAnswersOpenCalls);
  CPPUNIT_TEST(LastTryWithLittleTimeIsAnswered);
  CPPUNIT_TEST(ReplyToAFormerProcessIsIgnored);
  CPPUNIT_TEST(CallWithoutTimeIsRefusedImmediately);
  CPPUNIT_TEST(RefusedCallsDoNotSayThatAJobHasNotRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptedJobIsAnswered() {
    Fixture f;
    const auto answer = f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})",
                               [&f] { f.Accept(); });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("red"), f.forwarded.at(0).team);
    CPPUNIT_ASSERT_EQUAL(std::string("q"), f.forwarded.at(0).spec.queue);
  }

  void InvalidCallsAreRefusedImmediately() {
    Fixture f;
    CPPUNIT_ASSERT_EQUAL(401, f.Send("GET", kJob, "k2", "").status);
    CPPUNIT_ASSERT_EQUAL(404, f.Send("GET", "/x/1", "k1", "").status);
    CPPUNIT_ASSERT_EQUAL(404, f.Send("GET", "/p/short", "k1", "").status);
    CPPUNIT_ASSERT_EQUAL(400, f.Send("POST", kJob, "k1", "{").status);
    CPPUNIT_ASSERT_EQUAL(
        413, f.Send("POST", kJob, "k1", std::string(2001, ' ')).status);
    CPPUNIT_ASSERT(f.forwarded.empty());
  }

  void UnconfirmedRulesAreNotTrusted() {
    Fixture f;
    CPPUNIT_ASSERT(f.callers.RulesTrusted(entry::Now()));
    CPPUNIT_ASSERT(!f.callers.RulesTrusted(entry::Now() + Millis(3600)));
  }

  void CallIsRefusedIfNoOwnerIsExpected() {
    Fixture f;
    f.forward_result = ForwardResult::kNoOwner;
    f.owner_expected = false;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})");
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.retry_after > Millis(0));
  }

  void CallWaitsForTheNextOwner() {
    Fixture f;
    f.forward_result = ForwardResult::kNoOwner;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          f.forward_result = ForwardResult::kSent;
          f.callers.Tick(entry::Now());
          f.Accept();
        });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
  }

  void LostCallIsForwardedToTheNextOwner() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          if (f.forwarded.size() == 1) {
            f.callers.HostLost("owner");
            f.callers.Tick(entry::Now());
          } else {
            f.Accept();
          }
        });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.forwarded.size());
  }

  void SilentOwnerGivesUnknownOutcome() {
    Fixture f;
    const auto late = [&f] { f.callers.Tick(entry::Now() + Millis(5000)); };
    const auto submit =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", late);
    CPPUNIT_ASSERT_EQUAL(504, submit.status);
    CPPUNIT_ASSERT(submit.body.find("unknown") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(503, f.Send("GET", kJob, "k1", "", late).status);
  }

  // The owner can't reach the store, but another host can: the call waits for
  // the next owner.
  void CallWaitsWhileTheOwnerCannotStore() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          if (f.forwarded.size() == 1) {
            f.Decline(CallResult::kRefused, ErrorKind::kStoreUnavailable);
            f.callers.Tick(entry::Now() + Millis(200));
          } else {
            f.Accept();
          }
        });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.forwarded.size());
  }

  // Guards against "not run" of a job that runs, or did.
  void RefusedCallsDoNotSayThatAJobHasNotRun() {
    struct Case {
      std::string method;
      CallResult end;
      ErrorKind error;
      int status;
    };
    const std::vector<Case> cases = {
        {"DELETE", CallResult::kRefused, ErrorKind::kNotPermitted, 403},
        {"GET", CallResult::kRefused, ErrorKind::kNotPermitted, 403},
        {"POST", CallResult::kRefused, ErrorKind::kDuplicateRequest, 409},
        {"DELETE", CallResult::kNoSuchJob, ErrorKind::kInternal, 410},
        {"GET", CallResult::kNoSuchJob, ErrorKind::kInternal, 410}};
    for (const Case& each : cases) {
      Fixture f;
      const auto answer =
          f.Send(each.method, kJob, "k1", R"({"steps":[{"count":1}]})",
                 [&] { f.Decline(each.end, each.error); });
      CPPUNIT_ASSERT_EQUAL(each.status, answer.status);
      CPPUNIT_ASSERT(answer.body.find(R"("ran":"unknown")") !=
                     std::string::npos);
    }
  }

  void CallIsRefusedIfNoHostReachesTheStore() {
    Fixture f;
    f.owner_expected = false;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          f.Decline(CallResult::kRefused, ErrorKind::kStoreUnavailable);
        });
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.body.find(R"("ran":"no")") != std::string::npos);
    CPPUNIT_ASSERT(answer.retry_after > Millis(0));
  }

  // The owner may have sent a write before it lost the cell.
  void CallDroppedByItsOwnerHasUnknownOutcome() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          f.Decline(CallResult::kUnknown, ErrorKind::kOwnerStale);
          f.forward_result = ForwardResult::kNoOwner;
          f.callers.Tick(entry::Now() + Millis(1600));
        });
    CPPUNIT_ASSERT_EQUAL(504, answer.status);
    CPPUNIT_ASSERT(answer.body.find("unknown") != std::string::npos);
  }

  // The connection to the first owner was reset. The owner's refusal arrives
  // over a new connection, after the call was forwarded to the next owner.
  void LateRefusalOfAFormerOwnerIsIgnored() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&f] {
          f.callers.HostLost("owner");
          f.callers.Tick(entry::Now());
          CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.forwarded.size());
          for (const ErrorKind error :
               {ErrorKind::kTeamLimit, ErrorKind::kNotReady}) {
            entry::CellReply late;
            late.call = f.forwarded[0].call;
            late.attempt = f.forwarded[0].attempt;
            late.end = CallResult::kRefused;
            late.error = error;
            f.callers.HandleReply(late);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.callers.Open());
          }
          f.Accept();
        });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
  }

  // review/7: "not accepted and never runs" was said of a call of which another
  // owner held a copy.
  void RefusalOfAnEarlierOwnerLeavesTheOutcomeOpen() {
    struct Case {
      Epoch refused_by;
      int status;
    };
    for (const std::string method : {"POST", "DELETE"}) {
      for (const Case& each :
           std::vector<Case>{{0, 504}, {1, 504}, {2, 429}, {3, 429}}) {
        Fixture f;
        f.epoch = 2;
        const auto answer =
            f.Send(method, kJob, "k1", R"({"steps":[{"count":1}]})", [&] {
              f.callers.HostLost("owner");
              f.callers.Tick(entry::Now());
              f.Decline(CallResult::kRefused, ErrorKind::kTeamLimit,
                        each.refused_by);
            });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.forwarded.size());
        CPPUNIT_ASSERT_EQUAL(each.status, answer.status);
      }
    }
  }

  // A caller that is told that nothing ran may come back later.
  void RefusalOfALaterOwnerSettlesALostCall() {
    for (const Epoch refused_by : {Epoch{2}, Epoch{0}}) {
      const int status = refused_by == 0 ? 504 : 503;
      Fixture f;
      const auto answer =
          f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", [&] {
            f.callers.HostLost("owner");
            f.epoch = 2;
            f.callers.Tick(entry::Now());
            // It waits, since another owner may be able to store it.
            f.Decline(CallResult::kRefused, ErrorKind::kStoreUnavailable,
                      refused_by);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.callers.Open());
            f.callers.Tick(entry::Now() + Millis(5000));
          });
      CPPUNIT_ASSERT_EQUAL(status, answer.status);
    }
  }

  // Guards against REFUSED (review/7): a try was answered 504, since its copy
  // was lost with the owner; the next one reached a host without an owner,
  // which said that the job was not accepted and never runs.
  void NextTryOfALostSubmitIsNotDenied() {
    Fixture f;
    f.LoseSubmit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.doubts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef"), f.doubts[0].job);
    CPPUNIT_ASSERT_EQUAL(Epoch{1}, f.doubts[0].epoch);
    f.forward_result = ForwardResult::kNoOwner;
    f.owner_expected = false;
    const auto next = f.Send("POST", kJob, "k1", std::string(kSteps));
    CPPUNIT_ASSERT_EQUAL(504, next.status);
    CPPUNIT_ASSERT(next.body.find("unknown") != std::string::npos);
    const auto other =
        f.Send("POST", "/p/fedcba9876543210", "k1", std::string(kSteps));
    CPPUNIT_ASSERT_EQUAL(503, other.status);
  }

  // The same for refusals that precede the call.
  void NextTryIsNotDeniedBeforeTheCallIsOpened() {
    constexpr int kTooShortMs = 5;
    for (const bool lost : {false, true}) {
      Fixture f;
      if (lost) {
        f.callers.HandleDoubts({{{"0123456789abcdef", 1}}});
      }
      const auto late =
          f.Send("POST", kJob, "k1", std::string(kSteps), {}, kTooShortMs);
      CPPUNIT_ASSERT_EQUAL(lost ? 504 : 503, late.status);
      CPPUNIT_ASSERT(f.forwarded.empty());
    }
  }

  // The next try reaches another host than the one that lost the first.
  void DoubtOfAnotherHostIsHeeded() {
    Fixture f;
    f.forward_result = ForwardResult::kNoOwner;
    f.owner_expected = false;
    f.callers.HandleDoubts({{{"0123456789abcdef", 3}}});
    CPPUNIT_ASSERT_EQUAL(
        504, f.Send("POST", kJob, "k1", std::string(kSteps)).status);
    CPPUNIT_ASSERT_EQUAL(
        503, f.Send("POST", "/p/fedcba9876543210", "k1", std::string(kSteps))
                 .status);
  }

  // A submit may come again after it was answered with success.
  void AcceptedJobIsNeverDenied() {
    Fixture f;
    CPPUNIT_ASSERT_EQUAL(200,
                         f.Send("POST", kJob, "k1", std::string(kSteps), [&f] {
                            f.Accept();
                          }).status);
    f.forward_result = ForwardResult::kNoOwner;
    f.owner_expected = false;
    CPPUNIT_ASSERT_EQUAL(
        504, f.Send("POST", kJob, "k1", std::string(kSteps)).status);
  }

  // Callers are told that a job was not accepted as soon as that is known.
  void RefusalOfALaterOwnerSettlesEarlierTries() {
    struct Case {
      Epoch refused_by;
      int status;
    };
    for (const Case& each :
         std::vector<Case>{{0, 504}, {3, 504}, {4, 429}, {5, 429}}) {
      Fixture f;
      f.callers.HandleDoubts({{{"0123456789abcdef", 4}}});
      f.epoch = 5;
      const auto answer = f.Send("POST", kJob, "k1", std::string(kSteps), [&] {
        f.Decline(CallResult::kRefused, ErrorKind::kTeamLimit, each.refused_by);
      });
      CPPUNIT_ASSERT_EQUAL(each.status, answer.status);
    }
  }

  // Guards against LOST (review/10): calls that waited for an owner were cut
  // without an answer at the end of a shutdown.
  void StoppingHostAnswersOpenCalls() {
    struct Case {
      ForwardResult result;
      int status;
    };
    for (const Case& each : std::vector<Case>{{ForwardResult::kNoOwner, 503},
                                              {ForwardResult::kSent, 504}}) {
      Fixture f;
      f.forward_result = each.result;
      const std::string body = R"({"steps":[{"count":1}]})";
      const auto answer =
          f.Send("POST", kJob, "k1", body, [&f] { f.callers.Stop(); });
      CPPUNIT_ASSERT_EQUAL(each.status, answer.status);
      CPPUNIT_ASSERT_EQUAL(each.status == 503, answer.retry_after > Millis(0));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, f.callers.Open());
    }
  }

  void ResponsesCloseIfTheStoreServesOnlyOthers() {
    Fixture f;
    f.serves_others = true;
    const auto answer = f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})",
                               [&f] { f.Accept(); });
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    CPPUNIT_ASSERT(answer.close);
  }

  // Callers of a busy team retry until their deadline. Jobs that the owner
  // accepted within 10 ms were answered with 504 after 5 ms.
  void LastTryWithLittleTimeIsAnswered() {
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

  // Guards against a restarted host that takes the owner's reply to a call of
  // its former process, and tells a caller that another's job was accepted.
  void ReplyToAFormerProcessIsIgnored() {
    constexpr int kDeadlineMs = 300;
    const std::string body = R"({"steps":[{"count":1}]})";
    std::optional<entry::CellReply> late;
    {
      Fixture former;
      const auto tick = [&] {
        former.callers.Tick(entry::Now());
        entry::CellReply reply;
        reply.call = former.forwarded.back().call;
        reply.attempt = former.forwarded.back().attempt;
        reply.end = CallResult::kAccepted;
        late = late.value_or(reply);
      };
      (void)former.Send("POST", kJob, "k1", body, tick, kDeadlineMs);
    }
    CPPUNIT_ASSERT(late.has_value());
    Fixture next;
    const auto answer = next.Send(
        "POST", "/p/fedcba9876543210", "k1", body,
        [&] {
          next.callers.HandleReply(*late);
          next.callers.Tick(entry::Now());
        },
        kDeadlineMs);
    CPPUNIT_ASSERT(answer.status != 200);
  }

  void CallWithoutTimeIsRefusedImmediately() {
    Fixture f;
    const auto answer =
        f.Send("POST", kJob, "k1", R"({"steps":[{"count":1}]})", {}, 10);
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(f.forwarded.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCallersTest);

}  // namespace
}  // namespace buckthornmux::tests
