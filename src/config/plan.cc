#include "buckthornmux/detail/config/plan.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "buckthornmux/detail/config/check.h"
#include "buckthornmux/detail/config/json_reader.h"
#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux::config {
namespace {

/// A shard while it is filled.
struct ShardFill {
  std::size_t targets = 0;
  std::map<std::string, std::size_t> by_rack;
};

/// Shards of one data centre by number, so that 10 comes after 9.
using Shards = std::map<std::uint64_t, ShardFill>;

ShardId ShardName(const DataCentre& data_centre, std::uint64_t number) {
  return data_centre + "/" + std::to_string(number);
}

std::uint64_t ShardNumber(const ShardId& shard) {
  std::uint64_t number = 0;
  const auto slash = shard.rfind('/') + 1;
  std::from_chars(shard.data() + slash, shard.data() + shard.size(), number);
  return number;
}

void Fill(ShardFill& shard, const std::string& rack) {
  ++shard.targets;
  ++shard.by_rack[rack];
}

/// Opens shards until all targets of the data centre have room.
void OpenShards(Shards& shards, std::size_t targets, std::uint64_t first_free) {
  const std::size_t wanted =
      (targets + kMaxTargetsPerShard - 1) / kMaxTargetsPerShard;
  while (shards.size() < wanted) {
    shards.emplace(first_free++, ShardFill{});
  }
}

/// The shard with room that holds the fewest of a rack, then the fewest.
std::uint64_t BestShard(const Shards& shards, const std::string& rack) {
  auto best = shards.end();
  auto best_load = std::make_tuple(kMaxTargetsPerShard, kMaxTargetsPerShard);
  for (auto shard = shards.begin(); shard != shards.end(); ++shard) {
    const ShardFill& fill = shard->second;
    const auto in_rack = fill.by_rack.find(rack);
    const auto load = std::make_tuple(
        in_rack == fill.by_rack.end() ? 0 : in_rack->second, fill.targets);
    if (fill.targets < kMaxTargetsPerShard && load < best_load) {
      best = shard;
      best_load = load;
    }
  }
  Invariant(best != shards.end(), "shard_has_room");
  return best->first;
}

/// Gives every target of one data centre that has no shard yet its shard.
void PlaceTargets(const DataCentre& data_centre,
                  const std::vector<TargetSpec*>& targets,
                  std::uint64_t first_free) {
  Shards shards;
  std::vector<TargetSpec*> fresh;
  for (TargetSpec* target : targets) {
    if (target->shard.empty()) {
      fresh.push_back(target);
    } else {
      Fill(shards[ShardNumber(target->shard)], target->rack);
    }
  }
  OpenShards(shards, targets.size(), first_free);
  std::ranges::sort(fresh, {}, [](const TargetSpec* target) {
    return std::tie(target->rack, target->id);
  });
  for (TargetSpec* target : fresh) {
    const std::uint64_t number = BestShard(shards, target->rack);
    Fill(shards[number], target->rack);
    target->shard = ShardName(data_centre, number);
  }
}

/// Keeps the shards of known targets; reports those that moved.
void KeepShards(const Config& current, const Declared& declared,
                std::vector<TargetSpec>& targets, Problems& problems) {
  std::map<TargetId, const TargetSpec*> known;
  for (const TargetSpec& target : current.targets) {
    known.emplace(target.id, &target);
  }
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const auto found = known.find(targets[i].id);
    if (found == known.end()) {
      continue;
    }
    if (found->second->data_centre != targets[i].data_centre) {
      const Origin& origin = declared.target_origins[i];
      problems.push_back(
          {origin.file, JoinPath(origin.path, "data_centre"),
           "target \"" + targets[i].id + "\" moved from " +
               found->second->data_centre + " to " + targets[i].data_centre +
               ": expected a new id, because what it ran belongs to the old "
               "place"});
      continue;
    }
    targets[i].shard = found->second->shard;
  }
}

void GiveShards(const Config& current, std::vector<TargetSpec>& targets) {
  std::map<DataCentre, std::uint64_t> highest;
  for (const TargetSpec& target : current.targets) {
    std::uint64_t& number = highest[target.data_centre];
    number = std::max(number, ShardNumber(target.shard));
  }
  std::map<DataCentre, std::vector<TargetSpec*>> by_data_centre;
  for (TargetSpec& target : targets) {
    by_data_centre[target.data_centre].push_back(&target);
  }
  for (const auto& [data_centre, placed] : by_data_centre) {
    PlaceTargets(data_centre, placed, highest[data_centre] + 1);
  }
}

}  // namespace

Result<Config> PlanApply(const Config& current,
                         std::span<const Document> documents) {
  Checked checked = CheckDocuments(documents);
  Config next;
  next.revision = current.revision;
  next.targets = checked.declared.targets;
  next.teams = checked.declared.teams;
  next.kinds = checked.declared.kinds;
  next.audit = current.audit;
  KeepShards(current, checked.declared, next.targets, checked.problems);
  if (!checked.problems.empty()) {
    return FailWith(checked.problems);
  }
  GiveShards(current, next.targets);
  std::set<TeamName> teams;
  for (const Team& team : next.teams) {
    teams.insert(team.name);
  }
  for (const TeamKey& key : current.keys) {
    if (teams.contains(key.team)) {
      next.keys.push_back(key);
    }
  }
  return next;
}

}  // namespace buckthornmux::config
