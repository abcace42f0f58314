#include "buckthornmux/detail/config/check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "buckthornmux/detail/config/json_reader.h"
#include "buckthornmux/detail/net/address.h"

namespace buckthornmux::config {
namespace {

constexpr double kShareTolerance = 1e-6;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

/// Collects problems at the fields of declarations.
struct Reporter {
  Problems& problems;

  void operator()(const Origin& origin, std::string_view field,
                  std::string message) const {
    problems.push_back(
        {origin.file, JoinPath(origin.path, field), std::move(message)});
  }
};

/// Names become parts of store keys and of request paths.
void CheckName(const Reporter& report, const Origin& origin,
               std::string_view field, std::string_view name) {
  if (name.size() > kMaxNameLength ||
      name.find_first_not_of(kNameCharacters) != std::string_view::npos) {
    report(origin, field,
           "expected at most " + std::to_string(kMaxNameLength) +
               " letters, digits, dots, dashes and underscores, found \"" +
               std::string(name) + "\"");
  }
}

/// Reports a value that an earlier declaration has already.
struct UniqueCheck {
  std::map<std::string, const Origin*, std::less<>> seen;

  void operator()(const Reporter& report, const Origin& origin,
                  std::string_view field, const std::string& value) {
    if (value.empty()) {
      return;  // Reported as missing.
    }
    const auto [first, is_new] = seen.emplace(value, &origin);
    if (!is_new) {
      report(origin, field,
             "\"" + value + "\" stands already at " + first->second->file +
                 "#" + first->second->path + ": expected each once");
    }
  }
};

void CheckAddress(const Reporter& report, const Origin& origin,
                  const std::string& address) {
  if (address.empty()) {
    return;
  }
  const auto outcome = Capture([&] { return net::ParseAddress(address); });
  const auto* parsed = std::get_if<net::Address>(&outcome);
  if (parsed == nullptr || parsed->port == 0) {
    report(origin, "address",
           "expected IP:port, for instance 10.0.0.1:8080, found \"" + address +
               "\"");
  }
}

void CheckTargets(const Declared& declared, const Reporter& report) {
  UniqueCheck unique_id;
  UniqueCheck unique_address;
  for (std::size_t i = 0; i < declared.targets.size(); ++i) {
    const TargetSpec& target = declared.targets[i];
    const Origin& origin = declared.target_origins[i];
    CheckName(report, origin, "id", target.id);
    CheckName(report, origin, "data_centre", target.data_centre);
    CheckName(report, origin, "rack", target.rack);
    CheckName(report, origin, "host", target.host);
    CheckAddress(report, origin, target.address);
    unique_id(report, origin, "id", target.id);
    unique_address(report, origin, "address", target.address);
    for (const std::string& label : target.labels) {
      CheckName(report, origin, "labels", label);
    }
  }
}

void CheckTeams(const Declared& declared, Reporter report) {
  UniqueCheck unique;
  double sum = 0;
  for (std::size_t i = 0; i < declared.teams.size(); ++i) {
    const Team& team = declared.teams[i];
    CheckName(report, declared.team_origins[i], "name", team.name);
    unique(report, declared.team_origins[i], "name", team.name);
    sum += team.share;
  }
  const bool all_read = std::ranges::none_of(
      report.problems,
      [](const Problem& problem) { return problem.path.ends_with("/share"); });
  if (!declared.teams.empty() && all_read &&
      std::abs(sum - 1) > kShareTolerance) {
    std::ostringstream message;
    message << "the shares of " << declared.teams.size() << " teams add up to "
            << sum << ": expected 1";
    report.problems.push_back(
        {declared.team_origins.front().file, "/teams", message.str()});
  }
}

bool Carries(const TargetSpec& target, const std::vector<std::string>& labels) {
  return std::ranges::all_of(labels, [&](const std::string& label) {
    return std::ranges::find(target.labels, label) != target.labels.end();
  });
}

void CheckPlacement(const Declared& declared, const WorkKind& kind,
                    const Origin& origin, const Reporter& report) {
  if (declared.targets.empty()) {
    return;  // Reported by itself.
  }
  bool carried = false;
  bool fits = false;
  for (const TargetSpec& target : declared.targets) {
    if (Carries(target, kind.labels)) {
      carried = true;
      fits = fits || kind.demand.FitsIn(target.capacity);
    }
  }
  if (!carried) {
    report(origin, "labels",
           "no target carries all these labels: expected some that one does");
  } else if (!fits) {
    report(origin, "demand",
           "no target that carries the kind's labels holds this demand: "
           "expected one that fits a target");
  }
}

void CheckKindTeams(const Declared& declared, const WorkKind& kind,
                    const Origin& origin, const Reporter& report) {
  if (kind.teams.empty()) {
    report(origin, "teams",
           kind.open_to_all
               ? "open to all, but no team to charge: expected at least one"
               : "no team may use this kind: expected at least one");
    return;
  }
  std::set<TeamName> seen;
  std::int64_t highest_limit = 0;
  for (std::size_t i = 0; i < kind.teams.size(); ++i) {
    const Origin place{origin.file, origin.path + "/teams"};
    const auto team =
        std::ranges::find(declared.teams, kind.teams[i], &Team::name);
    if (team == declared.teams.end()) {
      report(place, std::to_string(i),
             "no team \"" + kind.teams[i] +
                 "\" is declared: expected one of /teams");
    } else {
      highest_limit = std::max(highest_limit, team->limit);
    }
    if (!seen.insert(kind.teams[i]).second) {
      report(place, std::to_string(i),
             "\"" + kind.teams[i] + "\" twice: expected each team once");
    }
  }
  if (highest_limit > 0 && kind.demand.slots > highest_limit) {
    report(origin, "demand",
           "takes " + std::to_string(kind.demand.slots) +
               " slots, more than the limit of every team that may use it: "
               "expected at most " +
               std::to_string(highest_limit));
  }
}

void CheckKinds(const Declared& declared, const Reporter& report) {
  UniqueCheck unique;
  for (std::size_t i = 0; i < declared.kinds.size(); ++i) {
    const WorkKind& kind = declared.kinds[i];
    const Origin& origin = declared.kind_origins[i];
    CheckName(report, origin, "name", kind.name);
    unique(report, origin, "name", kind.name);
    CheckKindTeams(declared, kind, origin, report);
    CheckPlacement(declared, kind, origin, report);
  }
}

/// Both kinds of documents are needed, and neither may be empty: an export that
/// went wrong must not take the whole fleet away.
void CheckPresence(const Declared& declared, Problems& problems) {
  if (declared.inventory_file.empty()) {
    problems.push_back(
        {"inventory", "", "missing: expected a document with \"targets\""});
  } else if (declared.targets.empty()) {
    problems.push_back({declared.inventory_file, "/targets",
                        "empty: expected at least one target"});
  }
  if (declared.rules_file.empty()) {
    problems.push_back({"rules", "",
                        "missing: expected a document with \"teams\" and "
                        "\"kinds\""});
    return;
  }
  if (declared.teams.empty()) {
    problems.push_back(
        {declared.rules_file, "/teams", "empty: expected at least one team"});
  }
  if (declared.kinds.empty()) {
    problems.push_back(
        {declared.rules_file, "/kinds", "empty: expected at least one kind"});
  }
}

}  // namespace

Checked CheckDocuments(std::span<const Document> documents) {
  Checked checked;
  checked.declared = ParseDocuments(documents, checked.problems);
  const Reporter report{checked.problems};
  CheckPresence(checked.declared, checked.problems);
  CheckTargets(checked.declared, report);
  CheckTeams(checked.declared, report);
  CheckKinds(checked.declared, report);
  return checked;
}

}  // namespace buckthornmux::config
