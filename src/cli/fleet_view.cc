#include "buckthornmux/detail/cli/fleet_view.h"

#include <utility>

#include "buckthornmux/detail/config/json_reader.h"

namespace buckthornmux::cli {
namespace {

namespace json = boost::json;
using config::ObjectReader;

constexpr std::string_view kAnswer = "answer of GET /v1/fleet";

template <class T, class F>
void ReadList(ObjectReader& parent, std::string_view name,
              config::Problems& problems, std::vector<T>& items, F read) {
  const json::array* array = parent.Array(name, false);
  if (array == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    ObjectReader reader(
        (*array)[i], kAnswer,
        config::JoinPath(parent.PathOf(name), std::to_string(i)), problems);
    items.push_back(read(reader));
  }
}

FleetMember ReadMember(ObjectReader& reader) {
  FleetMember member;
  member.id = reader.RequiredString("id");
  member.data_centre = reader.String("data_centre");
  member.http_address = reader.String("http_address");
  member.config_revision =
      static_cast<Revision>(reader.Integer("config_revision", {}, 0));
  member.leaving = reader.Bool("leaving", false);
  member.heard = reader.Bool("heard", false);
  return member;
}

FleetOwner ReadOwner(ObjectReader& reader) {
  FleetOwner owner;
  owner.range = reader.RequiredString("range");
  owner.owner = reader.String("owner");
  owner.epoch = static_cast<Epoch>(reader.Integer("epoch", {}, 0));
  return owner;
}

FleetTeam ReadTeam(ObjectReader& reader) {
  FleetTeam team;
  team.name = reader.RequiredString("name");
  team.share = reader.Number("share", 0, 1);
  team.limit = reader.Integer("limit", {}, 0);
  team.use = reader.Integer("use", {}, 0);
  return team;
}

FleetQueue ReadQueue(ObjectReader& reader) {
  FleetQueue queue;
  queue.kind = reader.RequiredString("kind");
  queue.queued = reader.Integer("queued", {}, 0);
  queue.running = reader.Integer("running", {}, 0);
  return queue;
}

}  // namespace

Result<FleetView> ParseFleet(std::string_view body) {
  BOOST_LEAF_AUTO(value, config::ParseJson(body, kAnswer));
  config::Problems problems;
  ObjectReader reader(value, kAnswer, "", problems);
  FleetView fleet;
  ReadList(reader, "members", problems, fleet.members, ReadMember);
  ReadList(reader, "owners", problems, fleet.owners, ReadOwner);
  ReadList(reader, "teams", problems, fleet.teams, ReadTeam);
  ReadList(reader, "queues", problems, fleet.queues, ReadQueue);
  if (const json::value* targets = reader.Value("targets")) {
    ObjectReader counts(*targets, kAnswer, "/targets", problems);
    fleet.targets_usable = counts.Integer("usable", {}, 0);
    fleet.targets_leaving = counts.Integer("leaving", {}, 0);
    fleet.targets_unreachable = counts.Integer("unreachable", {}, 0);
  }
  if (!problems.empty()) {
    return Fail(ErrorKind::kMalformed, "the answer is no fleet status: " +
                                           FormatProblem(problems.front()));
  }
  return fleet;
}

Result<FleetView> FetchFleet(EntryClient& client) {
  BOOST_LEAF_AUTO(body,
                  client.Call({.target = "/v1/fleet"}, Retry::kIdempotent));
  return ParseFleet(body);
}

std::string HostsBehind(const FleetView& fleet, Revision revision) {
  if (fleet.members.empty()) {
    return "no entry host is registered";
  }
  std::string behind;
  for (const FleetMember& member : fleet.members) {
    if (member.heard && member.config_revision >= revision) {
      continue;
    }
    behind += (behind.empty() ? "" : ", ") + member.id;
    behind += member.heard ? " has " + std::to_string(member.config_revision)
                           : std::string(" does not answer");
  }
  return behind;
}

}  // namespace buckthornmux::cli
