// Answer handling of the stand-in callers, and a run of them through the
// balancer.
#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "buckthornmux/detail/net/http_server.h"
#include "standins/balancer.h"
#include "standins/callers.h"
#include "standins/io_thread.h"

namespace buckthornmux::standins {
namespace {

constexpr int kMaxTries = 3;
using Kind = NextStep::Kind;

NextStep HandleResponse(PlannedRequest& request, int status,
                        const std::string& body) {
  ++request.tries;
  net::HttpResponse response;
  response.status = status;
  response.body = body;
  return TakeAnswer(request, response, kMaxTries);
}

NextStep HandleError(PlannedRequest& request, ErrorKind kind) {
  ++request.tries;
  return TakeAnswer(request, Error{kind, "", ""}, kMaxTries);
}

class CallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallersTest);
  CPPUNIT_TEST(RefusalOfUnrunWorkIsRetriedLater);
  CPPUNIT_TEST(NonIdempotentIsNotRetriedAfterALostAnswer);
  CPPUNIT_TEST(UnsentCopyIsNotARefusal);
  CPPUNIT_TEST(AcceptedJobIsPolledUntilItEnds);
  CPPUNIT_TEST(RunsThroughABalancerWithADeadBackEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusalOfUnrunWorkIsRetriedLater() {
    PlannedRequest request;
    const std::string refusal = R"({"ran":"no","retry_after_ms":200})";
    const NextStep step = HandleResponse(request, 503, refusal);
    CPPUNIT_ASSERT(step.kind == Kind::kTryAgain && step.after == Millis(200));
    CPPUNIT_ASSERT(HandleResponse(request, 503, R"({"ran":"unknown",
        "retry_after_ms":200})")
                       .kind == Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), request.line.ran);
    request.tries = kMaxTries;
    CPPUNIT_ASSERT(HandleResponse(request, 503, refusal).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), request.line.ran);
  }

  void NonIdempotentIsNotRetriedAfterALostAnswer() {
    PlannedRequest request;
    CPPUNIT_ASSERT(HandleError(request, ErrorKind::kPeerUnreachable).kind ==
                   Kind::kTryAgain);
    CPPUNIT_ASSERT(HandleError(request, ErrorKind::kOutcomeUnknown).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), request.line.ran);
    PlannedRequest idempotent;
    idempotent.line.idempotent = true;
    CPPUNIT_ASSERT(HandleError(idempotent, ErrorKind::kOutcomeUnknown).kind ==
                   Kind::kTryAgain);
    // An unsent last attempt says nothing about the outcome of the previous
    // one.
    idempotent.tries = kMaxTries;
    CPPUNIT_ASSERT(HandleError(idempotent, ErrorKind::kPeerUnreachable).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), idempotent.line.ran);
  }

  // Guards against logging a copy as refused although another copy ran. It
  // happened in an end-to-end run with a killed host, when one of two copies
  // only tried that host.
  void UnsentCopyIsNotARefusal() {
    PlannedRequest request;
    request.line.ran = "no";
    request.tries = kMaxTries;
    CPPUNIT_ASSERT(HandleError(request, ErrorKind::kPeerUnreachable).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("unsent"), request.line.ran);
    PlannedRequest refused;
    refused.line.ran = "no";
    CPPUNIT_ASSERT(
        HandleResponse(refused, 503, R"({"ran":"no","retry_after_ms":200})")
            .kind == Kind::kTryAgain);
    refused.tries = kMaxTries;
    CPPUNIT_ASSERT(HandleError(refused, ErrorKind::kPeerUnreachable).kind ==
                   Kind::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), refused.line.ran);
  }

  void AcceptedJobIsPolledUntilItEnds() {
    PlannedRequest request;
    request.line.patient = true;
    CPPUNIT_ASSERT(
        HandleResponse(request, 202, R"({"phase":"accepted"})").kind ==
        Kind::kPoll);
    CPPUNIT_ASSERT(request.line.accepted);
    request.tries = kMaxTries;
    CPPUNIT_ASSERT(HandleError(request, ErrorKind::kOutcomeUnknown).kind ==
                   Kind::kPoll);
    CPPUNIT_ASSERT(HandleResponse(request, 200, R"({"phase":"done","ran":"yes",
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
