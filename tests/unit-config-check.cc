// Checks of documents: each bad document is refused with its path.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

#include "buckthornmux/detail/config/check.h"
#include "buckthornmux/detail/config/codec.h"
#include "buckthornmux/detail/config/diff.h"
#include "buckthornmux/detail/config/plan.h"
#include "buckthornmux/detail/config/store_config.h"

namespace buckthornmux::config {
namespace {

constexpr Millis kPlanWithin{1000};  // 970 targets, 94 teams.

const std::string kTarget =
    R"({"id":"t1","address":"10.0.0.1:80","data_centre":"west-1","rack":"r1",
        "host":"h1","slots":8,"cpu_milli":16000,"memory_mb":32000})";
const std::string kRules =
    R"({"teams":[{"name":"north","share":0.4,"limit_slots":10},
                 {"name":"south","share":0.6,"limit_slots":20}],
        "kinds":[{"name":"preview","class":"urgent","teams":["north"]}]})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string Inventory(const std::string& targets = kTarget) {
  return R"({"targets":[)" + targets + "]}";
}

std::vector<Document> Documents(const std::string& inventory,
                                const std::string& rules = kRules) {
  return {{"fleet.json", inventory}, {"rules.json", rules}};
}

/// Asserts that the documents have exactly this problem, and part of its text.
void AssertOnly(const std::vector<Document>& documents, const std::string& file,
                const std::string& path, const std::string& part) {
  const Checked checked = CheckDocuments(documents);
  std::string all;
  for (const Problem& problem : checked.problems) {
    all += FormatProblem(problem) + "\n";
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(path + " in " + all, std::size_t{1},
                               checked.problems.size());
  CPPUNIT_ASSERT_EQUAL(file, checked.problems[0].file);
  CPPUNIT_ASSERT_EQUAL(path, checked.problems[0].path);
  CPPUNIT_ASSERT_MESSAGE(all, all.find(part) != std::string::npos);
}

void AssertTarget(const std::string& from, const std::string& to,
                  const std::string& path, const std::string& part) {
  AssertOnly(Documents(Inventory(Replaced(kTarget, from, to))), "fleet.json",
             "/targets/0" + path, part);
}

void AssertRules(const std::string& from, const std::string& to,
                 const std::string& path, const std::string& part) {
  AssertOnly(Documents(Inventory(), Replaced(kRules, from, to)), "rules.json",
             path, part);
}

Config Planned(const Config& current, const std::string& inventory,
               const std::string& rules = kRules) {
  const auto outcome =
      Capture([&] { return PlanApply(current, Documents(inventory, rules)); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    CPPUNIT_FAIL(error->message);
  }
  return std::get<Config>(outcome);
}

/// Targets in racks of eight, spread over three data centres.
std::string Fleet(std::size_t count) {
  std::ostringstream targets;
  for (std::size_t i = 0; i < count; ++i) {
    targets << (i == 0 ? "" : ",") << R"({"id":"t)" << i
            << R"(","address":"10.0.)" << i / 250 << "." << i % 250
            << R"(:80","data_centre":"west-)" << i % 3 << R"(","rack":"r)"
            << i % 3 << "-" << i / 24 << R"(","host":"h)" << i
            << R"(","slots":8,"cpu_milli":16000,"memory_mb":32000,)"
            << R"("accelerators":0,"connections":64,"labels":["ssd"]})";
  }
  return Inventory(targets.str());
}

/// Equal shares, rounded to a millionth; the first takes up the rest.
std::string ManyTeams(int count) {
  const double share = std::floor(1e6 / count) / 1e6;
  std::ostringstream teams;
  std::ostringstream names;
  for (int i = 0; i < count; ++i) {
    teams << (i == 0 ? "" : ",") << R"({"name":"team-)" << i << R"(","share":)"
          << (i == 0 ? 1 - share * (count - 1) : share)
          << R"(,"limit_slots":100})";
    names << (i == 0 ? "" : ",") << R"("team-)" << i << '"';
  }
  return R"({"teams":[)" + teams.str() +
         R"(],"kinds":[{"name":"route","class":"patient","teams":[)" +
         names.str() + "]}]}";
}

class CheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckTest);
  CPPUNIT_TEST(BadTargets);
  CPPUNIT_TEST(BadTeams);
  CPPUNIT_TEST(BadKinds);
  CPPUNIT_TEST(TwiceIsSaidWithTheFirstPlace);
  CPPUNIT_TEST(FieldTwiceIsNotPassedOver);
  CPPUNIT_TEST(EmptyOrMissingDocuments);
  CPPUNIT_TEST(AllProblemsInOnePass);
  CPPUNIT_TEST(MovedTargetNeedsANewId);
  CPPUNIT_TEST(ShardsAreKeptFilledAndSpread);
  CPPUNIT_TEST(KeysGoWithTheirTeamOnly);
  CPPUNIT_TEST(DiffNamesFieldsAndEffect);
  CPPUNIT_TEST(LargeFleetIsPlannedInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BadTargets() {
    AssertTarget(R"("slots":8)", R"("slots":0)", "/slots", "of 1 to");
    AssertTarget(R"("slots":8)", R"("slots":"8")", "/slots", "found string");
    AssertTarget(R"("memory_mb":32000)", R"("memory_mb":32e12)", "/memory_mb",
                 "megabytes");
    AssertTarget(R"("memory_mb":32000)", R"("memory_gb":32,"memory_mb":1)",
                 "/memory_gb", "unknown field");
    AssertTarget(R"("west-1")", R"("")", "/data_centre", "not empty");
    AssertTarget(R"("west-1")", R"("west/1")", "/data_centre", "letters");
    AssertTarget("10.0.0.1:80", "worker-1:80", "/address", "IP:port");
    AssertTarget("10.0.0.1:80", "10.0.0.1", "/address", "IP:port");
    AssertTarget("10.0.0.1:80", "10.0.0.1:0", "/address", "IP:port");
    AssertTarget(R"("host":"h1",)", "", "/host", "missing");
    AssertTarget(R"("id":"t1")", R"("labels":[7],"id":"t1")", "/labels/0",
                 "a string");
  }

  void BadTeams() {
    AssertRules("0.4", "0.3", "/teams", "add up to 0.9: expected 1");
    AssertRules("0.4", "\"40%\"", "/teams/0/share", "a number of 0 to 1");
    AssertRules("\"limit_slots\":10", "\"limit_slots\":0",
                "/teams/0/limit_slots", "of 1 to");
    AssertRules("\"limit_slots\":10", "\"limit_slots\":10,\"limit\":1",
                "/teams/0/limit", "unknown field");
  }

  void BadKinds() {
    const std::string teams = R"("teams":["north"])";
    const std::string kind = "/kinds/0";
    AssertRules(teams, R"("teams":[])", kind + "/teams", "no team may use");
    AssertRules(teams, R"("open_to_all":true)", kind + "/teams",
                "no team to charge");
    AssertRules(teams, R"("teams":["east"])", kind + "/teams/0",
                "no team \"east\"");
    AssertRules(teams, R"("teams":["north","north"])", kind + "/teams/1",
                "twice");
    AssertRules(teams, teams + R"(,"demand":{"slots":9})", kind + "/demand",
                "no target");
    AssertOnly(Documents(Inventory(),
                         Replaced(Replaced(kRules, "slots\":10", "slots\":5"),
                                  teams, teams + R"(,"demand":{"slots":6})")),
               "rules.json", kind + "/demand", "expected at most 5");
    AssertRules(teams, teams + R"(,"demand":{"cpu":1})", kind + "/demand/cpu",
                "unknown field");
    AssertRules(teams, teams + R"(,"labels":["gpu"])", kind + "/labels",
                "no target carries");
    AssertRules("urgent", "fast", kind + "/class", "urgent, patient or");
    AssertRules(teams, teams + R"(,"expected_run_ms":-1)",
                kind + "/expected_run_ms", "milliseconds");
  }

  void TwiceIsSaidWithTheFirstPlace() {
    const std::string other = Replaced(kTarget, "10.0.0.1:80", "10.0.0.2:80");
    AssertOnly(Documents(Inventory(kTarget + "," + other)), "fleet.json",
               "/targets/1/id", "stands already at fleet.json#/targets/0");
    const std::string renamed = Replaced(kTarget, "\"t1\"", "\"t2\"");
    AssertOnly(Documents(Inventory(kTarget + "," + renamed)), "fleet.json",
               "/targets/1/address", "\"10.0.0.1:80\" stands already");
    AssertRules("south", "north", "/teams/1/name", "\"north\" stands already");
    auto documents = Documents(Inventory());
    documents.push_back({"more.json", Inventory(other)});
    AssertOnly(documents, "more.json", "/targets/0/id", "fleet.json");
  }

  void FieldTwiceIsNotPassedOver() {
    AssertOnly(Documents(R"({"targets":[],"targets":[)" + kTarget + "]}"),
               "fleet.json", "/targets", "twice");
    AssertTarget(R"("slots":8)", R"("labels":["x","y"],"slots":8,"slots":8)",
                 "/slots", "twice");
  }

  void EmptyOrMissingDocuments() {
    AssertOnly(Documents(Inventory("")), "fleet.json", "/targets", "empty");
    AssertOnly({{"rules.json", kRules}}, "inventory", "", "missing");
    AssertOnly({{"fleet.json", Inventory()}}, "rules", "", "missing");
    AssertOnly({{"a.json", "["}, {"f.json", Inventory()}, {"r.json", kRules}},
               "a.json", "", "line 1");
    AssertOnly({{"a.json", "[]"}, {"f.json", Inventory()}, {"r.json", kRules}},
               "a.json", "", "expected an object");
  }

  void AllProblemsInOnePass() {
    const std::string bad = Replaced(Replaced(kTarget, "10.0.0.1:80", "x"),
                                     "\"slots\":8", "\"slots\":-1");
    const Checked checked = CheckDocuments(
        Documents(Inventory(bad), Replaced(kRules, "0.4", "0.5")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, checked.problems.size());
  }

  void MovedTargetNeedsANewId() {
    const Config current = Planned({}, Inventory());
    const auto outcome = Capture([&] {
      return PlanApply(
          current, Documents(Inventory(Replaced(kTarget, "west-1", "west-2"))));
    });
    const Error& error = std::get<Error>(outcome);
    CPPUNIT_ASSERT(error.kind == ErrorKind::kConfigInvalid);
    CPPUNIT_ASSERT_EQUAL(std::string("fleet.json#/targets/0/data_centre"),
                         error.where);
    CPPUNIT_ASSERT(error.message.find("new id") != std::string::npos);
  }

  void ShardsAreKeptFilledAndSpread() {
    const Config before = Planned({}, Fleet(100));
    const Config after = Planned(before, Fleet(400));
    std::map<ShardId, std::map<std::string, std::size_t>> racks;
    std::map<ShardId, std::size_t> sizes;
    for (std::size_t i = 0; i < after.targets.size(); ++i) {
      const TargetSpec& target = after.targets[i];
      CPPUNIT_ASSERT(target.shard.starts_with(target.data_centre + "/"));
      CPPUNIT_ASSERT(i >= 100 || target.shard == before.targets[i].shard);
      ++sizes[target.shard];
      ++racks[target.shard][target.rack];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, sizes.size());  // 3 x ceil(134 / 48).
    for (const auto& [shard, size] : sizes) {
      CPPUNIT_ASSERT(size <= kMaxTargetsPerShard);
      CPPUNIT_ASSERT_MESSAGE(shard, racks[shard].size() > 4);
    }
  }

  void KeysGoWithTheirTeamOnly() {
    Config current = Planned({}, Inventory());
    current.keys = {{"k1", "north", "s", "h"}, {"k2", "south", "s", "h"}};
    const std::string rules = Replaced(kRules, "south", "east");
    const Config next = Planned(current, Inventory(), rules);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.keys.size());
    const auto changes = DiffConfigs(current, next);
    const bool reported = std::ranges::any_of(changes, [](const Change& c) {
      return FormatChange(c) == "- key k2: refused within seconds";
    });
    CPPUNIT_ASSERT(reported);
  }

  void DiffNamesFieldsAndEffect() {
    const Config current = Planned({}, Inventory());
    CPPUNIT_ASSERT(DiffConfigs(current, current).empty());
    const Config next =
        Planned(current, Inventory(),
                Replaced(kRules, "\"limit_slots\":10", "\"limit_slots\":6"));
    const auto changes = DiffConfigs(current, next);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("~ team north [limit_slots 10 -> 6]: in force within "
                    "seconds; where lowered, what runs may finish and nothing "
                    "new starts above it"),
        FormatChange(changes[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("teams ~1: ~north (limit_slots 10 -> 6)"),
                         Summarize(changes));
    const auto many = DiffConfigs({}, Planned({}, Fleet(300)));
    CPPUNIT_ASSERT(Summarize(many).size() < 400);
  }

  void LargeFleetIsPlannedInTime() {
    const std::string fleet = Fleet(970);
    const std::string rules = ManyTeams(94);
    const auto began = std::chrono::steady_clock::now();
    Config config = Planned({}, fleet, rules);
    AddAudit(config,
             {"c", 0, "anna", "apply", 0, Summarize(DiffConfigs({}, config))});
    const std::string text = EncodeConfig(config);
    const auto took = std::chrono::steady_clock::now() - began;
    CPPUNIT_ASSERT(took < kPlanWithin);
    CPPUNIT_ASSERT(text.size() + kMaxAuditBytes < kMaxStoredBytes);
    std::cerr << "planned in "
              << std::chrono::duration_cast<Millis>(took).count() << " ms, "
              << text.size() << " bytes\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckTest);

}  // namespace
}  // namespace buckthornmux::config
