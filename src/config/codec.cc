#include "buckthornmux/detail/config/codec.h"

#include <boost/json/serialize.hpp>

#include "buckthornmux/detail/config/fields.h"
#include "buckthornmux/detail/config/json_reader.h"

namespace buckthornmux::config {
namespace {

namespace json = boost::json;

constexpr std::string_view kStoredName = "stored configuration";

json::array ToJson(const std::vector<std::string>& strings) {
  json::array array;
  array.reserve(strings.size());
  for (const std::string& text : strings) {
    array.emplace_back(text);
  }
  return array;
}

json::object ToJson(const TargetSpec& target) {
  json::object object{{"id", target.id},
                      {"address", target.address},
                      {"data_centre", target.data_centre},
                      {"rack", target.rack},
                      {"host", target.host},
                      {"shard", target.shard},
                      {"slots", target.capacity.slots},
                      {"cpu_milli", target.capacity.cpu_milli},
                      {"memory_mb", target.capacity.memory_mb},
                      {"accelerators", target.capacity.accelerators},
                      {"connections", target.connections}};
  if (!target.labels.empty()) {
    object["labels"] = ToJson(target.labels);
  }
  return object;
}

json::object ToJson(const Team& team) {
  return {
      {"name", team.name}, {"share", team.share}, {"limit_slots", team.limit}};
}

json::object ToJson(const WorkKind& kind) {
  return {{"name", kind.name},
          {"class", ClassName(kind.work_class)},
          {"open_to_all", kind.open_to_all},
          {"teams", ToJson(kind.teams)},
          {"demand",
           {{"slots", kind.demand.slots},
            {"cpu_milli", kind.demand.cpu_milli},
            {"memory_mb", kind.demand.memory_mb},
            {"accelerators", kind.demand.accelerators}}},
          {"expected_run_ms", kind.expected_run.count()},
          {"labels", ToJson(kind.labels)}};
}

json::object ToJson(const TeamKey& key) {
  return {{"id", key.id},
          {"team", key.team},
          {"salt", key.salt},
          {"hash", key.hash}};
}

json::object ToJson(const AuditEntry& entry) {
  return {{"id", entry.id},     {"at", entry.at},
          {"who", entry.who},   {"what", entry.what},
          {"from", entry.from}, {"summary", entry.summary}};
}

template <class T>
json::array ListToJson(const std::vector<T>& items) {
  json::array array;
  array.reserve(items.size());
  for (const T& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

json::object DeclaredToJson(const Config& config) {
  return {{"targets", ListToJson(config.targets)},
          {"teams", ListToJson(config.teams)},
          {"kinds", ListToJson(config.kinds)}};
}

TeamKey ReadKey(ObjectReader& reader) {
  TeamKey key;
  key.id = reader.RequiredString("id");
  key.team = reader.RequiredString("team");
  key.salt = reader.String("salt");
  key.hash = reader.String("hash");
  return key;
}

AuditEntry ReadAudit(ObjectReader& reader) {
  AuditEntry entry;
  entry.id = reader.String("id");
  entry.at = reader.Integer("at", {});
  entry.who = reader.String("who");
  entry.what = reader.String("what");
  entry.from = static_cast<Revision>(reader.Integer("from", {}));
  entry.summary = reader.String("summary");
  return entry;
}

/// Reads every object of an array field by `read`.
template <class T, class F>
void ReadList(ObjectReader& parent, std::string_view name, Problems& problems,
              std::vector<T>& items, F read) {
  const json::array* array = parent.Array(name, false);
  if (array == nullptr) {
    return;
  }
  items.reserve(array->size());
  for (std::size_t i = 0; i < array->size(); ++i) {
    ObjectReader reader((*array)[i], kStoredName,
                        JoinPath(parent.PathOf(name), std::to_string(i)),
                        problems);
    items.push_back(read(reader));
  }
}

}  // namespace

std::string EncodeConfig(const Config& config) {
  json::object object = DeclaredToJson(config);
  object["keys"] = ListToJson(config.keys);
  object["audit"] = ListToJson(config.audit);
  return json::serialize(object);
}

std::string EncodeForOperators(const Config& config) {
  json::object object = DeclaredToJson(config);
  json::array keys;
  for (const TeamKey& key : config.keys) {
    keys.push_back({{"id", key.id}, {"team", key.team}});
  }
  object["keys"] = std::move(keys);
  return json::serialize(object);
}

Result<Config> DecodeConfig(std::string_view text, Revision revision) {
  BOOST_LEAF_AUTO(document, ParseJson(text, kStoredName));
  Problems problems;
  Config config;
  config.revision = revision;
  ObjectReader root(document, kStoredName, "", problems);
  ReadList(root, "targets", problems, config.targets, [](ObjectReader& r) {
    TargetSpec target = ReadTarget(r);
    target.shard = r.String("shard");
    return target;
  });
  ReadList(root, "teams", problems, config.teams, ReadTeam);
  ReadList(root, "kinds", problems, config.kinds,
           [&](ObjectReader& r) { return ReadKind(r, kStoredName, problems); });
  ReadList(root, "keys", problems, config.keys, ReadKey);
  ReadList(root, "audit", problems, config.audit, ReadAudit);
  if (!problems.empty()) {
    return FailWith(problems);
  }
  return config;
}

}  // namespace buckthornmux::config
