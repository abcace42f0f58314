#include "buckthornmux/detail/cli/job_view.h"

#include <ostream>

#include "buckthornmux/detail/config/json_reader.h"
#include "buckthornmux/detail/config/store_config.h"
#include "buckthornmux/detail/net/url.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kAnswer = "job status";

}  // namespace

Result<JobView> ParseJobView(std::string_view body) {
  BOOST_LEAF_AUTO(value, config::ParseJson(body, kAnswer));
  config::Problems problems;
  config::ObjectReader reader(value, kAnswer, "", problems);
  JobView job;
  job.id = reader.RequiredString("id");
  job.phase = reader.RequiredString("phase");
  job.ran = reader.String("ran");
  job.error = reader.String("error");
  if (const auto* results = reader.Array("results", false)) {
    for (const auto& result : *results) {
      job.results.emplace_back(result.is_string() ? result.get_string().c_str()
                                                  : "");
    }
  }
  if (const auto* history = reader.Array("history", false)) {
    for (const auto& step : *history) {
      config::ObjectReader read(step, kAnswer, "/history", problems);
      job.history.push_back({read.Integer("at", {}), read.String("what")});
    }
  }
  if (!problems.empty()) {
    return Fail(ErrorKind::kMalformed, "the answer is no job status: " +
                                           FormatProblem(problems.front()));
  }
  return job;
}

Result<std::string> FetchJob(EntryClient& client, const std::string& id,
                             const std::string& kind, Millis wait) {
  net::RequestTarget target{"/v1/jobs/" + id, {}};
  if (!kind.empty()) {
    target.query["kind"] = kind;
  }
  if (wait > Millis(0)) {
    target.query["wait_ms"] = std::to_string(wait.count());
  }
  return client.Call({.target = net::FormatTarget(target)}, Retry::kIdempotent);
}

bool IsEnded(const JobView& job) {
  return job.phase == "done" || job.phase == "failed" ||
         job.phase == "cancelled";
}

void PrintJob(const JobView& job, std::ostream& out) {
  out << "job " << job.id << ": " << job.phase << ", ran: " << job.ran;
  if (!job.error.empty()) {
    out << ", error: " << job.error;
  }
  out << '\n';
  for (std::size_t i = 0; i < job.results.size(); ++i) {
    if (!job.results[i].empty()) {
      out << "result " << i << ": " << job.results[i] << '\n';
    }
  }
  for (const JobViewStep& step : job.history) {
    out << config::FormatTime(step.at) << ' ' << step.what << '\n';
  }
}

int ExitCodeOf(const JobView& job) {
  return job.error.empty() ? 0 : AnswerFor(KindFromName(job.error)).exit_code;
}

}  // namespace buckthornmux::cli
