#include <ostream>

#include "buckthornmux/detail/cli/options.h"
#include "buckthornmux/detail/config/json_reader.h"
#include "buckthornmux/detail/config/store_config.h"

namespace buckthornmux::cli {
namespace {

constexpr std::string_view kExamples =
    "  buckthornmux audit --entry 127.0.0.1:7001 --key-file operator.key\n";
constexpr std::string_view kAnswer = "answer";

}  // namespace

Result<int> RunAuditCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options(
      "buckthornmux audit",
      "Shows changes, oldest first: when, who, what, revisions, summary.");
  AddEntryOptions(options);
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  EntryClient client(entry_options);
  BOOST_LEAF_AUTO(answer,
                  client.Call({.target = "/v1/audit"}, Retry::kIdempotent));
  if (parsed->count("json") > 0) {
    terminal.out << answer << '\n';
    return 0;
  }
  BOOST_LEAF_AUTO(value, config::ParseJson(answer, kAnswer));
  config::Problems problems;
  config::ObjectReader reader(value, kAnswer, "", problems);
  const boost::json::array* entries = reader.Array("entries", true);
  for (std::size_t i = 0; entries != nullptr && i < entries->size(); ++i) {
    config::ObjectReader read((*entries)[i], kAnswer, "/entries", problems);
    const config::AuditEntry entry{
        {},
        read.Integer("at", {}),
        read.String("who"),
        read.String("what"),
        static_cast<Revision>(read.Integer("from", {})),
        read.String("summary")};
    const auto to = static_cast<Revision>(read.Integer("to", {}));
    terminal.out << config::FormatAudit(entry, to) << '\n';
  }
  return 0;
}

}  // namespace buckthornmux::cli
