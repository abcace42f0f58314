#include "buckthornmux/detail/runtime/ledger_duty.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::runtime {
namespace {

constexpr Millis kRetryPause{200};

/// Compare-and-swap rounds for one team before others get their turn.
constexpr int kRounds = 4;

std::string KeyOf(const TeamName& team) {
  return std::string(store::kGrantsPrefix) + team;
}

}  // namespace

LedgerDuty::LedgerDuty(Wiring& wiring) : m_wiring(wiring) {}

Time LedgerDuty::Step(std::vector<LedgerMessage> messages, Time now) {
  for (const LedgerMessage& message : messages) {
    std::visit([&](const auto& one) { Take(one); }, message);
  }
  if (now < m_next_try) {
    return m_open.empty() ? Time::max() : m_next_try;
  }
  std::set<TeamName> open;
  open.swap(m_open);
  for (const TeamName& team : open) {
    if (!Settle(team)) {
      m_open.insert(team);
    }
  }
  if (m_open.empty()) {
    return Time::max();
  }
  m_next_try = now + kRetryPause;
  return m_next_try;
}

void LedgerDuty::Take(const GrantWanted& message) {
  m_wishes[{message.team, message.shard}] = {message.slots, message.in_use};
  m_open.insert(message.team);
}

void LedgerDuty::Take(const LedgerShardGained& message) {
  m_shards.insert(message.shard);
  for (const config::Team& team : m_config->teams) {
    m_records.erase(team.name);  // The former owner may have changed it.
    m_open.insert(team.name);
  }
}

void LedgerDuty::Take(const LedgerShardLost& message) {
  m_shards.erase(message.shard);
  std::erase_if(m_wishes, [&](const auto& wish) {
    return wish.first.second == message.shard;
  });
}

void LedgerDuty::Take(const ConfigChanged& message) {
  m_config = message.config;
  for (const config::Team& team : m_config->teams) {
    m_open.insert(team.name);
  }
}

std::int64_t LedgerDuty::LimitOf(const TeamName& team) const {
  const auto found =
      std::ranges::find(m_config->teams, team, &config::Team::name);
  return found == m_config->teams.end() ? 0 : found->limit;
}

Result<LedgerDuty::Stored> LedgerDuty::Read(const TeamName& team) {
  BOOST_LEAF_AUTO(entry, m_wiring.store.get(KeyOf(team)));
  Stored stored;
  stored.grants.team = team;
  if (entry) {
    BOOST_LEAF_AUTO(grants, limits::DecodeGrants(entry->value));
    stored.grants = std::move(grants);
    stored.revision = entry->revision;
  }
  return stored;
}

Result<LedgerDuty::Stored> LedgerDuty::Write(const limits::TeamGrants& next,
                                             Revision expected) {
  m_wiring.metrics.Count(Counter::kLedgerWrites);
  BOOST_LEAF_AUTO(
      revision, m_wiring.store.put(KeyOf(next.team), limits::EncodeGrants(next),
                                   expected, store::kNoLease));
  return Stored{next, revision};
}

bool LedgerDuty::Settle(const TeamName& team) {
  for (int round = 0; round < kRounds; ++round) {
    auto known = m_records.find(team);
    if (known == m_records.end()) {
      auto outcome = Capture([&] { return Read(team); });
      if (std::holds_alternative<Error>(outcome)) {
        m_wiring.metrics.Count(Counter::kStoreErrors);
        return false;
      }
      known =
          m_records.emplace(team, std::get<Stored>(std::move(outcome))).first;
    }
    limits::TeamGrants next = known->second.grants;
    for (const ShardId& shard : m_shards) {
      const auto wish = m_wishes.find({team, shard});
      const auto held = next.slots.find(shard);
      limits::GrantRequest request;
      request.shard = shard;
      request.wanted = wish != m_wishes.end()     ? wish->second.slots
                       : held != next.slots.end() ? held->second
                                                  : 0;
      request.in_use = wish != m_wishes.end() ? wish->second.in_use : 0;
      request.limit = LimitOf(team);
      request.config = m_config->revision;
      auto outcome = Capture([&] { return limits::NextGrants(next, request); });
      if (std::holds_alternative<Error>(outcome)) {
        return true;  // A newer revision is on its way here; it asks again.
      }
      next = std::get<limits::TeamGrants>(std::move(outcome));
    }
    if (next == known->second.grants) {
      Tell(next);
      return true;
    }
    auto written = Capture([&] { return Write(next, known->second.revision); });
    if (auto* stored = std::get_if<Stored>(&written)) {
      known->second = std::move(*stored);
      Tell(known->second.grants);
      return true;
    }
    // Another shard's owner was first, or the answer was lost: read it back.
    m_records.erase(known);
    if (std::get<Error>(written).kind != ErrorKind::kStoreConflict) {
      m_wiring.metrics.Count(Counter::kStoreErrors);
      return false;
    }
  }
  return false;
}

void LedgerDuty::Tell(const limits::TeamGrants& grants) {
  for (const ShardId& shard : m_shards) {
    const auto held = grants.slots.find(shard);
    const std::int64_t slots = held == grants.slots.end() ? 0 : held->second;
    m_wiring.owner.Post(
        ShardEvent{shard, sched::GrantChanged{grants.team, slots}});
  }
}

}  // namespace buckthornmux::runtime
