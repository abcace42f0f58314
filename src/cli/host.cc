#include "buckthornmux/detail/entry/host.h"

#include <cstdlib>

#include "buckthornmux/detail/cli/options.h"
#include "platform/names.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kExamples =
    "  buckthornmux host\n"
    "  buckthornmux host --settings /etc/buckthornmux/boot.conf\n";

}  // namespace

Result<int> RunHostCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options(
      "buckthornmux host",
      "Runs an entry host on the users' platform until SIGTERM.");
  options.add_options()(
      "settings",
      "Settings file of the platform; the environment names it otherwise",
      cxxopts::value<std::string>(), "FILE");
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  std::string path = TextOption(*parsed, "settings");
  if (path.empty()) {
    const char* named =
        std::getenv(std::string(platform::kSettingsVariable).c_str());
    path = named == nullptr ? "" : named;
  }
  if (path.empty()) {
    return Fail(ErrorKind::kUsage,
                "no settings are given: add --settings FILE");
  }
  return entry::RunHost(path);
}

}  // namespace buckthornmux::cli
