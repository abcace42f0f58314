#include <algorithm>

#include "buckthornmux/detail/core/archive.h"
#include "internal.h"
#include "record_layout.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

/// Returns the targets that a next owner must query. A draining target without
/// runs is omitted: nothing is started on it, so it stays empty.
std::vector<StoredTarget> TargetsToAsk(const Cell& cell, Time now) {
  std::map<TargetId, Millis> lasts;
  for (const auto& [id, until] : cell.expected) {
    lasts[id] = std::max(Millis(0), until - now);
  }
  for (const auto& [id, target] : cell.targets) {
    const bool drained = target.entry.draining && target.runs.empty();
    if (target.reported && drained) {
      lasts.erase(id);
    } else if (target.reported && target.silent) {
      // The lease of a silent target is no longer renewed.
      lasts[id] = std::max(Millis(0), target.lease_until - now);
    } else if (target.reported) {
      lasts[id] = MaxLeaseLifetime(cell.options);
    } else if (!drained) {
      lasts.emplace(id, MaxLeaseLifetime(cell.options));
    }
  }
  std::vector<StoredTarget> stored;
  stored.reserve(lasts.size());
  for (const auto& [id, time] : lasts) {
    stored.push_back({id, time});
  }
  return stored;
}

}  // namespace

void WriteTargets(Cell& cell, Batch& batch, Time now) {
  const std::vector<StoredTarget> stored = TargetsToAsk(cell, now);
  for (const StoredTarget& target : stored) {
    batch.targets.push_back(target.id);
  }
  batch.writes.push_back(
      {std::string(kTargetsKey), EncodeBinary(stored), false});
  cell.targets_dirty = false;
  cell.expected_stored = now;
  for (auto& [id, target] : cell.targets) {
    target.recorded =
        target.recorded && std::ranges::binary_search(batch.targets, id);
  }
}

std::string EncodeFormerOwnerState(const Cell& cell, Time now) {
  std::map<TargetId, Time> until;
  for (const TargetId& id : Unreported(cell, now)) {
    until[id] = cell.expected.at(id);
  }
  for (const auto& [id, target] : cell.targets) {
    if (!target.runs.empty()) {
      until[id] = std::max(until[id], target.lease_until);
    }
  }
  std::vector<StoredTarget> left;
  left.reserve(until.size());
  for (const auto& [id, time] : until) {
    left.push_back({id, std::max(Millis(0), time - now)});
  }
  return EncodeBinary(left);
}

Result<std::size_t> ApplyFormerOwnerState(Cell& cell, Actions& actions,
                                          std::string_view state, Millis age,
                                          Time now) {
  BOOST_LEAF_AUTO(targets, DecodeBinary<std::vector<StoredTarget>>(
                               state, "targets left by the former owner"));
  std::map<TargetId, Time> until;
  for (const StoredTarget& target : targets) {
    until[target.id] = now + target.lasts - age;
  }
  const std::size_t before = cell.expected.size();
  std::erase_if(cell.expected, [&](const auto& entry) {
    return !until.contains(entry.first);
  });
  for (auto& [id, time] : cell.expected) {
    time = std::min(time, until.at(id));
  }
  cell.targets_dirty = true;
  Note(actions, "former_owner_told",
       {{"epoch", std::to_string(cell.epoch)},
        {"expected", std::to_string(before)},
        {"left", std::to_string(cell.expected.size())},
        {"age_ms", std::to_string(age.count())}});
  CheckRecovery(cell, actions, now);
  return cell.expected.size();
}

}  // namespace buckthornmux::cell
