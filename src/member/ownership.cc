#include "buckthornmux/detail/member/ownership.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/core/invariant.h"
#include "buckthornmux/detail/member/rendezvous.h"

namespace buckthornmux::member {
namespace {

using Actions = std::vector<Action>;
constexpr int kPerMille = 1000;

bool IsRegistered(const OwnershipState& state, const HostId& id,
                  std::string_view incarnation) {
  return std::ranges::any_of(state.members, [&](const Member& member) {
    return member.id == id && member.incarnation == incarnation;
  });
}

bool IsOurs(const OwnershipState& state, const OwnerRecord& record) {
  return record.owner == state.self.id &&
         record.incarnation == state.self.incarnation;
}

/// Whether this process may claim ranges: it holds its lease, is not leaving,
/// and the last view is recent and contains its registration.
bool MayClaim(const OwnershipState& state, Time now) {
  return state.lease_held && !state.self.leaving && state.read_at &&
         now - *state.read_at <= state.options.max_view_age &&
         IsRegistered(state, state.self.id, state.self.incarnation);
}

/// Whether the key may be written: no write is in progress, the outcome of the
/// last one is known, and the retry delay has passed.
bool MayWrite(const OwnershipState& state, const RangeState& range, Time now) {
  const bool seen = !range.view_after ||
                    (state.read_at && *state.read_at >= *range.view_after);
  return !range.claim && seen && now >= range.claim_at;
}

void SendRecord(RangeState& range, OwnerRecord record, Actions& actions) {
  record.revision = range.record.revision;
  range.claim = record;
  actions.emplace_back(Claim{std::move(record)});
}

void WriteRelease(const OwnershipState& state, RangeState& range, Time now,
                  Actions& actions) {
  if (!MayWrite(state, range, now)) {
    return;
  }
  OwnerRecord record = range.record;
  record.owner.clear();
  record.incarnation.clear();
  SendRecord(range, std::move(record), actions);
}

void StartRelease(const std::string& name, RangeState& range,
                  Actions& actions) {
  range.ownership_phase = OwnershipPhase::kReleasing;
  actions.emplace_back(Release{name});
}

/// Stops serving the range and cancels a pending release.
void StopServing(const std::string& name, RangeState& range, Actions& actions) {
  if (range.ownership_phase == OwnershipPhase::kOwned ||
      range.ownership_phase == OwnershipPhase::kReleasing) {
    actions.emplace_back(Lost{name});
  }
  range.ownership_phase = OwnershipPhase::kNone;
}

/// Starts to serve a range whose record names this process as the owner: the
/// claim was just answered, or its answer was lost.
void StartServing(const OwnershipState& state, const std::string& name,
                  RangeState& range, Actions& actions) {
  if (state.self.leaving) {
    range.ownership_phase = OwnershipPhase::kReleased;
    return;
  }
  range.ownership_phase = OwnershipPhase::kOwned;
  actions.emplace_back(Gained{name, range.record.epoch});
}

/// Applies a record that is newer than the known one.
void ApplyRecord(const OwnershipState& state, const std::string& name,
                 RangeState& range, const OwnerRecord& record, Time now,
                 Actions& actions) {
  const bool same_epoch = record.epoch == range.record.epoch;
  Invariant(!same_epoch || record.owner.empty() || range.record.epoch == 0 ||
                record.owner == range.record.owner,
            "one_owner_per_epoch", name);
  range.record = record;
  range.highest = std::max(range.highest, record.epoch);
  range.known_at = now;
  if (!IsOurs(state, record)) {
    StopServing(name, range, actions);
  } else if (range.ownership_phase == OwnershipPhase::kNone || !same_epoch) {
    StopServing(name, range, actions);
    StartServing(state, name, range, actions);
  }
}

/// Handles a key that was written but no longer exists because the service has
/// lost data. Keeps the highest epoch, so that the next claim is above it.
void ApplyMissingRecord(const std::string& name, RangeState& range, Time now,
                        Actions& actions) {
  StopServing(name, range, actions);
  range.record = OwnerRecord{.range = name};
  range.known_at = now;
}

void UpdateOwnerless(const OwnershipState& state, RangeState& range, Time now) {
  const OwnerRecord& record = range.record;
  const bool abandoned = record.epoch > 0 && record.epoch == range.abandoned;
  if (!record.owner.empty() && !abandoned &&
      IsRegistered(state, record.owner, record.incarnation)) {
    range.ownerless.reset();
  } else if (!range.ownerless) {
    range.ownerless = now;
  }
}

bool IsOffered(const RangeState& range) {
  return range.record.epoch > 0 && range.record.epoch == range.offered;
}

bool TakeoverDue(const OwnershipState& state, const RangeState& range,
                 Time now) {
  if (!range.ownerless) {
    return false;
  }
  const bool was_released =
      range.record.owner.empty() && range.record.epoch > 0;
  const bool was_ours = range.record.owner == state.self.id;
  // A member with more capacity may be about to register.
  const bool waits =
      HasInsufficientWeight(state.self.weight, range.record.weight);
  const Millis delay =
      state.options.takeover_delay +
      (waits ? state.options.stronger_member_delay : Millis(0));
  return IsOffered(range) || (!waits && (was_released || was_ours)) ||
         now - *range.ownerless >= delay;
}

void ClaimIfDue(const OwnershipState& state, const std::string& name,
                RangeState& range, Time now, Actions& actions) {
  if (!MayWrite(state, range, now) || !TakeoverDue(state, range, now)) {
    return;
  }
  const auto wanted = state.wanted_owners.find(name);
  if (wanted == state.wanted_owners.end()) {
    return;
  }
  const bool was_ours = range.record.owner == state.self.id;
  if (wanted->second != state.self.id && !was_ours && !IsOffered(range)) {
    return;
  }
  SendRecord(range,
             {.range = name,
              .owner = state.self.id,
              .incarnation = state.self.incarnation,
              .epoch = range.highest + 1,
              .weight = state.self.weight},
             actions);
}

/// Whether an owned range should belong to another member.
bool IsMisplaced(const OwnershipState& state, const std::string& name) {
  const auto wanted = state.wanted_owners.find(name);
  return wanted == state.wanted_owners.end() || wanted->second != state.self.id;
}

/// Hands over one range at a time. The caller checks MayClaim, so that no range
/// is released while the store may be unreachable.
void Rebalance(OwnershipState& state, Time now, Actions& actions) {
  if (!state.options.rebalance || now < state.next_move ||
      state.wanted_owners.empty()) {
    return;
  }
  const bool moving = std::ranges::any_of(state.ranges, [](const auto& entry) {
    return entry.second.ownership_phase == OwnershipPhase::kReleasing ||
           entry.second.ownership_phase == OwnershipPhase::kReleased;
  });
  if (moving) {
    return;
  }
  for (auto& [name, range] : state.ranges) {
    if (range.ownership_phase == OwnershipPhase::kOwned &&
        IsMisplaced(state, name)) {
      StartRelease(name, range, actions);
      state.next_move = now + state.options.move_interval;
      return;
    }
  }
}

void UpdateLeaseHeld(OwnershipState& state, Time now, Actions& actions) {
  const bool held = now < state.lease_until;
  if (held != state.lease_held) {
    state.lease_held = held;
    actions.emplace_back(LeaseHeld{held});
  }
}

void ExtendLease(OwnershipState& state, Time sent_at) {
  const Millis safe = state.options.lease_ttl *
                      (kPerMille - state.options.drift_per_mille) / kPerMille;
  state.lease_until = std::max(state.lease_until, sent_at + safe);
}

/// Discards an offer that was not accepted in time. If the owner was only
/// suspected to have failed, it may still serve the range, which must then not
/// be claimed because of an old offer.
void ExpireOffer(const OwnershipState& state, RangeState& range, Time now) {
  if (IsOffered(range) && !range.claim &&
      now - range.offered_at > state.options.offer_valid) {
    range.offered = 0;
    range.abandoned = 0;
    UpdateOwnerless(state, range, now);
  }
}

/// Performs everything that is due; called after each event.
void RunDueActions(OwnershipState& state, Time now, Actions& actions) {
  UpdateLeaseHeld(state, now, actions);
  for (auto& [name, range] : state.ranges) {
    ExpireOffer(state, range, now);
    if (range.ownership_phase == OwnershipPhase::kReleased) {
      WriteRelease(state, range, now, actions);
    } else if (range.ownership_phase == OwnershipPhase::kNone &&
               MayClaim(state, now)) {
      ClaimIfDue(state, name, range, now, actions);
    }
  }
  if (MayClaim(state, now)) {
    Rebalance(state, now, actions);
  }
}

void Handle(OwnershipState& state, const RangesWanted& event, Time /*now*/,
            Actions& /*actions*/) {
  state.wanted = event.ranges;
  for (const RangesWanted::Range& range : event.ranges) {
    state.ranges[range.name].record.range = range.name;
  }
  state.wanted_owners = WantedOwners(state.wanted, state.members);
}

void Handle(OwnershipState& state, const StoreView& event, Time now,
            Actions& actions) {
  if (state.read_at && event.read_at < *state.read_at) {
    return;
  }
  state.read_at = event.read_at;
  state.members = event.members;
  state.wanted_owners = WantedOwners(state.wanted, state.members);
  std::map<std::string_view, const OwnerRecord*> records;
  for (const OwnerRecord& record : event.owners) {
    records[record.range] = &record;
    state.ranges[record.range].record.range = record.range;
  }
  for (auto& [name, range] : state.ranges) {
    const auto found = records.find(name);
    if (found != records.end()) {
      if (found->second->revision > range.record.revision) {
        ApplyRecord(state, name, range, *found->second, now, actions);
      }
    } else if (range.record.revision > 0 && event.read_at >= range.known_at) {
      ApplyMissingRecord(name, range, now, actions);
    }
    UpdateOwnerless(state, range, now);
  }
}

void Handle(OwnershipState& state, const Registered& event, Time /*now*/,
            Actions& actions) {
  // Another process may own the ranges of the former incarnation by now. They
  // are claimed again, which also makes pending claims of others fail.
  for (auto& [name, range] : state.ranges) {
    StopServing(name, range, actions);
    range.claim.reset();
  }
  state.self.incarnation = event.incarnation;
  state.lease_until = Time{};
  ExtendLease(state, event.sent_at);
}

void Handle(OwnershipState& state, const LeaseRenewed& event, Time /*now*/,
            Actions& /*actions*/) {
  ExtendLease(state, event.sent_at);
}

void Handle(OwnershipState& state, const ClaimAnswered& event, Time now,
            Actions& actions) {
  const auto found = state.ranges.find(event.record.range);
  if (found == state.ranges.end()) {
    return;
  }
  auto& [name, range] = *found;
  if (range.claim == event.record) {
    range.claim.reset();
  }
  switch (event.end) {
    case ClaimAnswered::End::kWritten:
      if (event.revision > range.record.revision) {
        OwnerRecord record = event.record;
        record.revision = event.revision;
        ApplyRecord(state, name, range, record, now, actions);
        UpdateOwnerless(state, range, now);
      }
      break;
    case ClaimAnswered::End::kUnavailable:
      range.claim_at = now + state.options.claim_retry;
      break;
    case ClaimAnswered::End::kLost:
    case ClaimAnswered::End::kUnknown:
      range.view_after = now;
      break;
  }
}

void Handle(OwnershipState& state, const Released& event, Time /*now*/,
            Actions& /*actions*/) {
  const auto found = state.ranges.find(event.range);
  if (found != state.ranges.end() &&
      found->second.ownership_phase == OwnershipPhase::kReleasing) {
    found->second.ownership_phase = OwnershipPhase::kReleased;
  }
}

void Handle(OwnershipState& state, const OwnerRecordReceived& event, Time now,
            Actions& actions) {
  const auto found = state.ranges.find(event.record.range);
  if (found != state.ranges.end() &&
      event.record.revision > found->second.record.revision) {
    ApplyRecord(state, found->first, found->second, event.record, now, actions);
    UpdateOwnerless(state, found->second, now);
  }
}

void Handle(OwnershipState& state, const Abandoned& event, Time now,
            Actions& actions) {
  const auto found = state.ranges.find(event.range);
  if (found == state.ranges.end() ||
      (found->second.ownership_phase != OwnershipPhase::kOwned &&
       found->second.ownership_phase != OwnershipPhase::kReleasing)) {
    return;
  }
  RangeState& range = found->second;
  StopServing(event.range, range, actions);
  range.abandoned = range.record.epoch;
  // Claimed again only if a new view shows that no other process has done so.
  range.view_after = now;
  UpdateOwnerless(state, range, now);
}

void Handle(OwnershipState& state, const Offered& event, Time now,
            Actions& /*actions*/) {
  const auto found = state.ranges.find(event.range);
  if (found != state.ranges.end()) {
    RangeState& range = found->second;
    range.abandoned = std::max(range.abandoned, event.epoch);
    range.offered = std::max(range.offered, event.epoch);
    range.offered_at = now;
    UpdateOwnerless(state, range, now);
  }
}

void Handle(OwnershipState& state, const Leave& /*event*/, Time /*now*/,
            Actions& actions) {
  state.self.leaving = true;
  for (auto& [name, range] : state.ranges) {
    if (range.ownership_phase == OwnershipPhase::kOwned) {
      StartRelease(name, range, actions);
    }
  }
}

void Handle(OwnershipState& state, const Return& /*event*/, Time /*now*/,
            Actions& /*actions*/) {
  state.self.leaving = false;
}

void Handle(OwnershipState& /*state*/, const Tick& /*event*/, Time /*now*/,
            Actions& /*actions*/) {}

}  // namespace

OwnershipState MakeOwnership(Member self, OwnershipOptions options) {
  OwnershipState state;
  state.self = std::move(self);
  state.options = options;
  return state;
}

std::vector<Action> Apply(OwnershipState& state, const Event& event, Time now) {
  Actions actions;
  UpdateLeaseHeld(state, now, actions);
  std::visit([&](const auto& e) { Handle(state, e, now, actions); }, event);
  RunDueActions(state, now, actions);
  return actions;
}

Time LeaseExpiry(const OwnershipState& state) { return state.lease_until; }

std::optional<Epoch> EpochSince(const OwnershipState& state,
                                std::string_view range,
                                std::string_view gained) {
  const auto owned = state.ranges.find(gained);
  if (owned == state.ranges.end() ||
      owned->second.ownership_phase != OwnershipPhase::kOwned ||
      !state.read_at || *state.read_at < owned->second.known_at) {
    return std::nullopt;
  }
  const auto found = state.ranges.find(range);
  return found == state.ranges.end() ? 0 : found->second.highest;
}

bool OwnsNothing(const OwnershipState& state) {
  return std::ranges::all_of(state.ranges, [](const auto& entry) {
    return entry.second.ownership_phase == OwnershipPhase::kNone &&
           !entry.second.claim;
  });
}

}  // namespace buckthornmux::member
