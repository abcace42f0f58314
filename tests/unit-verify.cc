// The checker finds each breach in logs made to break one property.
#include <cppunit/extensions/HelperMacros.h>

#include "standins/verify.h"

namespace buckthornmux::standins {
namespace {

constexpr const char* kEcho = R"({"echo":"e","target":"t1"})";

TargetLine Line(WallMillis at, const std::string& target,
                const std::string& what, const std::string& job = "j",
                const std::string& instance = "i") {
  TargetLine line;
  line.at = at;
  line.target = target;
  line.instance = instance;
  line.what = what;
  line.team = "a";
  line.job = job;
  line.task = "a/" + job + "/0";
  line.demand = {1, 1000, 100, 0};
  return line;
}

CallerLine Answer(const std::string& answer, const std::string& ran) {
  CallerLine line;
  line.id = "j";
  line.team = "a";
  line.answer = answer;
  line.ran = ran;
  line.echo = "e";
  line.result = kEcho;
  return line;
}

Evidence Base() {
  Evidence evidence;
  evidence.capacity = {{"t1", {1, 2000, 4096, 0}},
                       {"t2", {8, 16000, 32768, 0}}};
  evidence.limits = {{"a", 2}};
  evidence.target_lines = {Line(100, "t1", "start"), Line(200, "t1", "end")};
  evidence.caller_lines = {Answer("done", "yes")};
  return evidence;
}

/// Names of the broken properties, joined.
std::string Broken(const Evidence& evidence) {
  std::string names;
  for (const Finding& finding : Verify(evidence)) {
    names += finding.breaches > 0 ? finding.property + " " : "";
  }
  return names;
}

class VerifyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VerifyTest);
  CPPUNIT_TEST(GoodLogsPass);
  CPPUNIT_TEST(FindsSecondRun);
  CPPUNIT_TEST(FindsRunAfterNo);
  CPPUNIT_TEST(FindsRunOfWhatWasNeverSent);
  CPPUNIT_TEST(FindsOverlap);
  CPPUNIT_TEST(FindsOverCommitment);
  CPPUNIT_TEST(FindsTeamOverItsLimit);
  CPPUNIT_TEST(FindsCrossedAnswerAndVanishedJob);
  CPPUNIT_TEST(KilledProcessesEndTheirTasks);
  CPPUNIT_TEST(ReadsItsOwnLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GoodLogsPass() {
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken(Base()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Verify(Base()).size());
  }

  void FindsSecondRun() {
    Evidence evidence = Base();
    evidence.target_lines.push_back(Line(300, "t2", "start"));
    evidence.target_lines.push_back(Line(400, "t2", "end"));
    CPPUNIT_ASSERT_EQUAL(std::string("at_most_once "), Broken(evidence));
    for (TargetLine& line : evidence.target_lines) {
      line.idempotent = true;
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken(evidence));
  }

  void FindsRunOfWhatWasNeverSent() {
    Evidence evidence = Base();
    evidence.caller_lines = {Answer("error", "unsent")};
    CPPUNIT_ASSERT_EQUAL(std::string("not_run_is_true "), Broken(evidence));
    // Its other copy was sent, and ran.
    evidence.caller_lines.push_back(Answer("done", "yes"));
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken(evidence));
    evidence.caller_lines.push_back(Answer("error", "no"));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run_is_true "), Broken(evidence));
  }

  void FindsRunAfterNo() {
    Evidence evidence = Base();
    evidence.caller_lines = {Answer("error", "no")};
    CPPUNIT_ASSERT_EQUAL(std::string("not_run_is_true "), Broken(evidence));
    evidence.caller_lines = {Answer("error", "unknown")};
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken(evidence));
  }

  void FindsOverlap() {
    Evidence evidence = Base();
    evidence.target_lines.push_back(Line(199, "t2", "start"));
    evidence.target_lines.push_back(Line(300, "t2", "stop"));
    for (TargetLine& line : evidence.target_lines) {
      line.idempotent = true;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("no_overlap "), Broken(evidence));
  }

  void FindsOverCommitment() {
    Evidence evidence = Base();
    evidence.target_lines.push_back(Line(199, "t1", "start", "k"));
    CPPUNIT_ASSERT_EQUAL(std::string("within_capacity "), Broken(evidence));
    evidence.target_lines.back().at = 200;
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken(evidence));
  }

  void FindsTeamOverItsLimit() {
    Evidence evidence = Base();
    for (const char* job : {"k", "l"}) {
      evidence.target_lines.push_back(Line(150, "t2", "start", job));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("within_team_limit "), Broken(evidence));
  }

  void FindsCrossedAnswerAndVanishedJob() {
    Evidence evidence = Base();
    evidence.caller_lines.front().result = R"({"echo":"other"})";
    CPPUNIT_ASSERT_EQUAL(std::string("own_answer "), Broken(evidence));
    CallerLine pending = Answer("pending", "unknown");
    pending.patient = true;
    evidence.caller_lines = {pending};
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken(evidence));
    evidence.caller_lines.front().accepted = true;
    CPPUNIT_ASSERT_EQUAL(std::string("patient_has_end "), Broken(evidence));
  }

  void KilledProcessesEndTheirTasks() {
    Evidence evidence = Base();
    evidence.target_lines = {Line(100, "t1", "start"), Line(300, "t2", "start"),
                             Line(400, "t2", "end")};
    for (TargetLine& line : evidence.target_lines) {
      line.idempotent = true;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("no_overlap "), Broken(evidence));
    evidence.killed = {"t1"};
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken(evidence));
    evidence.killed = {};
    evidence.target_lines.push_back(Line(500, "t1", "refused", "x", "next"));
    CPPUNIT_ASSERT_EQUAL(std::string(), Broken(evidence));
  }

  void ReadsItsOwnLines() {
    const CallerLine line = Answer("done", "yes");
    const auto parsed = ParseCallerLine(FormatCallerLine(line));
    CPPUNIT_ASSERT_EQUAL(FormatCallerLine(line),
                         FormatCallerLine(parsed.value()));
    const auto cut = Capture([] { return ParseTargetLine(R"({"at":12)"); });
    CPPUNIT_ASSERT(std::get<Error>(cut).kind == ErrorKind::kMalformed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VerifyTest);

}  // namespace
}  // namespace buckthornmux::standins
