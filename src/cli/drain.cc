#include <ostream>

#include "buckthornmux/detail/cli/options.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kExamples =
    "  buckthornmux drain --entry 127.0.0.1:7001 --key-file operator.key\n";

}  // namespace

Result<int> RunDrainCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options(
      "buckthornmux drain",
      "Shuts one entry host down: out of rotation, answer what is open, hand "
      "over, stop.");
  AddEntryOptions(options);
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  if (entry_options.entries.size() != 1) {
    return Fail(ErrorKind::kUsage,
                "name the one entry host that shuts down: --entry once");
  }
  EntryClient client(entry_options);
  BOOST_LEAF_AUTO(body, client.Call({.method = "POST", .target = "/v1/drain"},
                                    Retry::kUnsent));
  if (parsed->count("json") > 0) {
    terminal.out << body << '\n';
  } else {
    terminal.out << entry_options.entries.front()
                 << " shuts down; its last log line says when it is done\n";
  }
  return 0;
}

}  // namespace buckthornmux::cli
