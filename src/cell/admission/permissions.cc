#include "src/cell/admission/permissions.h"

#include <algorithm>
#include <string>
#include <vector>

#include "buckthornmux/detail/config/keys.h"
#include "src/cell/admission/kept.h"
#include "src/cell/admission/queues.h"

namespace buckthornmux::cell {
namespace {

/// Keys of a team that are kept at most, so that a record stays small.
constexpr std::size_t kMaxKeptKeys = 256;

TeamKeys KeysOf(const Team& team) {
  TeamKeys keys{team.name, {}};
  for (const std::string& key : team.keys) {
    if (keys.digests.size() < kMaxKeptKeys) {
      keys.digests.push_back(config::Sha256Hex(key));
    }
  }
  return keys;
}

/// Whether a team is the renamed one that a job was accepted for: that one is
/// gone from the configuration, and the other has a key that it had.
bool IsRenamed(const Cell& cell, const TeamName& former, const TeamName& now) {
  const auto kept = cell.kept_teams.find(former);
  const auto team = cell.teams.find(now);
  if (cell.teams.contains(former) || kept == cell.kept_teams.end() ||
      team == cell.teams.end()) {
    return false;
  }
  const std::vector<std::string>& had = kept->second.definition.digests;
  return std::ranges::any_of(team->second.keys, [&](const std::string& key) {
    return std::ranges::count(had, config::Sha256Hex(key)) > 0;
  });
}

/// Whether a call without a key of the job's team may act on a job, because it
/// came on the queue of the job and a key isn't needed there, or because the
/// job was accepted without one.
bool MayActWithoutKey(const Cell& cell, const Job& job, const Caller& caller) {
  if (CurrentName(cell, caller.queue) != CurrentName(cell, job.spec.queue)) {
    return false;
  }
  const Queue* queue = FindQueue(cell, caller.queue);
  // A host lets no call pass without a key unless its queue is open to all.
  return job.spec.team.empty() || caller.team.empty() ||
         (queue != nullptr && queue->open_to_all);
}

/// Whether the caller's host has a configuration that isn't in force here yet.
bool IsAhead(const Cell& cell, const Caller& caller) {
  return FindQueue(cell, caller.queue) == nullptr ||
         (!caller.team.empty() && !cell.teams.contains(caller.team));
}

}  // namespace

std::optional<Error> ReasonToDeny(const Cell& cell, const Job& job,
                                  const Caller& caller) {
  const bool of_team =
      !caller.team.empty() && (caller.team == job.spec.team ||
                               IsRenamed(cell, job.spec.team, caller.team));
  if (of_team || MayActWithoutKey(cell, job, caller)) {
    return std::nullopt;
  }
  if (IsAhead(cell, caller)) {
    return Error{
        ErrorKind::kNotReady, "the configuration is not in force here", {}};
  }
  return Error{ErrorKind::kNotPermitted, "another team's job has this id", {}};
}

std::optional<Error> ReasonToDeny(const Cell& cell, std::string_view id,
                                  const Caller& caller) {
  const Job* job = FindJob(cell, id);
  return job == nullptr ? std::nullopt : ReasonToDeny(cell, *job, caller);
}

void KeepTeam(Cell& cell, const TeamName& name, Time now) {
  if (cell.kept_teams.contains(name)) {
    return;  // UpdateKeptTeams keeps it up to date.
  }
  if (const auto team = cell.teams.find(name); team != cell.teams.end()) {
    Keep(cell, cell.kept_teams, KeysOf(team->second), now);
  }
}

void UpdateKeptTeams(Cell& cell, Time now) {
  for (const auto& [name, team] : cell.teams) {
    if (cell.kept_teams.contains(name)) {
      Keep(cell, cell.kept_teams, KeysOf(team), now);
    }
  }
}

}  // namespace buckthornmux::cell
