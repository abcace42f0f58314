// Odd entries of other writers: what is accepted lies within the bounds, the
// rest is refused, and no process ends. ODD_SEEDS=N runs N seeds.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <future>
#include <random>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"
#include "buckthornmux/detail/core/bounds.h"
#include "buckthornmux/detail/net/address.h"
#include "buckthornmux/detail/net/http_server.h"
#include "platform/adviser.h"
#include "platform/jobs.h"
#include "platform/kv_store.h"
#include "platform/orders.h"
#include "platform/rules.h"
#include "platform/targets.h"
#include "standins/io_thread.h"

namespace buckthornmux::platform {
namespace {

namespace json = boost::json;

constexpr std::string_view kTarget =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"a","version":"v1",
    "slots":8,"state":"draining","remaining_ms":1650,"cold_remaining_ms":20,
    "capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},"labels":["a","r1-3"],
    "clock_ms":482113,"sequence":4,"born":1700000000000})";

constexpr std::string_view kReport =
    R"({"clock_ms":482113,"born":1700000000000,"running":[
    ["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,900],
    ["5c0e7a21d94b36f8.0.1.18",1,"",0]],
    "ended":[[58,"5c0e7a21d94b36f8.3.1.9",1,"done",""],
    [59,"5c0e7a21d94b36f8.0.1.8",4,"alone","x"]]})";

constexpr std::string_view kRules =
    R"({"version":7,"routes":[{"name":"r","hostname":"h.example",
    "prefix":"/p/","target_runtime_ms":1000,"priority":1,"service":"s",
    "max_attempts":2,"stretch":2.2,"advice":{"decide_ms":380.0,
    "each_ms":5.4,"valid_ms":2500},"public":false}],
    "services":[{"name":"s","admission_check":false,"standby":true}],
    "limits":{"max_body_bytes":262144},
    "tenants":[{"name":"t","api_keys":["k1","k2"],"weight":31,
    "maximum":{"cpu":433663,"mem_mb":696900,"gpu":0}}]})";

constexpr std::string_view kJob =
    R"({"spec":"work","steps":[{"count":4,"cpu":500,"mem_mb":256,
    "estimated_ms":900,"affinity":"r1-3","anti_affinity":2,
    "constraints":"b"},{"count":20,"cpu":2000,"gpu":1,"after":[0],
    "gang":true,"may_miss":1,"target_ms":80,"image":"i"}],
    "repeat_count":3,"start_at_ms":1000,"interval_ms":2000})";

constexpr std::string_view kAdvice =
    R"({"good":[["i-1","c81e"],["i-2","d0"]],"valid_ms":3000})";

constexpr std::string_view kPage =
    R"({"items":[{"key":"servers/i-1","value":"Z29vZA==","revision":5,
    "created":4,"lease":0},{"key":"servers/i-2","value":"","revision":6}],
    "has_more":false,"current_rev":9})";

using Random = std::mt19937_64;

std::size_t Pick(Random& random, std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// A JSON value that a careless or faulty writer could leave in any field.
std::string OddValue(Random& random) {
  static const std::vector<std::string> kValues{
      "null",
      "true",
      "\"\"",
      "\"x\"",
      "{}",
      "[]",
      "[[1]]",
      "0",
      "-1",
      "-5",
      "1",
      "100",
      "101",
      "65536",
      "99999",
      "4294967295",
      "4294967296",
      "9007199254740993",
      "9223372036854775807",
      "-9223372036854775807",
      "-9223372036854775808",
      "9223372036854775808",
      "18446744073709551615",
      "1e18",
      "1e19",
      "1e30",
      "1e308",
      "-1e308",
      "1e400",
      "1.5",
      "-0.0",
      "5e-324",
      "\"10.0.0.1:0\"",
      "\"10.0.0.1:99999\"",
      "\"10.0.0.1\"",
      "\"host:80\"",
      "\"10.0.0.1\\u0000:80\"",
      "\"====\"",
      "\"a===\"",
      "\"ready\"",
      "\"\\ud800\"",
      "\"5c0e7a21d94b36f8.0.1.17\"",
      "\"5c0e7a21d94b36f8.0.1.99999999999\"",
      "\"..\""};
  constexpr std::size_t kNesting = 12;
  if (Pick(random, kNesting) == 0) {
    constexpr std::size_t kMaxDepth = 5000;
    const std::size_t depth = 1 + Pick(random, kMaxDepth);
    return std::string(depth, '[') + std::string(depth, ']');
  }
  return kValues[Pick(random, kValues.size())];
}

/// Replaces, removes or repeats one member at any depth; the values of the
/// replaced members are marked and filled in after the value is serialized.
constexpr std::string_view kMark = "@odd@";

void MutateMember(json::value& value, Random& random) {
  if (auto* object = value.if_object(); object != nullptr && !object->empty()) {
    auto member = object->begin() +
                  static_cast<std::ptrdiff_t>(Pick(random, object->size()));
    switch (Pick(random, 5)) {
      case 0:
        object->erase(member);
        return;
      case 1:
        member->value() = kMark;
        return;
      default:
        MutateMember(member->value(), random);
        return;
    }
  }
  if (auto* array = value.if_array(); array != nullptr && !array->empty()) {
    const std::size_t index = Pick(random, array->size());
    switch (Pick(random, 6)) {
      case 0:
        array->erase(array->begin() + static_cast<std::ptrdiff_t>(index));
        return;
      case 1:
        array->push_back(json::value((*array)[index]));
        return;
      case 2:
        (*array)[index] = kMark;
        return;
      default:
        MutateMember((*array)[index], random);
        return;
    }
  }
  value = kMark;
}

std::string Mutate(std::string_view real, Random& random) {
  json::value value = json::parse(real);
  for (std::size_t i = 1 + Pick(random, 3); i > 0; --i) {
    MutateMember(value, random);
  }
  std::string text = json::serialize(value);
  const std::string mark = '"' + std::string(kMark) + '"';
  for (auto at = text.find(mark); at != std::string::npos;
       at = text.find(mark, at)) {
    const std::string odd = OddValue(random);
    text.replace(at, mark.size(), odd);
    at += odd.size();
  }
  constexpr std::size_t kBytewise = 8;
  switch (Pick(random, kBytewise)) {
    case 0:
      text.resize(Pick(random, text.size() + 1));
      break;
    case 1:
      for (std::size_t i = 1 + Pick(random, 4); i > 0 && !text.empty(); --i) {
        char& byte = text[Pick(random, text.size())];
        byte = static_cast<char>(byte ^ (1 << Pick(random, 8)));
      }
      break;
    default:
      break;
  }
  return text;
}

int Seeds() {
  constexpr int kSeedsInCi = 300;
  const char* text = std::getenv("ODD_SEEDS");
  return text == nullptr ? kSeedsInCi : std::atoi(text);
}

/// Calls `parse` with mutations of `real` and `check` with what is accepted.
template <class Parse, class Check>
void ForMutations(std::string_view real, Parse parse, Check check) {
  constexpr int kMutationsPerSeed = 20;
  int accepted = 0;
  for (int seed = 1; seed <= Seeds(); ++seed) {
    Random random(static_cast<std::uint64_t>(seed));
    for (int i = 0; i < kMutationsPerSeed; ++i) {
      const std::string text = Mutate(real, random);
      auto outcome = Capture([&] { return parse(text, random); });
      if (const auto* error = std::get_if<Error>(&outcome)) {
        CPPUNIT_ASSERT_MESSAGE(text,
                               error->kind == ErrorKind::kMalformed ||
                                   error->kind == ErrorKind::kStoreUnknown);
        continue;
      }
      ++accepted;
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(seed) + ": " + text.substr(0, 2000),
          check(std::get<0>(outcome)));
    }
  }
  // The mutations must leave enough entries that are accepted.
  CPPUNIT_ASSERT(accepted > Seeds());
}

bool Within(const Resources& resources) {
  return bounds::kCpuMilli.Has(resources.cpu_milli) &&
         bounds::kMemoryMb.Has(resources.memory_mb) &&
         bounds::kAccelerators.Has(resources.accelerators);
}

bool Reachable(std::string_view address) {
  const auto outcome = Capture([&] { return net::ParseAddress(address); });
  const auto* parsed = std::get_if<net::Address>(&outcome);
  return parsed != nullptr && parsed->port > 0;
}

bool Within(const cell::TargetEntry& entry) {
  return bounds::IsId(entry.id) && Reachable(entry.address) && entry.life > 0 &&
         bounds::kStartTime.Has(entry.life) &&
         bounds::kDuration.Has(entry.remaining) &&
         bounds::kDuration.Has(entry.cold) && Within(entry.capacity);
}

bool Within(const cell::RunId& run) {
  return !run.task.job.empty() && bounds::kRunNumber.Has(run.number);
}

bool Within(const cell::TargetReport& report) {
  return (report.life == 0 || bounds::kStartTime.Has(report.life)) &&
         bounds::kClock.Has(report.clock_ms) &&
         std::ranges::all_of(report.running,
                             [](const cell::RunningReport& row) {
                               return Within(row.run) &&
                                      bounds::kPercent.Has(row.percent) &&
                                      bounds::kLoad.Has(row.load);
                             }) &&
         std::ranges::all_of(report.ended, [](const cell::EndReport& row) {
           return Within(row.run) && bounds::kEndNumber.Has(row.sequence);
         });
}

bool Within(const cell::Queue& queue) {
  return bounds::kPriority.Has(queue.priority) &&
         bounds::kStretch.Has(queue.stretch) &&
         bounds::kDuration.Has(queue.target_runtime) &&
         (!queue.advice || (bounds::kDuration.Has(queue.advice->decide) &&
                            bounds::kFractionalMs.Has(queue.advice->each_ms) &&
                            bounds::kDuration.Has(queue.advice->valid)));
}

bool Within(const cell::Team& team) {
  return bounds::kWeight.Has(team.weight) && team.maximum.cpu_milli >= 0 &&
         team.maximum.memory_mb >= 0 && team.maximum.accelerators >= 0 &&
         team.maximum.cpu_milli <=
             bounds::kMaxCpuMilli * bounds::kMaxTeamTargets &&
         team.maximum.memory_mb <=
             bounds::kMaxMemoryMb * bounds::kMaxTeamTargets &&
         team.maximum.accelerators <=
             bounds::kMaxAccelerators * bounds::kMaxTeamTargets;
}

bool Within(const cell::Rules& rules) {
  return bounds::kBodyBytes.Has(rules.max_body_bytes) &&
         std::ranges::all_of(
             rules.queues,
             [](const cell::Queue& queue) { return Within(queue); }) &&
         std::ranges::all_of(
             rules.teams, [](const cell::Team& team) { return Within(team); });
}

bool Within(const cell::StepSpec& step, std::size_t number) {
  constexpr std::uint32_t kMaxTasks = 10'000;
  return step.count >= 1 && step.count <= kMaxTasks && Within(step.demand) &&
         bounds::kDuration.Has(step.estimate) &&
         bounds::kDuration.Has(step.tail_target) &&
         step.after.size() <= number &&
         std::ranges::all_of(
             step.after, [&](std::uint32_t before) { return before < number; });
}

bool Within(const cell::JobSpec& job) {
  constexpr std::size_t kMaxSteps = 64;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    if (!Within(job.steps[i], i)) {
      return false;
    }
  }
  const cell::Recurrence& recurrence = job.recurrence;
  return !job.steps.empty() && job.steps.size() <= kMaxSteps &&
         bounds::kClock.Has(recurrence.first) &&
         bounds::kDuration.Has(recurrence.interval) &&
         static_cast<double>(recurrence.interval.count()) * recurrence.count <=
             static_cast<double>(bounds::kMaxRecurrenceMs);
}

/// The member of a JSON value at a path such as "routes.0.priority".
json::value& MemberAt(json::value& value, std::string_view path) {
  json::value* at = &value;
  while (!path.empty()) {
    const std::string_view name = path.substr(0, path.find('.'));
    path.remove_prefix(std::min(path.size(), name.size() + 1));
    at = at->is_array() ? &at->as_array().at(std::stoul(std::string(name)))
                        : &at->as_object()[name];
  }
  return *at;
}

/// A real message with one member replaced by JSON text.
std::string With(std::string_view real, std::string_view path,
                 std::string_view odd) {
  json::value value = json::parse(real);
  MemberAt(value, path) = json::parse(odd);
  return json::serialize(value);
}

std::string TargetWith(std::string_view path, std::string_view odd) {
  return With(kTarget, path, odd);
}

struct Odd {
  std::string_view path;
  std::string_view value;
};

/// Replaces one member at a time and expects each message to be refused.
template <class Parse>
void ExpectRefused(std::string_view real, const std::vector<Odd>& odds,
                   Parse parse) {
  for (const auto& [path, odd] : odds) {
    const std::string text = With(real, path, odd);
    const auto outcome = Capture([&] { return parse(text); });
    const auto* error = std::get_if<Error>(&outcome);
    const std::string what = std::string(path) + " " + std::string(odd);
    CPPUNIT_ASSERT_MESSAGE(what, error != nullptr);
    CPPUNIT_ASSERT_MESSAGE(what, error->kind == ErrorKind::kMalformed);
  }
}

/// A server of the key-value service that returns one body to all calls.
struct PageServer {
  standins::IoThread server_io;
  standins::IoThread client_io;
  std::string body;
  net::HttpServer server{
      server_io.io,
      {},
      [this](const net::HttpRequest&, const net::Responder& respond) {
        respond({.status = 200, .body = body});
      }};
  net::HttpClient client{client_io.io, {}};
  store::AsyncStore calls =
      MakeKvStore(client, "127.0.0.1:" + std::to_string(server.Port()), {});

  Outcome<store::ItemPage> List(std::string text) {
    body = std::move(text);
    std::promise<Outcome<store::ItemPage>> answer;
    calls.list("servers/", {}, [&](Outcome<store::ItemPage> outcome) {
      answer.set_value(std::move(outcome));
    });
    return answer.get_future().get();
  }
};

class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(RefusesOddTargets);
  CPPUNIT_TEST(AcceptsUnusualTargets);
  CPPUNIT_TEST(MutatedTargets);
  CPPUNIT_TEST(RefusesOddReports);
  CPPUNIT_TEST(BoundsHintsOfReports);
  CPPUNIT_TEST(MutatedReports);
  CPPUNIT_TEST(RefusesOddRules);
  CPPUNIT_TEST(BoundsTeamMaximum);
  CPPUNIT_TEST(MutatedRules);
  CPPUNIT_TEST(RefusesOddJobs);
  CPPUNIT_TEST(KeepsEachEarlierStepOnce);
  CPPUNIT_TEST(MutatedJobs);
  CPPUNIT_TEST(StepsThatNameAllEarlierOnes);
  CPPUNIT_TEST(MutatedAdvice);
  CPPUNIT_TEST(OddStoreValues);
  CPPUNIT_TEST(MutatedPages);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An entry of another writer with numbers out of range, without a usable
  // address or without an id was taken as a target.
  void RefusesOddTargets() {
    for (const auto& [name, odd] :
         std::vector<Odd>{{"address", R"("10.0.0.1:99999")"},
                          {"address", R"("10.0.0.1:0")"},
                          {"address", R"("10.0.0.1")"},
                          {"address", R"("host.example:80")"},
                          {"address", R"("0.0.0.0:80")"},
                          {"address", R"("224.0.0.1:80")"},
                          {"address", R"("10.0.0.1\u0000:80")"},
                          {"address", R"("")"},
                          {"capacity.cpu", "-5"},
                          {"capacity.cpu", "9223372036854775807"},
                          {"capacity.mem_mb", "9223372036854775807"},
                          {"capacity.gpu", "-1"},
                          {"remaining_ms", "9223372036854775807"},
                          {"remaining_ms", "-9223372036854775807"},
                          {"cold_remaining_ms", "9223372036854775807"},
                          {"born", "-1"},
                          {"born", "0"},
                          {"born", "1.5"},
                          {"born", "9223372036854775807"}}) {
      const std::string text = TargetWith(name, odd);
      const auto outcome =
          Capture([&] { return ParseTarget("servers/i-1", text); });
      const auto* error = std::get_if<Error>(&outcome);
      const std::string what = std::string(name) + " " + std::string(odd);
      CPPUNIT_ASSERT_MESSAGE(what, error != nullptr);
      CPPUNIT_ASSERT_MESSAGE(what, error->kind == ErrorKind::kMalformed);
      const std::string field(name.substr(0, name.find('.')));
      CPPUNIT_ASSERT_MESSAGE(what + ": " + error->message,
                             error->message.find(field) != std::string::npos);
    }
    for (const std::string& key :
         {std::string("servers/"), std::string("servers/a b"),
          std::string("servers/a\r\nX: y"),
          "servers/" + std::string(bounds::kMaxIdBytes + 1, 'i')}) {
      const auto outcome = Capture([&] { return ParseTarget(key, kTarget); });
      CPPUNIT_ASSERT_MESSAGE(key, std::holds_alternative<Error>(outcome));
    }
  }

  // Bounds must leave room for what real targets report.
  void AcceptsUnusualTargets() {
    for (const auto& [name, odd] :
         std::vector<Odd>{{"address", R"("[fd00::9]:8080")"},
                          {"capacity.cpu", "0"},
                          {"capacity.cpu", "1000000000"},
                          {"remaining_ms", "0"},
                          {"cold_remaining_ms", "86400000"},
                          {"born", "1"}}) {
      const std::string text = TargetWith(name, odd);
      const auto outcome =
          Capture([&] { return ParseTarget("servers/i-1", text); });
      CPPUNIT_ASSERT_MESSAGE(
          std::string(name) + " " + std::string(odd),
          std::holds_alternative<cell::TargetEntry>(outcome));
    }
  }

  void MutatedTargets() {
    ForMutations(
        kTarget,
        [](std::string_view text, Random& random) {
          constexpr std::size_t kEmptyId = 50;
          return ParseTarget(
              Pick(random, kEmptyId) == 0 ? "servers/" : "servers/i-1", text);
        },
        [](const cell::TargetEntry& entry) { return Within(entry); });
  }

  // Numbers out of range were cast from doubles, which is undefined, and an
  // end's number beyond 2^53 lost its last digits.
  void RefusesOddReports() {
    ExpectRefused(kReport,
                  {{"clock_ms", "9223372036854775807"},
                   {"clock_ms", "-1"},
                   {"born", "-1"},
                   {"born", "0"},
                   {"running.0.1", "0"},
                   {"running.0.1", "-1"},
                   {"running.0.1", "1e308"},
                   {"running.0.1", "1.5"},
                   {"running.0.1", "4294967295"},
                   {"running.0.3", "\"41\""},
                   {"ended.0.0", "0"},
                   {"ended.0.0", "-1"},
                   {"ended.0.0", "1e308"},
                   {"ended.0.0", "18446744073709551615"},
                   {"ended.0.2", "4294967296"}},
                  [](std::string_view text) { return ParseReport(text); });
  }

  // A percent or load out of range must not hide the runs and ends of a target.
  void BoundsHintsOfReports() {
    const auto read = [](std::string_view path, std::string_view odd) {
      const std::string text = With(kReport, path, odd);
      auto outcome = Capture([&] { return ParseReport(text); });
      const auto* report = std::get_if<cell::TargetReport>(&outcome);
      CPPUNIT_ASSERT_MESSAGE(text, report != nullptr);
      return report->running.at(0);
    };
    CPPUNIT_ASSERT_EQUAL(100, read("running.0.3", "1e308").percent);
    CPPUNIT_ASSERT_EQUAL(0, read("running.0.3", "-7").percent);
    CPPUNIT_ASSERT_EQUAL(41, read("running.0.3", "41.9").percent);
    CPPUNIT_ASSERT_EQUAL(bounds::kLoad.high, read("running.0.4", "1e308").load);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, read("running.0.4", "-1e308").load);
  }

  void MutatedReports() {
    ForMutations(
        kReport,
        [](std::string_view text, Random&) { return ParseReport(text); },
        [](const cell::TargetReport& report) { return Within(report); });
  }

  void RefusesOddRules() {
    ExpectRefused(kRules,
                  {{"routes.0.advice.decide_ms", "1e308"},
                   {"routes.0.advice.decide_ms", "-1"},
                   {"routes.0.advice.each_ms", "1e308"},
                   {"routes.0.advice.valid_ms", "9223372036854775807"},
                   {"routes.0.target_runtime_ms", "-9223372036854775807"},
                   {"routes.0.stretch", "1e308"},
                   {"routes.0.priority", "2147483647"},
                   {"routes.0.max_attempts", "4294967296"},
                   {"limits.max_body_bytes", "18446744073709551615"},
                   {"tenants.0.weight", "1e308"},
                   {"tenants.0.weight", "-1"},
                   {"tenants.0.maximum.cpu", "-1"}},
                  [](std::string_view text) { return ParseRules(text); });
  }

  // An operator may write a very large number for no limit.
  void BoundsTeamMaximum() {
    const std::string text =
        With(kRules, "tenants.0.maximum.cpu", "9223372036854775807");
    const auto outcome = Capture([&] { return ParseRules(text); });
    const auto* rules = std::get_if<cell::Rules>(&outcome);
    CPPUNIT_ASSERT(rules != nullptr);
    CPPUNIT_ASSERT_EQUAL(bounds::kMaxCpuMilli * bounds::kMaxTeamTargets,
                         rules->teams.at(0).maximum.cpu_milli);
  }

  void MutatedRules() {
    ForMutations(
        kRules, [](std::string_view text, Random&) { return ParseRules(text); },
        [](const cell::Rules& rules) { return Within(rules); });
  }

  // The product of a gang's tasks and their demand, and due times of
  // occurrences, overflowed.
  void RefusesOddJobs() {
    ExpectRefused(kJob,
                  {{"steps.0.cpu", "9223372036854775807"},
                   {"steps.0.mem_mb", "9223372036854775807"},
                   {"steps.0.gpu", "9223372036854775807"},
                   {"steps.0.estimated_ms", "9223372036854775807"},
                   {"steps.1.target_ms", "-9223372036854775807"},
                   {"steps.1.after", "[1]"},
                   {"steps.1.after", "[-1]"},
                   {"steps.1.after", "[1e308]"},
                   {"steps.0.count", "10001"},
                   {"start_at_ms", "9223372036854775807"},
                   {"start_at_ms", "-1"},
                   {"interval_ms", "9223372036854775807"},
                   {"interval_ms", "-1"},
                   {"repeat_count", "4294967296"}},
                  [](std::string_view text) { return ParseJob(text); });
    const std::string often = With(With(kJob, "repeat_count", "4294967295"),
                                   "interval_ms", "300000000000");
    CPPUNIT_ASSERT(std::holds_alternative<Error>(
        Capture([&] { return ParseJob(often); })));
    const std::string daily = With(With(kJob, "repeat_count", "4294967295"),
                                   "interval_ms", "86400000");
    CPPUNIT_ASSERT(std::holds_alternative<cell::JobSpec>(
        Capture([&] { return ParseJob(daily); })));
  }

  // A body full of one step's number cost time and memory at each planning.
  void KeepsEachEarlierStepOnce() {
    const std::string text = With(kJob, "steps.1.after", "[0,0,0,0]");
    const auto outcome = Capture([&] { return ParseJob(text); });
    const auto* job = std::get_if<cell::JobSpec>(&outcome);
    CPPUNIT_ASSERT(job != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job->steps.at(1).after.size());
  }

  void MutatedJobs() {
    ForMutations(
        kJob, [](std::string_view text, Random&) { return ParseJob(text); },
        [](const cell::JobSpec& job) { return Within(job); });
  }

  // Guards against following each path through the steps of a job: there are
  // 2^63 through these, so the test would not end.
  void StepsThatNameAllEarlierOnes() {
    constexpr std::uint32_t kSteps = 64;
    cell::JobSpec spec;
    for (std::uint32_t i = 0; i < kSteps; ++i) {
      cell::StepSpec step;
      step.estimate = Millis(10);
      for (std::uint32_t before = 0; before < i; ++before) {
        step.after.push_back(before);
      }
      spec.steps.push_back(step);
    }
    CPPUNIT_ASSERT(cell::ChainFrom(spec, 0) == Millis(640));
    CPPUNIT_ASSERT(cell::ChainFrom(spec, 60) == Millis(40));
    CPPUNIT_ASSERT(cell::ObjectiveOf({.stretch = 2}, spec) == Millis(1280));
  }

  void MutatedAdvice() {
    ForMutations(
        kAdvice,
        [](std::string_view text, Random&) { return ParseAdvice(text); },
        [](const std::vector<cell::Ticket>&) { return true; });
  }

  // Values that aren't base64 were decoded in part; where the library takes
  // padding alone, it also gave a length below zero.
  void OddStoreValues() {
    PageServer server;
    using Value = std::pair<std::string_view, std::string_view>;
    for (const auto& [encoded, decoded] :
         std::vector<Value>{{"====", ""},
                            {"========", ""},
                            {"=", ""},
                            {"a===", ""},
                            {"Zg==Zg==", ""},
                            {"Zg==\\n\\n\\n\\n", ""},
                            {"    ", ""},
                            {"Zg=", ""},
                            {"Zg==", "f"},
                            {"Zm8=", "fo"},
                            {"Zm9v", "foo"},
                            {"", ""}}) {
      const auto outcome = server.List(
          R"({"items":[{"key":"a","revision":1,"value":")" +
          std::string(encoded) +
          R"("},{"key":"b","revision":2,"value":"Z29vZA=="}],"current_rev":9})");
      const auto* page = std::get_if<store::ItemPage>(&outcome);
      CPPUNIT_ASSERT_MESSAGE(std::string(encoded), page != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(encoded), std::string(decoded),
                                   page->items.at(0).value);
      CPPUNIT_ASSERT_EQUAL(std::string("good"), page->items.at(1).value);
    }
  }

  void MutatedPages() {
    PageServer server;
    ForMutations(
        kPage,
        [&](std::string_view text, Random&) -> Result<store::ItemPage> {
          auto outcome = server.List(std::string(text));
          if (const auto* error = std::get_if<Error>(&outcome)) {
            return Fail(error->kind, error->message);
          }
          return std::get<store::ItemPage>(std::move(outcome));
        },
        [](const store::ItemPage& page) {
          return std::ranges::all_of(page.items, [](const store::Entry& item) {
            return !item.key.empty();
          });
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

}  // namespace
}  // namespace buckthornmux::platform
