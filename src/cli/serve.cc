#include "buckthornmux/detail/runtime/serve.h"

#include "buckthornmux/detail/cli/logging.h"
#include "buckthornmux/detail/cli/options.h"
#include "buckthornmux/detail/config/settings.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kExamples =
    "  buckthornmux serve --settings samples/entry-host.json\n";

}  // namespace

Result<int> RunServeCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options("buckthornmux serve",
                           "Runs an entry host until SIGTERM or `drain`.");
  options.add_options()("settings", "Settings file, JSON",
                        cxxopts::value<std::string>(), "FILE");
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  const std::string path = TextOption(*parsed, "settings");
  if (path.empty()) {
    return Fail(ErrorKind::kUsage,
                "no settings are given: add --settings FILE");
  }
  BOOST_LEAF_AUTO(text, ReadFile(path));
  BOOST_LEAF_AUTO(settings, config::ParseSettings(text, path));
  StartLogging(settings);
  return runtime::RunServe(settings);
}

}  // namespace buckthornmux::cli
