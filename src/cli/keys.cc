#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

#include "buckthornmux/detail/cli/options.h"
#include "buckthornmux/detail/config/json_reader.h"
#include "buckthornmux/detail/net/url.h"

namespace buckthornmux::cli {
namespace {

namespace json = boost::json;

constexpr std::string_view kExamples =
    "  buckthornmux keys grant --team north --entry 127.0.0.1:7001 --key-file "
    "operator.key\n"
    "  buckthornmux keys withdraw 4f1c22a9b0de --entry 127.0.0.1:7001\n"
    "  buckthornmux keys list --entry 127.0.0.1:7001 --json\n";
constexpr std::string_view kAnswer = "answer";

/// What the command line asked for.
struct KeysRequest {
  std::string action;
  std::string id;
  std::string team;
  std::string who;
  bool as_json = false;
};

Result<int> Grant(EntryClient& client, const KeysRequest& request,
                  Terminal& terminal) {
  if (request.team.empty()) {
    return Fail(ErrorKind::kUsage, "no team to grant to: add --team NAME");
  }
  const std::string body = json::serialize(
      json::object{{"team", request.team}, {"who", request.who}});
  BOOST_LEAF_AUTO(
      answer,
      client.Call({.method = "POST", .target = "/v1/keys", .body = body},
                  Retry::kUnsent));
  if (request.as_json) {
    terminal.out << answer << '\n';
    return 0;
  }
  BOOST_LEAF_AUTO(value, config::ParseJson(answer, kAnswer));
  config::Problems problems;
  config::ObjectReader reader(value, kAnswer, "", problems);
  terminal.out << reader.RequiredString("key") << '\n';
  terminal.err << "key " << reader.RequiredString("id") << " of team "
               << request.team << ": keep it now, it is not shown again\n";
  return 0;
}

Result<int> Withdraw(EntryClient& client, const KeysRequest& request,
                     Terminal& terminal) {
  if (request.id.empty()) {
    return Fail(ErrorKind::kUsage,
                "no key to withdraw: add its id, as `keys list` shows it");
  }
  const std::string target =
      net::FormatTarget({"/v1/keys/" + request.id, {{"who", request.who}}});
  BOOST_LEAF_AUTO(answer, client.Call({.method = "DELETE", .target = target},
                                      Retry::kIdempotent));
  if (request.as_json) {
    terminal.out << answer << '\n';
  } else {
    terminal.out << "key " << request.id
                 << " is withdrawn; it is refused within seconds\n";
  }
  return 0;
}

Result<int> List(EntryClient& client, const KeysRequest& request,
                 Terminal& terminal) {
  BOOST_LEAF_AUTO(answer,
                  client.Call({.target = "/v1/keys"}, Retry::kIdempotent));
  if (request.as_json) {
    terminal.out << answer << '\n';
    return 0;
  }
  BOOST_LEAF_AUTO(value, config::ParseJson(answer, kAnswer));
  config::Problems problems;
  config::ObjectReader reader(value, kAnswer, "", problems);
  const json::array* keys = reader.Array("keys", true);
  for (std::size_t i = 0; keys != nullptr && i < keys->size(); ++i) {
    config::ObjectReader key((*keys)[i], kAnswer, "/keys", problems);
    terminal.out << key.String("id") << ' ' << key.String("team") << '\n';
  }
  return 0;
}

}  // namespace

Result<int> RunKeysCommand(const Arguments& arguments, Terminal& terminal) {
  cxxopts::Options options("buckthornmux keys",
                           "Grants, withdraws and lists keys of teams.");
  AddEntryOptions(options);
  AddWhoOption(options);
  options.add_options()("team", "Team to grant to",
                        cxxopts::value<std::string>(), "NAME")(
      "action", "grant, withdraw or list", cxxopts::value<std::string>())(
      "id", "Key to withdraw", cxxopts::value<std::string>());
  options.parse_positional({"action", "id"});
  options.positional_help("grant|withdraw|list [ID]");
  BOOST_LEAF_AUTO(parsed,
                  ParseArguments(options, kExamples, arguments, terminal));
  if (!parsed) {
    return 0;
  }
  KeysRequest request{TextOption(*parsed, "action"),
                      TextOption(*parsed, "id"),
                      TextOption(*parsed, "team"),
                      {},
                      parsed->count("json") > 0};
  BOOST_LEAF_AUTO(entry_options, ReadEntryOptions(*parsed));
  EntryClient client(entry_options);
  if (request.action == "list") {
    return List(client, request, terminal);
  }
  BOOST_LEAF_ASSIGN(request.who, ReadWho(*parsed));
  if (request.action == "grant") {
    return Grant(client, request, terminal);
  }
  if (request.action == "withdraw") {
    return Withdraw(client, request, terminal);
  }
  return Fail(ErrorKind::kUsage,
              "expected `keys grant`, `keys withdraw ID` or "
              "`keys list`");
}

}  // namespace buckthornmux::cli
