#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <ostream>
#include <thread>

#include "buckthornmux/detail/cli/fleet_view.h"
#include "buckthornmux/detail/cli/options.h"
#include "buckthornmux/detail/cli/remote_config.h"
#include "buckthornmux/detail/config/check.h"
#include "buckthornmux/detail/config/json_reader.h"
#include "buckthornmux/detail/config/plan.h"

namespace buckthornmux::cli {
namespace {

namespace json = boost::json;

constexpr std::string_view kExamples =
    "  buckthornmux apply --entry 127.0.0.1:7001 --key-file operator.key "
    "--wait inventory.json rules.json\n"
    "  buckthornmux apply --entry 127.0.0.1:7001 --from 1207 inventory.json "
    "rules.json\n";
constexpr Millis kPollEvery{200};

struct Applied {
  Revision revision = 0;
  std::string summary;
};

Result<Applied> Post(EntryClient& client,
                     const std::vector<config::Document>& documents,
                     Revision expected, const std::string& who) {
  json::object body =
      json::parse(config::MergeDocuments(documents)).get_object();
  body["expected_revision"] = expected;
  body["who"] = who;
  BOOST_LEAF_AUTO(answer, client.Call({.method = "POST",
                                       .target = "/v1/config",
                                       .body = json::serialize(body)},
                                      Retry::kUnsent));
  BOOST_LEAF_AUTO(value, config::ParseJson(answer, "answer"));
  config::Problems problems;
  config::ObjectReader reader(value, "answer", "", problems);
  Applied applied;
  applied.revision = static_cast<Revision>(reader.Integer("revision", {}));
  applied.summary = reader.String("summary");
  if (!problems.empty()) {
    return config::FailWith(problems);
  }
  return applied;
}

/// Shows the other operator's change in full: what is in force now against
/// what was when this apply began.
void ShowOthersChange(EntryClient& client, const config::Config& before,
                      Terminal& terminal) {
  const auto now = Capture([&] { return FetchConfig(client); });
  if (const auto* current = std::get_if<config::Config>(&now)) {
    for (const auto& change : config::DiffConfigs(before, *current)) {
      terminal.err << "changed meanwhile: " << FormatChange(change) << '\n';
    }
  }
}

/// Waits until every registered entry host shows the revision or a later one.
Result<int> WaitForAll(EntryClient& client, Revision revision, Millis wait) {
  const auto until = std::chrono::steady_clock::now() + wait;
  while (true) {
    auto fleet = Capture([&] { return FetchFleet(client); });
    const auto* view = std::get_if<FleetView>(&fleet);
    const std::string behind = view == nullptr ? std::get<Error>(fleet).message
                                               : HostsBehind(*view, revision);
    if (behind.empty()) {
      return 0;
    }
    if (std::chrono::steady_clock::now() >= until) {
      return Fail(ErrorKind::kNotReady,
                  "revision " + std::to_string(revision) +
                      " is stored, but not yet seen in force everywhere: " +
                      behind + "; look with `status`");
    }
    std::this_thread::sleep_for(kPollEvery);
  }
}

}  // namespace

Result<int> RunApplyCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options(
      "buckthornmux apply",
      "Puts documents in force as a whole, or changes nothing.");
  AddEntryOptions(options);
  AddWhoOption(options);
  options.add_options()("from",
                        "Revision that `diff` showed; refused where another "
                        "is in force",
                        cxxopts::value<std::uint64_t>(), "REVISION")(
      "wait", "Return when every entry host has it")(
      "wait-ms", "Longest wait",
      cxxopts::value<std::int64_t>()->default_value("60000"), "MS");
  AddDocumentsOption(options);
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  BOOST_LEAF_AUTO(documents, ReadDocuments(*parsed));
  const config::Checked checked = config::CheckDocuments(documents);
  if (!checked.problems.empty()) {
    return config::FailWith(checked.problems);
  }
  BOOST_LEAF_AUTO(who, ReadWho(*parsed));
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  EntryClient client(entry_options);
  BOOST_LEAF_AUTO(before, FetchConfig(client));
  const Revision expected = parsed->count("from") > 0
                                ? (*parsed)["from"].as<std::uint64_t>()
                                : before.revision;
  const auto outcome =
      Capture([&] { return Post(client, documents, expected, who); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    if (error->kind == ErrorKind::kConfigConflict) {
      ShowOthersChange(client, before, terminal);
    }
    return Fail(error->kind, error->message, error->where);
  }
  const auto& applied = std::get<Applied>(outcome);
  if (parsed->count("json") > 0) {
    terminal.out << json::serialize(json::object{{"revision", applied.revision},
                                                 {"summary", applied.summary}})
                 << '\n';
  } else {
    terminal.out << "revision " << applied.revision << ": " << applied.summary
                 << '\n';
  }
  if (parsed->count("wait") == 0) {
    return 0;
  }
  return WaitForAll(client, applied.revision,
                    Millis((*parsed)["wait-ms"].as<std::int64_t>()));
}

}  // namespace buckthornmux::cli
