#include <ostream>

#include "buckthornmux/detail/cli/job_view.h"
#include "buckthornmux/detail/cli/options.h"
#include "buckthornmux/detail/net/url.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kExamples =
    "  buckthornmux cancel depot-7 --entry 127.0.0.1:7001 --key-file "
    "north.key\n";

}  // namespace

Result<int> RunCancelCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options("buckthornmux cancel",
                           "Takes a job back; running tasks are stopped.");
  AddEntryOptions(options);
  options.add_options()("id", "Request id of the job",
                        cxxopts::value<std::string>())(
      "kind", "For a job submitted without a key",
      cxxopts::value<std::string>(), "NAME");
  options.parse_positional("id");
  options.positional_help("ID");
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  const std::string id = TextOption(*parsed, "id");
  if (id.empty()) {
    return Fail(ErrorKind::kUsage, "no job to cancel: add its request id");
  }
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  net::RequestTarget target{"/v1/jobs/" + id, {}};
  const std::string kind = TextOption(*parsed, "kind");
  if (!kind.empty()) {
    target.query["kind"] = kind;
  }
  EntryClient client(entry_options);
  BOOST_LEAF_AUTO(body, client.Call({.method = "DELETE",
                                     .target = net::FormatTarget(target)},
                                    Retry::kIdempotent));
  if (parsed->count("json") > 0) {
    terminal.out << body << '\n';
    return 0;
  }
  BOOST_LEAF_AUTO(view, ParseJobView(body));
  PrintJob(view, terminal.out);
  return 0;
}

}  // namespace buckthornmux::cli
