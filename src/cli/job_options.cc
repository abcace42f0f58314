#include "buckthornmux/detail/cli/job_options.h"

#include <array>

#include "buckthornmux/detail/cli/options.h"
#include "buckthornmux/detail/config/keys.h"

namespace buckthornmux::cli {
namespace {

constexpr std::size_t kRequestIdBytes = 12;

/// An option with the field of the job that it fills.
struct NumberOption {
  const char* option;
  const char* field;
  const char* help;
};

constexpr auto kJobNumbers = std::to_array<NumberOption>({
    {"deadline-ms", "deadline_ms", "From now; urgent: end of the wait"},
    {"tasks", "tasks", "Count of tasks"},
    {"expected-run-ms", "expected_run_ms", "Expected run time of a task"},
});
constexpr auto kDemandNumbers = std::to_array<NumberOption>({
    {"slots", "slots", "Slots of each task"},
    {"cpu-milli", "cpu_milli", "Thousandths of a core of each task"},
    {"memory-mb", "memory_mb", "Megabytes of each task"},
    {"accelerators", "accelerators", "Accelerators of each task"},
});

template <std::size_t N>
void AddNumbers(cxxopts::Options& options,
                const std::array<NumberOption, N>& numbers) {
  for (const NumberOption& number : numbers) {
    options.add_options("job")(number.option, number.help,
                               cxxopts::value<std::int64_t>(), "N");
  }
}

template <std::size_t N>
void ReadNumbers(const cxxopts::ParseResult& parsed,
                 const std::array<NumberOption, N>& numbers,
                 boost::json::object& into) {
  for (const NumberOption& number : numbers) {
    if (parsed.count(number.option) > 0) {
      into[number.field] = parsed[number.option].as<std::int64_t>();
    }
  }
}

}  // namespace

void AddJobOptions(cxxopts::Options& options) {
  options.add_options("job")("kind", "Kind of work, as the rules declare it",
                             cxxopts::value<std::string>(), "NAME")(
      "idempotent", "The work may run more than once")(
      "all-at-once", "All tasks start together or none does")(
      "payload", "Passed to the tasks", cxxopts::value<std::string>(), "TEXT")(
      "payload-file", "Passed to the tasks", cxxopts::value<std::string>(),
      "FILE");
  AddNumbers(options, kJobNumbers);
  AddNumbers(options, kDemandNumbers);
}

Result<boost::json::object> ReadJobOptions(const cxxopts::ParseResult& parsed) {
  boost::json::object job;
  const std::string kind = TextOption(parsed, "kind");
  if (kind.empty()) {
    return Fail(ErrorKind::kUsage, "no kind of work is given: add --kind NAME");
  }
  job["kind"] = kind;
  job["idempotent"] = parsed.count("idempotent") > 0;
  if (parsed.count("all-at-once") > 0) {
    job["all_at_once"] = true;
  }
  ReadNumbers(parsed, kJobNumbers, job);
  boost::json::object demand;
  ReadNumbers(parsed, kDemandNumbers, demand);
  if (!demand.empty()) {
    job["demand"] = std::move(demand);
  }
  if (parsed.count("payload-file") > 0) {
    BOOST_LEAF_AUTO(payload, ReadFile(TextOption(parsed, "payload-file")));
    job["payload"] = payload;
  } else if (parsed.count("payload") > 0) {
    job["payload"] = TextOption(parsed, "payload");
  }
  return job;
}

Result<std::string> NewRequestId() {
  return config::RandomHex(kRequestIdBytes);
}

}  // namespace buckthornmux::cli
