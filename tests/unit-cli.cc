// The command line against a fake entry host: exit codes, errors, retries.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <initializer_list>
#include <mutex>
#include <sstream>
#include <thread>

#include "buckthornmux/detail/cli/command.h"
#include "buckthornmux/detail/cli/entry_client.h"
#include "buckthornmux/detail/cli/fleet_view.h"
#include "buckthornmux/detail/cli/load_report.h"
#include "buckthornmux/detail/config/operator_api.h"
#include "buckthornmux/detail/net/http_server.h"
#include "config_store_fake.h"

namespace buckthornmux::cli {
namespace {

namespace asio = boost::asio;

const std::string kSamples = std::string(SOURCE_DIR) + "/samples/poolchem/";
const std::string kInventory = kSamples + "inventory.json";
const std::string kRules = kSamples + "rules.json";

/// An entry host that answers by a function and remembers the requests.
class FakeEntry {
 public:
  using Answer = std::function<net::HttpResponse(const net::HttpRequest&)>;

  explicit FakeEntry(Answer answer)
      : m_answer(std::move(answer)),
        m_server(m_io, {},
                 [this](net::HttpRequest request, const auto& respond) {
                   const std::scoped_lock lock(m_mutex);
                   m_requests.push_back(request);
                   m_arrived.notify_all();
                   net::HttpResponse response = m_answer(request);
                   if (response.status != kSilent) {
                     respond(std::move(response));
                   }
                 }),
        m_thread([this] { m_io.run(); }) {}
  ~FakeEntry() {
    m_io.stop();
    m_thread.join();
  }
  FakeEntry(const FakeEntry&) = delete;
  FakeEntry& operator=(const FakeEntry&) = delete;

  static constexpr int kSilent = 0;  ///< Status of no answer at all.
  static constexpr std::chrono::seconds kArrivesWithin{20};

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_server.Port());
  }
  std::vector<net::HttpRequest> Requests() {
    const std::scoped_lock lock(m_mutex);
    return m_requests;
  }
  /// Waits for a request that its caller no longer waits for: a busy machine
  /// may read it late.
  net::HttpRequest FirstRequest() {
    std::unique_lock lock(m_mutex);
    m_arrived.wait_for(lock, kArrivesWithin,
                       [this] { return !m_requests.empty(); });
    return m_requests.at(0);
  }

 private:
  Answer m_answer;
  std::mutex m_mutex;
  std::condition_variable m_arrived;
  std::vector<net::HttpRequest> m_requests;
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_io.get_executor()};
  net::HttpServer m_server;
  std::thread m_thread;
};

/// What one command line gave.
struct Ran {
  int exit_code = 0;
  std::string out;
  std::string err;
};

Ran Run(const std::vector<std::string>& arguments) {
  std::vector<const char*> raw;
  raw.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    raw.push_back(argument.c_str());
  }
  std::ostringstream out;
  std::ostringstream err;
  Terminal terminal{out, err};
  const int code = RunCommand(raw, terminal);
  return {code, out.str(), err.str()};
}

void AssertHas(const std::string& text, const std::string& part) {
  CPPUNIT_ASSERT_MESSAGE("\"" + text + "\" lacks " + part,
                         text.find(part) != std::string::npos);
}

int CodeOf(ErrorKind kind) { return AnswerFor(kind).exit_code; }

net::HttpResponse JobAnswer(int status, const std::string& phase,
                            const std::string& more = {}) {
  return {.status = status,
          .body = R"({"id":"j1","phase":")" + phase + R"(","ran":"no")" + more +
                  "}"};
}

/// Answers operators' calls from a configuration store.
net::HttpResponse AnswerOperator(config::ConfigStoreFake& fake,
                                 const net::HttpRequest& request) {
  const auto outcome = Capture([&]() -> Result<std::string> {
    if (request.target == "/v1/config" && request.method == "GET") {
      return config::GetConfigCall(fake.Functions());
    }
    if (request.target == "/v1/config") {
      return config::PostConfigCall(fake.Functions(), request.body, 0);
    }
    return Fail(ErrorKind::kNotFound, "no such call");
  });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return {.status = AnswerFor(error->kind).http_status,
            .body = R"({"error":")" + std::string(AnswerFor(error->kind).name) +
                    R"(","message":"refused","ran":"no"})"};
  }
  return {.body = std::get<std::string>(outcome)};
}

class CliTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CliTest);
  CPPUNIT_TEST(EveryCommandHasHelpWithExamples);
  CPPUNIT_TEST(WrongUsageSaysWhatToDo);
  CPPUNIT_TEST(SamplesAreGood);
  CPPUNIT_TEST(UnreachableEntryGivesWayToTheNext);
  CPPUNIT_TEST(SilentEntryIsAskedAgainOnlyWhereSafe);
  CPPUNIT_TEST(ErrorAnswerGivesItsExitCode);
  CPPUNIT_TEST(FailedJobGivesItsExitCode);
  CPPUNIT_TEST(ConflictShowsWhatChangedMeanwhile);
  CPPUNIT_TEST(ApplyWaitsForEveryHost);
  CPPUNIT_TEST(LoadCountsOutcomes);
  CPPUNIT_TEST(PercentilesAreCloseAndTheWorstIsExact);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryCommandHasHelpWithExamples() {
    const Ran all = Run({"--help"});
    for (const Command& command : CommandTable()) {
      const std::string name(command.name);
      AssertHas(all.out, "  " + name);
      const Ran help = Run({name, "--help"});
      CPPUNIT_ASSERT_EQUAL(0, help.exit_code);
      AssertHas(help.out, "Examples:\n  buckthornmux " + name);
    }
  }

  void WrongUsageSaysWhatToDo() {
    for (const std::vector<std::string>& line :
         std::initializer_list<std::vector<std::string>>{
             {},
             {"aply"},
             {"check"},
             {"check", "--loud", "x.json"},
             {"submit", "--entry", "127.0.0.1:1"},
             {"submit", "--kind", "k"},
             {"load", "--kind", "k", "--entry", "127.0.0.1:1", "--rate", "0"},
             {"load", "--kind", "k", "--entry", "127.0.0.1:1", "--rate", "x"},
             {"drain", "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"},
             {"keys", "give", "--entry", "127.0.0.1:1", "--who", "a"},
             {"serve"}}) {
      const Ran ran = Run(line);
      CPPUNIT_ASSERT_EQUAL(CodeOf(ErrorKind::kUsage), ran.exit_code);
      AssertHas(ran.err, "buckthornmux: usage: ");
      CPPUNIT_ASSERT_EQUAL(ran.err.size() - 1, ran.err.find('\n'));
    }
    const Ran no_key =
        Run({"audit", "--entry", "127.0.0.1:1", "--key-file", "/dev/null"});
    AssertHas(no_key.err, "holds no key");
    const Ran missing = Run({"check", "no-such-file.json"});
    AssertHas(missing.err, "file_unreadable");
    AssertHas(missing.err, "[no-such-file.json]");
  }

  void SamplesAreGood() {
    for (const char* user : {"poolchem", "rijksbureau"}) {
      const std::string folder =
          std::string(SOURCE_DIR) + "/samples/" + user + "/";
      const Ran ran =
          Run({"check", folder + "inventory.json", folder + "rules.json"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(ran.err, 0, ran.exit_code);
      AssertHas(ran.out, "48 targets, 6 teams");
    }
    const Ran twice = Run({"check", kInventory, kInventory, kRules});
    CPPUNIT_ASSERT_EQUAL(CodeOf(ErrorKind::kConfigInvalid), twice.exit_code);
    AssertHas(twice.err, "inventory.json#/targets/47/address: ");
  }

  void UnreachableEntryGivesWayToTheNext() {
    FakeEntry entry([](const auto&) { return JobAnswer(202, "accepted"); });
    const Ran ran = Run({"submit", "--kind", "k", "--entry", "127.0.0.1:1",
                         "--entry", entry.Address()});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(ran.err, 0, ran.exit_code);
    const Ran none = Run({"submit", "--kind", "k", "--entry", "127.0.0.1:1"});
    CPPUNIT_ASSERT_EQUAL(CodeOf(ErrorKind::kPeerUnreachable), none.exit_code);
    AssertHas(none.err, "[127.0.0.1:1]");
  }

  /// A submit is repeated with the same id; a change of the configuration is
  /// not, because nobody knows whether it took effect.
  void SilentEntryIsAskedAgainOnlyWhereSafe() {
    FakeEntry silent([](const net::HttpRequest&) {
      return net::HttpResponse{.status = FakeEntry::kSilent};
    });
    FakeEntry entry([](const auto&) { return JobAnswer(200, "done"); });
    const std::vector<std::string> entries = {"--entry",      silent.Address(),
                                              "--entry",      entry.Address(),
                                              "--timeout-ms", "1000"};
    std::vector<std::string> submit = {"submit", "--kind", "k"};
    submit.insert(submit.end(), entries.begin(), entries.end());
    CPPUNIT_ASSERT_EQUAL(0, Run(submit).exit_code);
    CPPUNIT_ASSERT_EQUAL(silent.FirstRequest().body,
                         entry.Requests().at(0).body);
    std::vector<std::string> grant = {"keys", "grant", "--team",
                                      "t",    "--who", "anna"};
    grant.insert(grant.end(), entries.begin(), entries.end());
    CPPUNIT_ASSERT_EQUAL(CodeOf(ErrorKind::kOutcomeUnknown),
                         Run(grant).exit_code);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.Requests().size());
  }

  void ErrorAnswerGivesItsExitCode() {
    for (const ErrorAnswer& row : ErrorTable()) {
      FakeEntry entry([&](const auto&) {
        return net::HttpResponse{
            .status = row.http_status,
            .body = R"({"error":")" + std::string(row.name) +
                    R"(","message":"because","ran":"no"})"};
      });
      const Ran ran =
          Run({"status", "--job", "j1", "--entry", entry.Address()});
      CPPUNIT_ASSERT_EQUAL(row.exit_code, ran.exit_code);
      AssertHas(ran.err, std::string(row.name) + ": because (ran: no) [");
    }
    FakeEntry other([](const auto&) {
      return net::HttpResponse{.status = 502, .body = "<html>"};
    });
    AssertHas(Run({"audit", "--entry", other.Address()}).err, "status 502");
  }

  void FailedJobGivesItsExitCode() {
    FakeEntry entry([](const net::HttpRequest& request) {
      return request.method == "POST"
                 ? JobAnswer(202, "accepted")
                 : JobAnswer(200, "failed", R"(,"error":"task_failed")");
    });
    const Ran ran = Run({"submit", "--kind", "k", "--id", "a b", "--wait",
                         "--entry", entry.Address()});
    CPPUNIT_ASSERT_EQUAL(CodeOf(ErrorKind::kTaskFailed), ran.exit_code);
    AssertHas(entry.Requests().at(1).target, "/v1/jobs/a%20b?");
  }

  void ConflictShowsWhatChangedMeanwhile() {
    config::ConfigStoreFake fake;
    FakeEntry entry(
        [&](const auto& request) { return AnswerOperator(fake, request); });
    const std::vector<std::string> apply = {"apply", "--entry", entry.Address(),
                                            "--who", "anna",    kInventory,
                                            kRules};
    CPPUNIT_ASSERT_EQUAL(0, Run(apply).exit_code);
    const Ran same =
        Run({"diff", "--entry", entry.Address(), kInventory, kRules});
    AssertHas(same.out, "0 changes against revision");
    std::vector<std::string> stale = apply;
    stale.insert(stale.end(), {"--from", "0"});
    const Ran late = Run(stale);
    CPPUNIT_ASSERT_EQUAL(CodeOf(ErrorKind::kConfigConflict), late.exit_code);
    CPPUNIT_ASSERT_EQUAL(1, fake.puts);
  }

  void ApplyWaitsForEveryHost() {
    config::ConfigStoreFake fake;
    int polls = 0;
    FakeEntry entry([&](const net::HttpRequest& request) {
      if (request.target != "/v1/fleet") {
        return AnswerOperator(fake, request);
      }
      const Revision slow = ++polls < 3 ? 0 : fake.last;
      return net::HttpResponse{
          .body = R"({"members":[{"id":"e1","heard":true,"config_revision":)" +
                  std::to_string(fake.last) +
                  R"(},{"id":"e2","heard":true,"config_revision":)" +
                  std::to_string(slow) + "}]}"};
    });
    const Ran ran = Run({"apply", "--wait", "--entry", entry.Address(), "--who",
                         "anna", kInventory, kRules});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(ran.err, 0, ran.exit_code);
    CPPUNIT_ASSERT_EQUAL(3, polls);
    FleetView fleet;
    CPPUNIT_ASSERT(!HostsBehind(fleet, 1).empty());
    fleet.members = {{.id = "e1", .config_revision = 9, .heard = false}};
    AssertHas(HostsBehind(fleet, 1), "e1 does not answer");
  }

  void LoadCountsOutcomes() {
    int calls = 0;
    FakeEntry entry([&](const auto&) {
      return ++calls % 2 == 0
                 ? JobAnswer(200, "done")
                 : net::HttpResponse{.status = 503,
                                     .body = R"({"error":"cell_full"})"};
    });
    const Ran ran = Run({"load", "--kind", "k", "--count", "20", "--rate",
                         "1000", "--json", "--entry", entry.Address()});
    AssertHas(ran.out, R"("cell_full":10,"ok":10)");
    CPPUNIT_ASSERT_EQUAL(0, ran.exit_code);
  }

  void PercentilesAreCloseAndTheWorstIsExact() {
    LoadReport report;
    for (int i = 1; i <= 1000; ++i) {
      report.Record("ok", std::chrono::milliseconds(i));
    }
    const WaitSummary waits = report.Waits();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, waits.p50, 10);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(900, waits.p90, 18);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(990, waits.p99, 20);
    CPPUNIT_ASSERT_EQUAL(1000.0, waits.worst);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CliTest);

}  // namespace
}  // namespace buckthornmux::cli
