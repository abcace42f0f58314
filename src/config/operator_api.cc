#include "buckthornmux/detail/config/operator_api.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <functional>
#include <utility>
#include <vector>

#include "buckthornmux/detail/config/codec.h"
#include "buckthornmux/detail/config/diff.h"
#include "buckthornmux/detail/config/documents.h"
#include "buckthornmux/detail/config/json_reader.h"
#include "buckthornmux/detail/config/keys.h"
#include "buckthornmux/detail/config/plan.h"
#include "buckthornmux/detail/config/store_config.h"

namespace buckthornmux::config {
namespace {

namespace json = boost::json;

constexpr std::string_view kBody = "body";
constexpr std::size_t kMaxWho = 64;  // Bytes.
constexpr std::size_t kChangeIdBytes = 8;
constexpr int kKeyChangeTries = 5;

/// Who changes what, and when.
struct ChangeBy {
  std::string who;
  std::string_view what;
  WallMillis at = 0;
};

/// `who` goes into the audit trail and into logs as it is.
void CheckWho(ObjectReader& reader, const std::string& who) {
  const bool printable = std::ranges::all_of(who, [](char c) {
    return c >= ' ' && c <= '~' && c != '"' && c != '\\';
  });
  if (who.size() > kMaxWho || !printable) {
    reader.Report("who", "expected at most " + std::to_string(kMaxWho) +
                             " printable ASCII characters without quotes");
  }
}

Result<Revision> StoreChange(const store::Store& store, Config next,
                             const ChangeBy& by, std::string summary) {
  BOOST_LEAF_AUTO(id, RandomHex(kChangeIdBytes));
  const Revision expected = next.revision;
  AddAudit(next, {id, by.at, by.who, std::string(by.what), expected,
                  std::move(summary)});
  return StoreConfig(store, next, expected);
}

/// Changes keys on whatever is in force: two operators who grant or withdraw
/// different keys at once both succeed.
Result<Revision> ChangeKeys(
    const store::Store& store, const ChangeBy& by,
    const std::function<Result<std::string>(Config&)>& change) {
  for (int tries = 1;; ++tries) {
    BOOST_LEAF_AUTO(config, LoadConfig(store));
    BOOST_LEAF_AUTO(summary, change(config));
    const auto outcome =
        Capture([&] { return StoreChange(store, config, by, summary); });
    if (const auto* revision = std::get_if<Revision>(&outcome)) {
      return *revision;
    }
    const Error& error = std::get<Error>(outcome);
    if (error.kind != ErrorKind::kConfigConflict || tries == kKeyChangeTries) {
      return Fail(error.kind, error.message, error.where);
    }
  }
}

/// A configuration change as posted.
struct PostedConfig {
  Revision expected = 0;
  std::string who;
  std::vector<Document> documents;
};

Result<PostedConfig> ReadPosted(std::string_view body) {
  BOOST_LEAF_AUTO(value, ParseJson(body, kBody));
  Problems problems;
  ObjectReader reader(value, kBody, "", problems);
  PostedConfig posted;
  posted.expected =
      static_cast<Revision>(reader.Integer("expected_revision", {}));
  posted.who = reader.RequiredString("who");
  CheckWho(reader, posted.who);
  for (const std::string_view name : {"inventory", "rules"}) {
    if (const json::value* document = reader.Value(name)) {
      posted.documents.push_back(
          {std::string(name), json::serialize(*document)});
    }
  }
  reader.ReportUnknownFields();
  if (!problems.empty()) {
    return FailWith(problems);
  }
  return posted;
}

}  // namespace

Result<std::string> GetConfigCall(const store::Store& store) {
  BOOST_LEAF_AUTO(config, LoadConfig(store));
  return R"({"revision":)" + std::to_string(config.revision) + R"(,"config":)" +
         EncodeForOperators(config) + "}";
}

Result<std::string> PostConfigCall(const store::Store& store,
                                   std::string_view body, WallMillis now) {
  BOOST_LEAF_AUTO(posted, ReadPosted(body));
  BOOST_LEAF_AUTO(current, LoadConfig(store));
  if (current.revision != posted.expected) {
    return ConfigConflict(current, posted.expected);
  }
  BOOST_LEAF_AUTO(next, PlanApply(current, posted.documents));
  const auto changes = DiffConfigs(current, next);
  const std::string summary = Summarize(changes);
  Revision revision = current.revision;
  if (!changes.empty()) {
    BOOST_LEAF_ASSIGN(revision,
                      StoreChange(store, std::move(next),
                                  {posted.who, "apply", now}, summary));
  }
  return json::serialize(
      json::object{{"revision", revision}, {"summary", summary}});
}

Result<std::string> GrantKeyCall(const store::Store& store,
                                 std::string_view body, WallMillis now) {
  BOOST_LEAF_AUTO(value, ParseJson(body, kBody));
  Problems problems;
  ObjectReader reader(value, kBody, "", problems);
  const std::string team = reader.RequiredString("team");
  const std::string who = reader.RequiredString("who");
  CheckWho(reader, who);
  reader.ReportUnknownFields();
  if (!problems.empty()) {
    return FailWith(problems);
  }
  GrantedKey key;
  const auto grant = [&](Config& config) -> Result<std::string> {
    BOOST_LEAF_ASSIGN(key, MakeKey(config, team));
    config.keys.push_back(key.stored);
    return "key " + key.stored.id + " for team " + team;
  };
  BOOST_LEAF_AUTO(revision, ChangeKeys(store, {who, "grant", now}, grant));
  return json::serialize(json::object{
      {"id", key.stored.id}, {"key", key.text}, {"revision", revision}});
}

Result<std::string> WithdrawKeyCall(const store::Store& store,
                                    std::string_view id, std::string_view who,
                                    WallMillis now) {
  Problems problems;
  const json::value query = json::object{{"who", who}};
  ObjectReader reader(query, "query", "", problems);
  const std::string operator_name = reader.RequiredString("who");
  CheckWho(reader, operator_name);
  if (!problems.empty()) {
    return FailWith(problems);
  }
  const auto withdraw = [&](Config& config) -> Result<std::string> {
    const auto key = std::ranges::find(config.keys, id, &TeamKey::id);
    if (key == config.keys.end()) {
      return Fail(ErrorKind::kNotFound,
                  "no key \"" + std::string(id) +
                      "\" is in force: look with `keys list`");
    }
    std::string summary = "key " + key->id + " of team " + key->team;
    config.keys.erase(key);
    return summary;
  };
  BOOST_LEAF_AUTO(
      revision, ChangeKeys(store, {operator_name, "withdraw", now}, withdraw));
  return json::serialize(json::object{{"id", id}, {"revision", revision}});
}

Result<std::string> ListKeysCall(const store::Store& store) {
  BOOST_LEAF_AUTO(config, LoadConfig(store));
  json::array keys;
  for (const TeamKey& key : config.keys) {
    keys.push_back({{"id", key.id}, {"team", key.team}});
  }
  return json::serialize(
      json::object{{"revision", config.revision}, {"keys", std::move(keys)}});
}

Result<std::string> ListAuditCall(const store::Store& store) {
  BOOST_LEAF_AUTO(config, LoadConfig(store));
  json::array entries;
  for (std::size_t i = 0; i < config.audit.size(); ++i) {
    const AuditEntry& entry = config.audit[i];
    entries.push_back({{"at", entry.at},
                       {"who", entry.who},
                       {"what", entry.what},
                       {"from", entry.from},
                       {"to", RevisionOf(config, i)},
                       {"summary", entry.summary}});
  }
  return json::serialize(json::object{{"revision", config.revision},
                                      {"entries", std::move(entries)}});
}

}  // namespace buckthornmux::config
