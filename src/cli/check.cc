#include "buckthornmux/detail/config/check.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

#include "buckthornmux/detail/cli/options.h"

namespace buckthornmux::cli {
namespace {

namespace json = boost::json;

constexpr std::string_view kExamples =
    "  buckthornmux check samples/poolchem/inventory.json "
    "samples/poolchem/rules.json\n";

void PrintJson(const config::Checked& checked, std::ostream& out) {
  json::array problems;
  for (const config::Problem& problem : checked.problems) {
    problems.push_back({{"file", problem.file},
                        {"path", problem.path},
                        {"message", problem.message}});
  }
  out << json::serialize(
             json::object{{"targets", checked.declared.targets.size()},
                          {"teams", checked.declared.teams.size()},
                          {"kinds", checked.declared.kinds.size()},
                          {"problems", std::move(problems)}})
      << '\n';
}

}  // namespace

Result<int> RunCheckCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options(
      "buckthornmux check",
      "Checks documents and reports every problem; changes nothing.");
  options.add_options()("json", "Print the findings as JSON");
  AddDocumentsOption(options);
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  BOOST_LEAF_AUTO(documents, ReadDocuments(*parsed));
  const config::Checked checked = config::CheckDocuments(documents);
  const bool as_json = parsed->count("json") > 0;
  if (as_json) {
    PrintJson(checked, terminal.out);
  }
  if (!checked.problems.empty()) {
    for (const config::Problem& problem : checked.problems) {
      terminal.err << FormatProblem(problem) << '\n';
    }
    return AnswerFor(ErrorKind::kConfigInvalid).exit_code;
  }
  if (!as_json) {
    terminal.out << "good: " << checked.declared.targets.size() << " targets, "
                 << checked.declared.teams.size() << " teams, "
                 << checked.declared.kinds.size() << " kinds\n";
  }
  return 0;
}

}  // namespace buckthornmux::cli
