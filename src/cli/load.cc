#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <condition_variable>
#include <iomanip>
#include <mutex>
#include <ostream>
#include <thread>

#include "buckthornmux/detail/cli/job_options.h"
#include "buckthornmux/detail/cli/load_report.h"
#include "buckthornmux/detail/cli/options.h"

namespace buckthornmux::cli {
namespace {

namespace json = boost::json;
using SteadyClock = std::chrono::steady_clock;

constexpr std::string_view kExamples =
    "  buckthornmux load --entry 127.0.0.1:7001 --entry 127.0.0.1:7002 "
    "--key-file north.key --kind check-in --idempotent --rate 200 --count "
    "2000\n";
constexpr double kMaxRate = 100'000;  // Requests per second.
constexpr std::int64_t kMaxCount = 10'000'000;
constexpr std::int64_t kMaxConcurrency = 4096;

/// What one run sends.
struct LoadPlan {
  json::object job;  ///< Without an id.
  std::string run;   ///< Prefix of the ids.
  double rate = 0;   ///< Requests per second.
  std::int64_t count = 0;
  std::int64_t concurrency = 0;
};

/// Counts open requests and collects their ends.
struct LoadState {
  std::mutex mutex;
  std::condition_variable changed;
  std::int64_t open = 0;
  LoadReport report;
};

std::string OutcomeOf(const Outcome<net::HttpResponse>& outcome) {
  constexpr int kOk = 200;
  constexpr int kAccepted = 202;
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return std::string(AnswerFor(error->kind).name);
  }
  const auto& response = std::get<net::HttpResponse>(outcome);
  if (response.status == kAccepted) {
    return "accepted";
  }
  if (response.status == kOk) {
    return "ok";
  }
  return std::string(AnswerFor(ErrorFromResponse(response).kind).name);
}

/// Sends at the planned rate whatever the answers do: a request waits from
/// when it was due, also where the concurrency holds it back.
void SendAll(EntryClient& client, LoadPlan& plan, LoadState& state) {
  const auto began = SteadyClock::now();
  for (std::int64_t i = 0; i < plan.count; ++i) {
    const std::chrono::duration<double> offset(static_cast<double>(i) /
                                               plan.rate);
    const auto due =
        began + std::chrono::duration_cast<SteadyClock::duration>(offset);
    std::this_thread::sleep_until(due);
    {
      std::unique_lock lock(state.mutex);
      state.changed.wait(lock, [&] { return state.open < plan.concurrency; });
      ++state.open;
    }
    plan.job["id"] = plan.run + "-" + std::to_string(i);
    client.CallAsync(
        static_cast<std::size_t>(i),
        {.method = "POST",
         .target = "/v1/jobs",
         .body = json::serialize(plan.job)},
        [&state, due](const Outcome<net::HttpResponse>& outcome) {
          const auto wait =
              std::chrono::duration_cast<std::chrono::microseconds>(
                  SteadyClock::now() - due);
          const std::scoped_lock lock(state.mutex);
          state.report.Record(OutcomeOf(outcome), wait);
          --state.open;
          state.changed.notify_all();
        });
  }
  std::unique_lock lock(state.mutex);
  state.changed.wait(lock, [&] { return state.open == 0; });
}

void PrintReport(const LoadReport& report, std::chrono::duration<double> took,
                 bool as_json, std::ostream& out) {
  const WaitSummary waits = report.Waits();
  if (as_json) {
    json::object outcomes;
    for (const auto& [name, count] : report.Outcomes()) {
      outcomes[name] = count;
    }
    out << json::serialize(json::object{{"wait_ms",
                                         {{"p50", waits.p50},
                                          {"p90", waits.p90},
                                          {"p99", waits.p99},
                                          {"worst", waits.worst}}},
                                        {"outcomes", std::move(outcomes)},
                                        {"took_s", took.count()}})
        << '\n';
    return;
  }
  out << std::fixed << std::setprecision(2) << "wait in ms: p50 " << waits.p50
      << ", p90 " << waits.p90 << ", p99 " << waits.p99 << ", worst "
      << waits.worst << '\n';
  for (const auto& [name, count] : report.Outcomes()) {
    out << name << ": " << count << '\n';
  }
  out << "took " << took.count() << " s\n";
}

Result<LoadPlan> ReadPlan(const cxxopts::ParseResult& parsed) {
  LoadPlan plan;
  BOOST_LEAF_ASSIGN(plan.job, ReadJobOptions(parsed));
  plan.rate = parsed["rate"].as<double>();
  plan.count = parsed["count"].as<std::int64_t>();
  plan.concurrency = parsed["concurrency"].as<std::int64_t>();
  const bool rate_good = plan.rate > 0 && plan.rate <= kMaxRate;
  const bool count_good = plan.count > 0 && plan.count <= kMaxCount;
  const bool concurrency_good =
      plan.concurrency > 0 && plan.concurrency <= kMaxConcurrency;
  if (!rate_good || !count_good || !concurrency_good) {
    return Fail(ErrorKind::kUsage,
                "--rate takes up to 100000, --count up to 10000000, "
                "--concurrency up to 4096, each above 0");
  }
  BOOST_LEAF_ASSIGN(plan.run, NewRequestId());
  return plan;
}

}  // namespace

Result<int> RunLoadCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options(
      "buckthornmux load",
      "Sends jobs at a steady rate, spread over the entry hosts, and prints "
      "waiting times and outcomes. Nothing is retried.");
  AddEntryOptions(options);
  AddJobOptions(options);
  options.add_options()("rate", "Requests per second",
                        cxxopts::value<double>()->default_value("50"), "N")(
      "count", "Requests in all",
      cxxopts::value<std::int64_t>()->default_value("500"),
      "N")("concurrency", "Most open requests",
           cxxopts::value<std::int64_t>()->default_value("256"), "N");
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  BOOST_LEAF_AUTO(plan, ReadPlan(*parsed));
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  LoadState state;
  EntryClient client(entry_options);
  const auto began = SteadyClock::now();
  SendAll(client, plan, state);
  PrintReport(state.report, SteadyClock::now() - began,
              parsed->count("json") > 0, terminal.out);
  return 0;
}

}  // namespace buckthornmux::cli
