// The owner duty's part of team allowances: what a shard may use is decided on
// the thread that starts tasks, so that a lowered allowance is in force before
// it is written.
#include <algorithm>
#include <utility>

#include "buckthornmux/detail/runtime/owner_duty.h"

namespace buckthornmux::runtime {

namespace {

/// Slots that a shard keeps for every team, as far as the team's limit allows:
/// first work of a team need not wait for the store, nor be refused while the
/// store is away.
constexpr std::int64_t kStandingSlots = 2;

}  // namespace

limits::GrantRequest OwnerDuty::GrantRequestOf(const OwnedShard& shard,
                                               const GrantRead& read) const {
  limits::GrantRequest request;
  request.shard = read.shard;
  request.epoch = shard.epoch;
  request.config = m_config->revision;
  const auto team =
      std::ranges::find(m_config->teams, read.team, &config::Team::name);
  request.limit = team == m_config->teams.end() ? 0 : team->limit;
  const auto wanted = shard.wanted.find(read.team);
  request.wanted = wanted == shard.wanted.end() ? 0 : wanted->second;
  const auto known = shard.state.teams.find(read.team);
  if (known != shard.state.teams.end()) {
    request.in_use = known->second.used.slots;
  }
  request.wanted = std::max({request.wanted, request.in_use, kStandingSlots});
  return request;
}

void OwnerDuty::Take(const GrantRead& message, Time now) {
  const auto found = m_shards.find(message.shard);
  if (found == m_shards.end()) {
    m_wiring.ledger.Post(GrantSettled{message.team});
    return;
  }
  OwnedShard& shard = found->second;
  limits::GrantHolder& holder = shard.grants[message.team];
  holder.epoch = shard.epoch;
  const limits::GrantRequest request = GrantRequestOf(shard, message);
  auto outcome = Capture([&] {
    return limits::PrepareWrite(holder, message.record, message.revision,
                                request);
  });
  const std::int64_t usable = holder.usable;
  auto* next = std::get_if<std::optional<limits::TeamGrants>>(&outcome);
  if (next != nullptr && next->has_value()) {
    m_wiring.ledger.Post(GrantWrite{message.shard, message.team,
                                    std::move(**next), message.revision});
  } else {
    m_wiring.ledger.Post(GrantSettled{message.team});
  }
  ApplyShard(message.shard, sched::GrantChanged{message.team, usable}, now);
}

void OwnerDuty::Take(const GrantWritten& message, Time now) {
  const auto found = m_shards.find(message.shard);
  if (found == m_shards.end()) {
    return;
  }
  const auto holder = found->second.grants.find(message.team);
  if (holder == found->second.grants.end()) {
    return;  // Lost and gained again meanwhile.
  }
  limits::WriteEnded(holder->second, message.written, message.shard,
                     message.expected, message.end);
  const std::int64_t usable = holder->second.usable;
  ApplyShard(message.shard, sched::GrantChanged{message.team, usable}, now);
}

}  // namespace buckthornmux::runtime
