#include "fleet.h"

#include <boost/json.hpp>
#include <memory>
#include <mutex>
#include <utility>

namespace buckthornmux::front {
namespace {

namespace json = boost::json;
using Sums = std::map<std::string, std::int64_t, std::less<>>;

void AddAll(const json::object& status, std::string_view name, Sums& sums) {
  const json::value* part = status.if_contains(name);
  if (part == nullptr || !part->is_object()) {
    return;
  }
  for (const auto& entry : part->get_object()) {
    sums[std::string(entry.key())] += entry.value().to_number<std::int64_t>();
  }
}

std::int64_t Get(const Sums& sums, std::string_view name) {
  const auto found = sums.find(name);
  return found == sums.end() ? 0 : found->second;
}

json::object ParseObject(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return {};
  }
  return std::move(value.get_object());
}

/// Answers of members, gathered on the client's I/O thread.
struct Gathering {
  std::mutex mutex;
  std::size_t open = 0;
  LocalStatuses locals;
};

}  // namespace

std::string FleetJson(const config::Config& config,
                      const runtime::Routes& routes,
                      const LocalStatuses& locals) {
  Sums use;
  Sums queued;
  Sums running;
  Sums targets;
  Sums jobs;
  json::array members;
  for (const auto& [id, member] : routes.members) {
    json::object entry{{"id", id},
                       {"data_centre", member.data_centre},
                       {"http_address", member.http_address},
                       {"leaving", member.leaving},
                       {"heard", locals.contains(id)},
                       {"config_revision", 0}};
    if (const auto local = locals.find(id); local != locals.end()) {
      const json::object status = ParseObject(local->second);
      if (const auto* revision = status.if_contains("revision")) {
        entry["config_revision"] = *revision;
      }
      AddAll(status, "use", use);
      AddAll(status, "queued", queued);
      AddAll(status, "running", running);
      AddAll(status, "targets", targets);
      AddAll(status, "jobs", jobs);
    }
    members.push_back(std::move(entry));
  }
  json::array owners;
  for (const auto& [range, record] : routes.owners) {
    owners.push_back(
        {{"range", range}, {"owner", record.owner}, {"epoch", record.epoch}});
  }
  json::array teams;
  for (const config::Team& team : config.teams) {
    teams.push_back({{"name", team.name},
                     {"share", team.share},
                     {"limit", team.limit},
                     {"use", Get(use, team.name)}});
  }
  json::array queues;
  for (const config::WorkKind& kind : config.kinds) {
    queues.push_back({{"kind", kind.name},
                      {"queued", Get(queued, kind.name)},
                      {"running", Get(running, kind.name)}});
  }
  const json::value fleet = {
      {"revision", config.revision},         {"members", std::move(members)},
      {"owners", std::move(owners)},         {"teams", std::move(teams)},
      {"queues", std::move(queues)},         {"jobs", json::value_from(jobs)},
      {"targets", json::value_from(targets)}};
  return json::serialize(fleet);
}

void AnswerFleet(const runtime::Wiring& wiring, net::HttpClient& client,
                 const std::string& authorization, net::Responder respond) {
  const auto routes = wiring.routes.Load();
  const auto view = wiring.config_view.Load();
  if (routes->members.empty()) {
    respond({.body = FleetJson(*view->config, *routes, {})});
    return;
  }
  auto gathering = std::make_shared<Gathering>();
  gathering->open = routes->members.size();
  for (const auto& [id, member] : routes->members) {
    net::HttpRequest request;
    request.target = "/v1/local";
    request.authorization = authorization;
    client.Call(member.http_address, std::move(request),
                wiring.settings.peer_call_timeout,
                [gathering, respond, routes, view,
                 host = id](const Outcome<net::HttpResponse>& outcome) {
                  const std::scoped_lock lock(gathering->mutex);
                  const auto* answer = std::get_if<net::HttpResponse>(&outcome);
                  if (answer != nullptr && answer->status == 200) {
                    gathering->locals.emplace(host, answer->body);
                  }
                  if (--gathering->open == 0) {
                    respond({.body = FleetJson(*view->config, *routes,
                                               gathering->locals)});
                  }
                });
  }
}

}  // namespace buckthornmux::front
