#include <algorithm>
#include <functional>
#include <utility>

#include "buckthornmux/detail/core/archive.h"
#include "src/cell/admission/team_limits.h"
#include "src/cell/records/record_layout.h"
#include "src/cell/runs/verdicts.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

namespace {

/// The largest capacities of the targets are looked at this often.
constexpr Millis kCapacityInterval{500};
/// A listed capacity of more than this multiple of the median of its service is
/// taken for an error and isn't stored.
constexpr std::int64_t kMaxTimesMedian = 64;
/// Encoded numbers and lengths of a silent target and of one of its runs.
constexpr std::size_t kTargetBytes = 40;
constexpr std::size_t kRunBytes = 24;
/// Maximum number of capacities stored for a service.
constexpr std::size_t kMaxCapacities = 8;

/// Whether a target that hasn't reported to this owner must be stored as one
/// that may get orders. Those whose former leases are over are stored once they
/// report.
bool MayGetOrders(const Cell& cell, const Target& target) {
  return target.last_owner == 0 || target.last_owner == cell.epoch;
}

/// Returns the targets that a next owner must query. A draining target without
/// runs is omitted: nothing is started on it, so it stays empty.
StoredTargets TargetsToAsk(const Cell& cell, Time now) {
  std::map<TargetId, std::pair<Millis, StoredRenewal>> entries;
  const auto left = [now](Time until) {
    return std::max(Millis(0), until - now);
  };
  for (const auto& [id, expected] : cell.expected) {
    entries[id] = {left(expected.until), {expected.last_owner, false}};
  }
  const std::pair<Millis, StoredRenewal> open{MaxLeaseLifetime(cell.options),
                                              {cell.epoch, true}};
  for (const auto& [id, target] : cell.targets) {
    const bool drained = target.entry.draining && IsEmpty(target);
    if (target.reported && drained) {
      entries.erase(id);
    } else if (IsKnownSilent(target)) {
      // The lease of a silent target is no longer renewed.
      entries[id] = {left(target.lease_until), {target.last_owner, false}};
    } else if (target.reported) {
      entries[id] = open;
    } else if (!drained && MayGetOrders(cell, target)) {
      entries.emplace(id, open);
    }
  }
  StoredTargets stored;
  stored.targets.reserve(entries.size());
  stored.renewals.reserve(entries.size());
  for (const auto& [id, entry] : entries) {
    stored.targets.push_back({id, entry.first});
    stored.renewals.push_back(entry.second);
  }
  stored.unrecovered = UnrecoveredFor(cell, now);
  return stored;
}

/// Returns when the runs end that former owners may have on a stored target.
Time LeasesEnd(const Cell& cell, Millis lasts, const StoredRenewal& renewal) {
  if (!renewal.open) {
    return cell.claimed_at + lasts;
  }
  // Whether an earlier owner than the former one was suspected isn't known.
  return lasts + (renewal.last_owner + 1 < cell.epoch
                      ? cell.claimed_at + cell.options.owner_discovery
                      : cell.former_renewals_until);
}

/// Returns the targets whose runs are known, as many as a record holds. A next
/// owner waits for the reports of the others, or for the end of their leases.
StoredSilentTargets TargetsWithKnownRuns(const Cell& cell) {
  StoredSilentTargets silent{cell.epoch, {}};
  std::size_t bytes = 0;
  for (const auto& [id, target] : cell.targets) {
    if (!AreRunsKnown(target)) {
      continue;
    }
    bytes += kTargetBytes + id.size() + target.confirmed_address.size();
    for (const auto& [run_id, run] : target.runs) {
      bytes += kRunBytes + run_id.task.job.size();
    }
    if (bytes > cell.options.max_value_bytes) {
      break;
    }
    StoredSilentTarget stored{
        id, target.confirmed_address, target.entry.life, {}};
    for (const auto& [run_id, run] : target.runs) {
      stored.runs.push_back(run_id);
    }
    silent.targets.push_back(std::move(stored));
  }
  return silent;
}

/// Returns the median of the largest capacities of a service's targets.
Resources MedianOf(std::vector<Resources> rooms) {
  const auto middle =
      rooms.begin() + static_cast<std::ptrdiff_t>((rooms.size() - 1) / 2);
  const auto median = [&](auto field) {
    std::ranges::nth_element(rooms, middle, {}, field);
    return std::invoke(field, *middle);
  };
  return {median(&Resources::slots), median(&Resources::cpu_milli),
          median(&Resources::memory_mb), median(&Resources::accelerators)};
}

bool IsOdd(const Resources& room, const Resources& median) {
  return room.cpu_milli > kMaxTimesMedian * median.cpu_milli ||
         room.memory_mb > kMaxTimesMedian * median.memory_mb;
}

/// Adds a capacity unless one of `largest` includes it; true if it was added.
bool AddCapacity(std::vector<Resources>& largest, const Resources& room) {
  if (std::ranges::any_of(
          largest, [&](const auto& other) { return room.FitsIn(other); })) {
    return false;
  }
  std::erase_if(largest,
                [&](const Resources& other) { return other.FitsIn(room); });
  if (largest.size() < kMaxCapacities) {
    largest.push_back(room);
    return true;
  }
  // Rather accept a job that never fits than refuse one that does.
  Resources& joined = largest.back();
  joined = {std::max(joined.slots, room.slots),
            std::max(joined.cpu_milli, room.cpu_milli),
            std::max(joined.memory_mb, room.memory_mb),
            std::max(joined.accelerators, room.accelerators)};
  return true;
}

/// Takes over a run of a silent target: holds its task, or stops the run.
void InheritRun(Cell& cell, Actions& actions, Target& target, const RunId& id,
                Time now) {
  Job* job = FindJob(cell, id.task.job);
  Run run = MakeFormerRun(cell, target, id, now);
  run.inherited = true;
  run.of_former_owner = true;
  AddRun(cell, target, id, run);
  if (job != nullptr) {
    OpenReported(cell, *job, id.task, now);
  }
  const Task* task =
      job == nullptr || job->Ended() ? nullptr : FindTask(*job, id.task);
  if (task == nullptr || task->phase != TaskPhase::kWaiting) {
    StopRun(cell, actions, target, id, "not wanted", now);
    return;
  }
  HoldTask(cell, *job, id, target);
}

}  // namespace

Millis UnrecoveredFor(const Cell& cell, Time now) {
  return cell.recovered ? Millis(0)
                        : cell.unrecovered_before + (now - cell.claimed_at);
}

Result<StoredTargets> DecodeTargets(const Cell& cell, std::string_view value,
                                    std::string_view key) {
  auto read = Capture([&] { return DecodeBinary<StoredTargets>(value, key); });
  auto* stored = std::get_if<StoredTargets>(&read);
  if (stored != nullptr && stored->format == kTargetsFormat) {
    if (stored->renewals.size() != stored->targets.size()) {
      return Fail(ErrorKind::kMalformed,
                  "not one owner for each target in " + std::string(key));
    }
    return std::move(*stored);
  }
  BOOST_LEAF_AUTO(targets, DecodeBinary<std::vector<StoredTarget>>(value, key));
  const std::size_t count = targets.size();
  return StoredTargets{
      kTargetsFormat, std::move(targets),
      std::vector<StoredRenewal>(count, {cell.epoch - 1, true}), Millis(0)};
}

void InheritTargets(Cell& cell, const StoredTargets& stored) {
  for (std::size_t i = 0; i < stored.targets.size(); ++i) {
    const StoredTarget& target = stored.targets[i];
    const StoredRenewal& renewal = stored.renewals[i];
    cell.expected[target.id] = {LeasesEnd(cell, target.lasts, renewal),
                                renewal.last_owner};
  }
  cell.unrecovered_before = stored.unrecovered;
}

void InheritSilentTargets(Cell& cell, const StoredSilentTargets& stored,
                          Time now) {
  if (stored.epoch + 1 != cell.epoch) {
    return;
  }
  for (const StoredSilentTarget& silent : stored.targets) {
    const auto expected = cell.expected.find(silent.id);
    if (expected == cell.expected.end()) {
      continue;
    }
    Target& target = cell.targets[silent.id];
    target.entry.id = silent.id;
    target.entry.address = silent.address;
    target.entry.life = silent.life;
    target.confirmed_address = silent.address;
    target.listed = false;
    target.unlisted_at = now;
    target.silent = true;
    target.runs_known = true;
    target.lease_until = expected->second.until;
    target.last_owner = expected->second.last_owner;
    cell.expected.erase(expected);
    for (const RunId& id : silent.runs) {
      cell.inherited.emplace_back(silent.id, id);
    }
  }
}

void InheritCapacities(Cell& cell, std::vector<StoredCapacities> stored) {
  for (StoredCapacities& capacities : stored) {
    cell.largest[capacities.service] = std::move(capacities.largest);
  }
}

void NoteLargestCapacities(Cell& cell, Time now) {
  if (now - cell.largest_checked < kCapacityInterval) {
    return;
  }
  cell.largest_checked = now;
  std::map<std::string_view, std::vector<Resources>> rooms;
  for (const auto& [id, target] : cell.targets) {
    // Without a report, the list may name what isn't there.
    if (target.listed && target.reported) {
      rooms[target.entry.service].push_back(target.largest);
    }
  }
  for (const auto& [service, of_service] : rooms) {
    const Resources median = MedianOf(of_service);
    std::vector<Resources>& largest = cell.largest[std::string(service)];
    for (const Resources& room : of_service) {
      if (!IsOdd(room, median) && AddCapacity(largest, room)) {
        cell.largest_grown = true;
        cell.targets_dirty = true;
      }
    }
  }
}

void InheritRuns(Cell& cell, Actions& actions, Time now) {
  for (const auto& [target_id, run] : std::exchange(cell.inherited, {})) {
    Target* target = FindTarget(cell, target_id);
    if (target != nullptr && target->runs_known) {
      InheritRun(cell, actions, *target, run, now);
    }
  }
}

void WriteTargets(Cell& cell, Batch& batch, Time now) {
  const StoredTargets stored = TargetsToAsk(cell, now);
  for (std::size_t i = 0; i < stored.targets.size(); ++i) {
    if (stored.renewals[i].open) {
      batch.targets.push_back(stored.targets[i].id);
    }
  }
  batch.writes.push_back(
      {std::string(kTargetsKey), EncodeBinary(stored), false});
  const StoredSilentTargets silent = TargetsWithKnownRuns(cell);
  for (const StoredSilentTarget& target : silent.targets) {
    FindTarget(cell, target.id)->closed = true;
    batch.closed.push_back(target.id);
  }
  if (!silent.targets.empty() || cell.silent_stored) {
    cell.silent_stored = true;
    batch.writes.push_back(
        {std::string(kSilentKey), EncodeBinary(silent), false});
  }
  if (cell.largest_grown) {
    cell.largest_grown = false;
    std::vector<StoredCapacities> capacities;
    for (const auto& [service, largest] : cell.largest) {
      capacities.push_back({service, largest});
    }
    batch.writes.push_back(
        {std::string(kCapacitiesKey), EncodeBinary(capacities), false});
  }
  cell.targets_dirty = false;
  cell.expected_stored = now;
  for (auto& [id, target] : cell.targets) {
    const bool open = std::ranges::binary_search(batch.targets, id);
    target.recorded = target.recorded && open;
    target.last_owner = open ? cell.epoch : target.last_owner;
  }
}

std::string EncodeFormerOwnerState(const Cell& cell, Time now) {
  std::map<TargetId, Time> until;
  for (const TargetId& id : Unreported(cell, now)) {
    until[id] = cell.expected.at(id).until;
  }
  for (const auto& [id, target] : cell.targets) {
    if (!IsEmpty(target)) {
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
  for (auto& [id, expected] : cell.expected) {
    if (until.at(id) < expected.until) {
      expected.until = until.at(id);
      expected.bound = LeaseBound::kFormerOwner;
    }
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

void ApplySightings(Cell& cell, Actions& actions,
                    std::span<const EpochSighting> sightings, Time now) {
  // The earliest sighting of each epoch or a later one.
  std::map<Epoch, Time> earliest;
  for (const EpochSighting& each : sightings) {
    const auto [found, added] = earliest.try_emplace(each.epoch, each.seen);
    found->second = std::min(found->second, each.seen);
  }
  Time least = Time::max();
  for (auto each = earliest.rbegin(); each != earliest.rend(); ++each) {
    least = std::min(least, each->second);
    each->second = least;
  }
  const Millis lasts =
      cell.options.owner_discovery + MaxLeaseLifetime(cell.options);
  const auto end_of = [&](Epoch last_owner) {
    const auto next = earliest.upper_bound(last_owner);
    return next == earliest.end() ? Time::max() : next->second + lasts;
  };
  std::size_t shortened = 0;
  for (auto& [id, expected] : cell.expected) {
    if (const Time end = end_of(expected.last_owner); end < expected.until) {
      expected.until = end;
      expected.bound = LeaseBound::kSeen;
      ++shortened;
    }
  }
  for (auto& [id, target] : cell.targets) {
    // Former owners' leases only: this one may renew what it has stored.
    if (target.last_owner > 0 && target.last_owner < cell.epoch) {
      target.lease_until =
          std::min(target.lease_until, end_of(target.last_owner));
    }
  }
  if (shortened > 0) {
    cell.targets_dirty = true;
    Note(actions, "leases_bounded",
         {{"epoch", std::to_string(cell.epoch)},
          {"targets", std::to_string(shortened)},
          {"sightings", std::to_string(sightings.size())}});
  }
  CheckRecovery(cell, actions, now);
}

}  // namespace buckthornmux::cell
