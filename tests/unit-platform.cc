// Adapter to the users' platform: valid messages are decoded, invalid ones are
// refused.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/json.hpp>

#include "platform/adviser.h"
#include "platform/evacuations.h"
#include "platform/jobs.h"
#include "platform/orders.h"
#include "platform/rules.h"
#include "platform/settings.h"
#include "platform/targets.h"

namespace buckthornmux::platform {
namespace {

namespace json = boost::json;

template <class F>
ErrorKind KindOf(F&& f) {
  const auto outcome = Capture(std::forward<F>(f));
  const auto* error = std::get_if<Error>(&outcome);
  return error == nullptr ? ErrorKind::kInternal : error->kind;
}

template <class F>
auto ValueOf(F&& f) {
  auto outcome = Capture(std::forward<F>(f));
  if (const auto* error = std::get_if<Error>(&outcome)) {
    CPPUNIT_FAIL(error->message + " " + error->where);
  }
  return std::get<0>(std::move(outcome));
}

constexpr std::string_view kSettings =
    "node=edge-a-1\nip=10.1.0.17\nzone=a\n"
    "listen.frontend=10.1.0.17:8183\nlisten.readiness=10.1.0.17:8184\n"
    "internal_ports=7420,7435\nplatform.address=10.200.1.7:8182\n"
    "advice=10.200.1.9:8182\nbootstrap=true\nbounds.grace_s=6\n"
    "bounds.hold_max_ms=10000\nbounds.far_x=1.5\nbounds.finish_s=8\n"
    "platform.value_bytes=65536\n"
    "new.field=whatever\n";

class PlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformTest);
  CPPUNIT_TEST(ParsesSettings);
  CPPUNIT_TEST(RefusesInvalidSettings);
  CPPUNIT_TEST(EvacuationsAreOffUnlessTheirBoundIsSet);
  CPPUNIT_TEST(ParsesEvacuations);
  CPPUNIT_TEST(ParsesRules);
  CPPUNIT_TEST(RefusesInvalidRules);
  CPPUNIT_TEST(ParsesTargets);
  CPPUNIT_TEST(RefusesIncompleteTargets);
  CPPUNIT_TEST(ParsesJobs);
  CPPUNIT_TEST(RefusesInvalidJobs);
  CPPUNIT_TEST(FormatsOrders);
  CPPUNIT_TEST(MapsAnswersToOutcomes);
  CPPUNIT_TEST(ParsesReports);
  CPPUNIT_TEST(ReportWithAsManyEndsAsItListsIsNotComplete);
  CPPUNIT_TEST(RefusesInvalidReports);
  CPPUNIT_TEST(ParsesAdvice);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesSettings() {
    const auto settings = ValueOf([] { return ParseSettings(kSettings); });
    CPPUNIT_ASSERT_EQUAL(std::string("edge-a-1"), settings.host);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7420}, settings.peer_port);
    CPPUNIT_ASSERT_EQUAL(std::string("10.200.1.9:8182"),
                         settings.adviser_address);
    CPPUNIT_ASSERT(settings.interference);
    const auto off = ValueOf([] {
      return ParseSettings(std::string(kSettings) + "interference=off");
    });
    CPPUNIT_ASSERT(!off.interference);
    CPPUNIT_ASSERT(settings.first_start);
    CPPUNIT_ASSERT(settings.bounds.shutdown == Millis(6000));
    CPPUNIT_ASSERT(settings.bounds.longest_lease == Millis(10'000));
    CPPUNIT_ASSERT(settings.bounds.finish == Millis(8000));
    CPPUNIT_ASSERT(settings.bounds.drain_within == Millis(2000));
    const auto slow = ValueOf([] {
      return ParseSettings(std::string(kSettings) + "bounds.drain_ms=4000");
    });
    CPPUNIT_ASSERT(slow.bounds.drain_within == Millis(4000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{65'536}, settings.max_value_bytes);
    CPPUNIT_ASSERT_EQUAL(1.5, settings.bounds.far_factor);
    CPPUNIT_ASSERT(settings.bounds.status_kept == Millis(120'000));
  }

  // Guards against evacuations in deployments that didn't ask for them.
  void EvacuationsAreOffUnlessTheirBoundIsSet() {
    const auto off = ValueOf([] { return ParseSettings(kSettings); });
    CPPUNIT_ASSERT(off.bounds.evacuate_within == Millis(0));
    const std::string text = std::string(kSettings) +
                             "bounds.evacuate_ms=5000\nbounds.cold_slack=7\n";
    const auto on = ValueOf([&] { return ParseSettings(text); });
    CPPUNIT_ASSERT(on.bounds.evacuate_within == Millis(5000));
    CPPUNIT_ASSERT_EQUAL(7.0, on.bounds.cold_slack);
    for (const char* field : {"evacuate_ms", "cold_overage", "cold_slack"}) {
      const std::string odd =
          std::string(kSettings) + "bounds." + field + "=-1\n";
      CPPUNIT_ASSERT(KindOf([&] { return ParseSettings(odd); }) ==
                     ErrorKind::kMalformed);
    }
  }

  // Guards against names that no data centre has, and against refusing others.
  void ParsesEvacuations() {
    const std::string prefix = "op/evacuate/";
    for (const std::string& name :
         {std::string("zone-a"), std::string("a b/c"), std::string(200, 'x')}) {
      CPPUNIT_ASSERT_EQUAL(
          name, ValueOf([&] { return ParseEvacuation(prefix + name); }));
    }
    for (const std::string& key :
         {prefix, prefix + std::string(201, 'x'), prefix + "a\n", prefix + '\0',
          prefix + '\x7f', std::string("op/config")}) {
      CPPUNIT_ASSERT(KindOf([&] { return ParseEvacuation(key); }) ==
                     ErrorKind::kMalformed);
    }
  }

  void RefusesInvalidSettings() {
    for (const std::string_view text :
         {"node", "node=a\n", "node=edge\nip=1\nzone=a\n"}) {
      CPPUNIT_ASSERT(KindOf([&] { return ParseSettings(text); }) ==
                     ErrorKind::kMalformed);
    }
    for (const char* line : {"bounds.stop_ms=soon\n", "bounds.drain_ms=-1\n"}) {
      const std::string number = std::string(kSettings) + line;
      CPPUNIT_ASSERT(KindOf([&] { return ParseSettings(number); }) ==
                     ErrorKind::kMalformed);
    }
  }

  void ParsesRules() {
    const auto rules = ValueOf([] {
      return ParseRules(
          R"({"version":7,"routes":[{"name":"r","hostname":"h.example",
          "prefix":"/p/","type":"non_idempotent","timeout_ms":3000,
          "target_runtime_ms":1000,"priority":1,"service":"s",
          "max_attempts":2,"stretch":2.2,"advice":{"decide_ms":380.0,
          "each_ms":5.4,"valid_ms":2500},"public":false},
          {"name":"open","hostname":"h","prefix":"/o/","service":"s",
          "public":true}],
          "services":[{"name":"s","admission_check":false}],
          "limits":{"max_body_bytes":262144},
          "tenants":[{"name":"t","api_keys":["k1","k2"],"weight":31,
          "maximum":{"cpu":433663,"mem_mb":696900,"gpu":0}}]})");
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, rules.version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rules.queues.size());
    const cell::Queue& queue = rules.queues[0];
    CPPUNIT_ASSERT_EQUAL(2U, queue.max_attempts);
    CPPUNIT_ASSERT_EQUAL(2.2, queue.stretch);
    CPPUNIT_ASSERT(queue.advice.has_value());
    CPPUNIT_ASSERT(queue.advice->decide == Millis(380));
    CPPUNIT_ASSERT(rules.queues[1].open_to_all);
    CPPUNIT_ASSERT(!rules.queues[1].advice.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rules.teams[0].keys.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{433'663},
                         rules.teams[0].maximum.cpu_milli);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{262'144}, rules.max_body_bytes);
  }

  void RefusesInvalidRules() {
    for (const std::string_view text :
         {"", "[]", "{}", R"({"version":"x"})",
          R"({"version":1,"routes":[{"name":3}]})",
          R"({"version":1,"tenants":[{"name":"t","api_keys":[1]}]})"}) {
      CPPUNIT_ASSERT(KindOf([&] { return ParseRules(text); }) ==
                     ErrorKind::kMalformed);
    }
  }

  void ParsesTargets() {
    const auto target = ValueOf([] {
      return ParseTarget(
          "servers/i-1",
          R"({"service":"s","address":"10.128.0.9:8080","zone":"a",
          "version":"v1","slots":8,"state":"draining","remaining_ms":1650,
          "cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,
          "gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"sequence":4,
          "born":1700000000000})");
    });
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), target.id);
    CPPUNIT_ASSERT(target.draining);
    CPPUNIT_ASSERT(target.remaining == Millis(1650));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{16'000}, target.capacity.cpu_milli);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), target.labels.at(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1'700'000'000'000}, target.life);
  }

  void RefusesIncompleteTargets() {
    for (const std::string_view text :
         {"\x01\x02", "{}", R"({"service":"s","address":"a","zone":"z"})",
          R"({"service":"s","address":"a","zone":"z","state":"asleep"})",
          R"({"service":1,"address":"a","zone":"z","state":"ready"})",
          R"({"service":"s","address":"a","zone":"z","state":"ready",
              "capacity":{"cpu":"many"}})",
          R"({"service":"s","address":"a","zone":"z","state":"ready",
              "labels":"a"})"}) {
      CPPUNIT_ASSERT(KindOf([&] { return ParseTarget("servers/i-1", text); }) ==
                     ErrorKind::kMalformed);
    }
  }

  void ParsesJobs() {
    const auto job = ValueOf([] {
      return ParseJob(
          R"({"spec":"work","steps":[{"count":4,"cpu":500,"mem_mb":256,
          "estimated_ms":900,"affinity":"r1-3","anti_affinity":2,
          "constraints":"b"},{"count":20,"cpu":2000,"after":[0],
          "checkpointing":true,"gang":true,"same_rack":true,"fills":true,
          "long_running":true,"may_miss":1,"speculative":true}],
          "repeat_count":3,"start_at_ms":1000,"interval_ms":2000})");
    });
    CPPUNIT_ASSERT_EQUAL(std::string("work"), job.payload);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), job.steps[0].data_rack);
    CPPUNIT_ASSERT_EQUAL(2U, job.steps[0].max_per_target);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), job.steps[0].label);
    CPPUNIT_ASSERT(job.steps[1].gang && job.steps[1].checkpoints);
    CPPUNIT_ASSERT(job.steps[1].service && job.steps[1].fills);
    CPPUNIT_ASSERT_EQUAL(1U, job.steps[1].max_unavailable);
    CPPUNIT_ASSERT_EQUAL(3U, job.recurrence.count);
    CPPUNIT_ASSERT(IsJobId("5c0e7a21d94b36f8"));
    CPPUNIT_ASSERT(!IsJobId("5c0e7a21d94b36f"));
    CPPUNIT_ASSERT(!IsJobId("5c0e7a21d94b36fx"));
  }

  void RefusesInvalidJobs() {
    for (const std::string_view text :
         {"", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
          R"({"steps":[{"count":1,"cpu":-5}]})",
          R"({"steps":[{"count":1,"after":[0]}]})",
          R"({"steps":[{"count":1,"gang":"yes"}]})",
          R"({"spec":7,"steps":[{"count":1}]})"}) {
      CPPUNIT_ASSERT(KindOf([&] { return ParseJob(text); }) ==
                     ErrorKind::kMalformed);
    }
  }

  void FormatsOrders() {
    const cell::RunId run{{"5c0e7a21d94b36f8", 0, 1, 17}, 2};
    const auto request =
        StartCall({"i-1", 5, run, "work", "save", "pass", 486'000}, Epoch{7});
    const auto body = json::parse(request.body).as_object();
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.0.1.17"),
                         std::string(body.at("task").as_string()));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7},
                         body.at("fencing_token").to_number<std::int64_t>());
    CPPUNIT_ASSERT(body.contains("ticket") && body.contains("checkpoint"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         std::string(request.HeaderValue("X-Expect-Instance")));
    const auto plain = StartCall({"i-1", 5, run, "work", {}, {}, 1}, Epoch{7});
    CPPUNIT_ASSERT(plain.body.find("ticket") == std::string::npos);
    const auto report = ReportCall("i-1", {0, 57}, Epoch{7}, Millis(0));
    CPPUNIT_ASSERT(report.body.find("deadline_ms") == std::string::npos);
    CPPUNIT_ASSERT(report.body.find("57") != std::string::npos);
    CPPUNIT_ASSERT(StopCall({"i-1", 5, run}, Epoch{7}).body.find("run") !=
                   std::string::npos);
  }

  void MapsAnswersToOutcomes() {
    using Kind = cell::OrderOutcome;
    const auto conflict = [](std::string_view reason) {
      net::HttpResponse response;
      response.status = 409;
      response.body =
          R"({"clock_ms":1,"reason":")" + std::string(reason) + R"("})";
      return OutcomeOf(response);
    };
    const auto status = [](int code) {
      net::HttpResponse response;
      response.status = code;
      return OutcomeOf(response);
    };
    CPPUNIT_ASSERT(conflict("fence") == Kind::kFenced);
    CPPUNIT_ASSERT(conflict("old") == Kind::kOld);
    CPPUNIT_ASSERT(conflict("late") == Kind::kLate);
    CPPUNIT_ASSERT(conflict("room") == Kind::kNoRoom);
    CPPUNIT_ASSERT(conflict("ticket") == Kind::kBadTicket);
    CPPUNIT_ASSERT(conflict("else") == Kind::kRefused);
    CPPUNIT_ASSERT(status(200) == Kind::kDone);
    CPPUNIT_ASSERT(status(421) == Kind::kOtherLife);
    CPPUNIT_ASSERT(status(503) == Kind::kUnhealthy);
    CPPUNIT_ASSERT(status(500) == Kind::kUnknown);
    CPPUNIT_ASSERT(OutcomeOf(Error{ErrorKind::kPeerUnreachable, "", {}}) ==
                   Kind::kNotSent);
    CPPUNIT_ASSERT(OutcomeOf(Error{ErrorKind::kOutcomeUnknown, "", {}}) ==
                   Kind::kUnknown);
  }

  void ReportWithAsManyEndsAsItListsIsNotComplete() {
    const auto is_complete = [](int ends) {
      std::string rows;
      for (int i = 1; i <= ends; ++i) {
        rows += (rows.empty() ? "[" : ",[") + std::to_string(i) +
                R"(,"5c0e7a21d94b36f8.0.0.1",1,"done",""])";
      }
      return ValueOf([&] {
               return ParseReport(
                   R"({"clock_ms":1,"born":17,"running":[],"ended":[)" + rows +
                   "]}");
             })
          .complete;
    };
    CPPUNIT_ASSERT(is_complete(499));
    CPPUNIT_ASSERT(!is_complete(500));
  }

  void ParsesReports() {
    const auto report = ValueOf([] {
      return ParseReport(
          R"({"clock_ms":482113,"born":17,"running":[
          ["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,900]],
          "ended":[[58,"5c0e7a21d94b36f8.3.1.9",1,"done",""],
          [59,"5c0e7a21d94b36f8.0.1.8",4,"alone","x"]]})");
    });
    CPPUNIT_ASSERT_EQUAL(std::int64_t{17}, report.life);
    CPPUNIT_ASSERT_EQUAL(17U, report.running.at(0).run.task.index);
    CPPUNIT_ASSERT_EQUAL(41, report.running[0].percent);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{900}, report.running[0].load);
    CPPUNIT_ASSERT_EQUAL(3U, report.ended.at(0).run.task.occurrence);
    CPPUNIT_ASSERT(report.ended[1].end == cell::RunEnd::kAlone);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{59}, report.ended[1].sequence);
  }

  void RefusesInvalidReports() {
    for (const std::string_view text :
         {"", "{}", R"({"clock_ms":1,"running":[["x",1,"",0]]})",
          R"({"clock_ms":1,"running":[7]})",
          R"({"clock_ms":1,"ended":[[1,"a.0.0.0",1,"gone",""]]})",
          R"({"clock_ms":1,"ended":[[1,"a.0.0.0"]]})"}) {
      CPPUNIT_ASSERT(KindOf([&] { return ParseReport(text); }) ==
                     ErrorKind::kMalformed);
    }
  }

  void ParsesAdvice() {
    const auto tickets = ValueOf([] {
      return ParseAdvice(
          R"({"good":[["i-1","c81e"],["i-2","d0"]],"valid_ms":3000})");
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tickets.size());
    CPPUNIT_ASSERT_EQUAL(std::string("d0"), tickets[1].text);
    CPPUNIT_ASSERT(KindOf([] { return ParseAdvice(R"({"good":[["i"]]})"); }) ==
                   ErrorKind::kMalformed);
    const std::vector<TargetId> names{"i-1", "i-2"};
    const auto request = AdviceCall({"5c0e7a21d94b36f8", 0, 1}, names);
    CPPUNIT_ASSERT(request.body.find("5c0e7a21d94b36f8.0.1") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

}  // namespace
}  // namespace buckthornmux::platform
