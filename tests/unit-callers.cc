// How the callers take answers, and a run of theirs through the balancer.
#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "buckthornmux/detail/net/http_server.h"
#include "standins/balancer.h"
#include "standins/callers.h"
#include "standins/io_thread.h"

namespace buckthornmux::standins {
namespace {

constexpr int kTries = 3;
using Kind = NextStep::Kind;

NextStep Take(PlannedRequest& request, int status, const std::string& body) {
  ++request.tries;
  net::HttpResponse response;
  response.status = status;
  response.body = body;
  return TakeAnswer(request, response, kTries);
}

NextStep Break(PlannedRequest& request, ErrorKind kind) {
  ++request.tries;
  return TakeAnswer(request, Error{kind, "", ""}, kTries);
}

class CallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallersTest);
  CPPUNIT_TEST(TruthfulRefusalIsTriedAgainLater);
  CPPUNIT_TEST(NonIdempotentIsNotRepeatedAfterABreak);
  CPPUNIT_TEST(CopyThatReachedNoHostIsNoRefusal);
  CPPUNIT_TEST(AcceptedJobIsPolledToItsEnd);
  CPPUNIT_TEST(RunsThroughABalancerWithADeadBackEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TruthfulRefusalIsTriedAgainLater() {
    PlannedRequest request;
    const std::string refusal = R"({"ran":"no","retry_after_ms":200})";
    const NextStep step = Take(request, 503, refusal);
    CPPUNIT_ASSERT(step.kind == Kind::kTryAgain && step.after == Millis(200));
    CPPUNIT_ASSERT(Take(request, 503, R"({"ran":"unknown",
        "retry_after_ms":200})")
                       .kind == Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), request.line.ran);
    request.tries = kTries;
    CPPUNIT_ASSERT(Take(request, 503, refusal).kind == Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), request.line.ran);
  }

  void NonIdempotentIsNotRepeatedAfterABreak() {
    PlannedRequest request;
    CPPUNIT_ASSERT(Break(request, ErrorKind::kPeerUnreachable).kind ==
                   Kind::kTryAgain);
    CPPUNIT_ASSERT(Break(request, ErrorKind::kOutcomeUnknown).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), request.line.ran);
    PlannedRequest idempotent;
    idempotent.line.idempotent = true;
    CPPUNIT_ASSERT(Break(idempotent, ErrorKind::kOutcomeUnknown).kind ==
                   Kind::kTryAgain);
    // A last try that was not sent proves nothing of the one before.
    idempotent.tries = kTries;
    CPPUNIT_ASSERT(Break(idempotent, ErrorKind::kPeerUnreachable).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), idempotent.line.ran);
  }

  // The whole-path run with a killed host: one of two copies met only that host
  // and was logged as refused, while the other one ran.
  void CopyThatReachedNoHostIsNoRefusal() {
    PlannedRequest request;
    request.line.ran = "no";
    request.tries = kTries;
    CPPUNIT_ASSERT(Break(request, ErrorKind::kPeerUnreachable).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("unsent"), request.line.ran);
    PlannedRequest refused;
    refused.line.ran = "no";
    CPPUNIT_ASSERT(
        Take(refused, 503, R"({"ran":"no","retry_after_ms":200})").kind ==
        Kind::kTryAgain);
    refused.tries = kTries;
    CPPUNIT_ASSERT(Break(refused, ErrorKind::kPeerUnreachable).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), refused.line.ran);
  }

  void AcceptedJobIsPolledToItsEnd() {
    PlannedRequest request;
    request.line.patient = true;
    CPPUNIT_ASSERT(Take(request, 202, R"({"phase":"accepted"})").kind ==
                   Kind::kPoll);
    CPPUNIT_ASSERT(request.line.accepted);
    request.tries = kTries;
    CPPUNIT_ASSERT(Break(request, ErrorKind::kOutcomeUnknown).kind ==
                   Kind::kPoll);
    CPPUNIT_ASSERT(Take(request, 200, R"({"phase":"done","ran":"yes",
        "results":["{}"]})")
                       .kind == Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), request.line.answer);
  }

  void RunsThroughABalancerWithADeadBackEnd() {
    IoThread io;
    net::HttpServer entry(
        io.io, {}, [](const net::HttpRequest&, const net::Responder& respond) {
          net::HttpResponse response;
          response.body = R"({"phase":"done","ran":"yes","results":["r"]})";
          respond(response);
        });
    BalancerOptions balanced;
    balanced.backends = {"127.0.0.1:1",
                         "127.0.0.1:" + std::to_string(entry.Port())};
    const Balancer balancer(io.io, balanced);
    CallersOptions options;
    options.entries = {balancer.Address()};
    options.mix = ParseMix("nonidem=1,urgent=1").value();
    options.per_second = 50;
    options.duration = Millis(400);
    options.duplicate_every = 1;
    std::ostringstream log;
    const CallerCounts counts = RunOpenLoop(options, log);
    CPPUNIT_ASSERT(counts.sent >= 20);
    CPPUNIT_ASSERT(counts.done > 0);
    CPPUNIT_ASSERT_EQUAL(counts.sent, counts.done + counts.errors);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersTest);

}  // namespace
}  // namespace buckthornmux::standins
