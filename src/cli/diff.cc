#include "buckthornmux/detail/config/diff.h"

#include <ostream>

#include "buckthornmux/detail/cli/options.h"
#include "buckthornmux/detail/cli/remote_config.h"
#include "buckthornmux/detail/config/plan.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kExamples =
    "  buckthornmux diff --entry 127.0.0.1:7001 --key-file operator.key "
    "inventory.json rules.json\n";

}  // namespace

Result<int> RunDiffCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options(
      "buckthornmux diff",
      "Shows what an apply of the documents would change, and how it takes "
      "force; changes nothing.");
  AddEntryOptions(options);
  AddDocumentsOption(options);
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  BOOST_LEAF_AUTO(documents, ReadDocuments(*parsed));
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  EntryClient client(entry_options);
  BOOST_LEAF_AUTO(current, FetchConfig(client));
  BOOST_LEAF_AUTO(next, config::PlanApply(current, documents));
  const auto changes = config::DiffConfigs(current, next);
  if (parsed->count("json") > 0) {
    terminal.out << R"({"revision":)" << current.revision << R"(,"changes":)"
                 << ChangesJson(changes) << "}\n";
    return 0;
  }
  for (const config::Change& change : changes) {
    terminal.out << FormatChange(change) << '\n';
  }
  terminal.out << changes.size() << " changes against revision "
               << current.revision << "; apply just these with --from "
               << current.revision << '\n';
  return 0;
}

}  // namespace buckthornmux::cli
