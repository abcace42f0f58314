#include <algorithm>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <ostream>

#include "buckthornmux/detail/cli/job_options.h"
#include "buckthornmux/detail/cli/job_view.h"
#include "buckthornmux/detail/cli/options.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kExamples =
    "  buckthornmux submit --entry 127.0.0.1:7001 --key-file north.key "
    "--kind check-in --idempotent --deadline-ms 2000\n"
    "  buckthornmux submit --entry 127.0.0.1:7001 --key-file north.key "
    "--kind route-rebuild --id depot-7 --deadline-ms 3600000 --wait\n";
constexpr Millis kLongestPoll{10'000};

/// Asks again until the job has ended or the time is up.
Result<std::string> WaitForEnd(EntryClient& client, const std::string& id,
                               const std::string& kind, Millis wait) {
  const auto until = std::chrono::steady_clock::now() + wait;
  while (true) {
    const auto left = std::chrono::duration_cast<Millis>(
        until - std::chrono::steady_clock::now());
    const Millis poll = std::clamp(left, Millis(1), kLongestPoll);
    BOOST_LEAF_AUTO(body, FetchJob(client, id, kind, poll));
    BOOST_LEAF_AUTO(job, ParseJobView(body));
    if (IsEnded(job) || left <= poll) {
      return body;
    }
  }
}

}  // namespace

Result<int> RunSubmitCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options(
      "buckthornmux submit",
      "Asks for a job. The same id meets the first try, so a submit that was "
      "not answered may be repeated with it.");
  AddEntryOptions(options);
  AddJobOptions(options);
  options.add_options()("id", "Request id; else a random one",
                        cxxopts::value<std::string>(),
                        "ID")("wait", "Return when the job has ended")(
      "wait-ms", "Longest wait",
      cxxopts::value<std::int64_t>()->default_value("60000"), "MS");
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  BOOST_LEAF_AUTO(job, ReadJobOptions(*parsed));
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  std::string id = TextOption(*parsed, "id");
  if (id.empty()) {
    BOOST_LEAF_ASSIGN(id, NewRequestId());
  }
  job["id"] = id;
  EntryClient client(entry_options);
  BOOST_LEAF_AUTO(body, client.Call({.method = "POST",
                                     .target = "/v1/jobs",
                                     .body = boost::json::serialize(job)},
                                    Retry::kIdempotent));
  if (parsed->count("wait") > 0) {
    const std::string kind =
        entry_options.key.empty() ? TextOption(*parsed, "kind") : "";
    BOOST_LEAF_ASSIGN(
        body, WaitForEnd(client, id, kind,
                         Millis((*parsed)["wait-ms"].as<std::int64_t>())));
  }
  BOOST_LEAF_AUTO(view, ParseJobView(body));
  if (parsed->count("json") > 0) {
    terminal.out << body << '\n';
  } else {
    PrintJob(view, terminal.out);
  }
  return ExitCodeOf(view);
}

}  // namespace buckthornmux::cli
