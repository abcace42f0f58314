#include "buckthornmux/detail/runtime/ledger_duty.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::runtime {
namespace {

constexpr Millis kRetryPause{200};

std::string KeyOf(const TeamName& team) {
  return std::string(store::kGrantsPrefix) + team;
}

limits::GrantWrite EndOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kStoreConflict:
      return limits::GrantWrite::kLost;
    case ErrorKind::kStoreUnavailable:
      return limits::GrantWrite::kUnavailable;
    default:
      return limits::GrantWrite::kUnknown;
  }
}

}  // namespace

LedgerDuty::LedgerDuty(Wiring& wiring) : m_wiring(wiring) {}

Time LedgerDuty::Step(std::vector<LedgerMessage> messages, Time now) {
  for (const LedgerMessage& message : messages) {
    std::visit([&](const auto& one) { Take(one, now); }, message);
  }
  Time next = Time::max();
  for (auto& [name, team] : m_teams) {
    Advance(name, team, now);
    if (!team.asked && !team.open.empty()) {
      next = std::min(next, team.next_try);
    }
  }
  return next;
}

// ---- Messages ---------------------------------------------------------------

void LedgerDuty::Take(const GrantWanted& message, Time /*now*/) {
  const auto team = m_teams.find(message.team);
  if (team != m_teams.end() && m_shards.contains(message.shard)) {
    team->second.open.insert(message.shard);
  }
}

void LedgerDuty::Take(const GrantWrite& message, Time now) {
  m_wiring.metrics.Count(Counter::kLedgerWrites);
  Team& team = m_teams[message.team];
  team.asked = false;
  const auto outcome = Capture([&] {
    return m_wiring.store.put(KeyOf(message.team),
                              limits::EncodeGrants(message.next),
                              message.expected, store::kNoLease);
  });
  GrantWritten written{message.shard, message.team, message.next,
                       message.expected, limits::GrantWrite::kWritten};
  if (const auto* revision = std::get_if<Revision>(&outcome)) {
    team.record = Stored{message.next, *revision};
  } else {
    const ErrorKind kind = std::get<Error>(outcome).kind;
    written.end = EndOf(kind);
    team.record.reset();
    team.open.insert(message.shard);
    if (written.end != limits::GrantWrite::kLost) {
      m_wiring.metrics.Count(Counter::kStoreErrors);
      team.next_try = now + kRetryPause;
    }
  }
  m_wiring.owner.Post(std::move(written));
}

void LedgerDuty::Take(const GrantSettled& message, Time /*now*/) {
  m_teams[message.team].asked = false;
}

void LedgerDuty::OpenAll(const ShardId& shard) {
  for (auto& [name, team] : m_teams) {
    team.open.insert(shard);
  }
}

void LedgerDuty::Take(const LedgerShardGained& message, Time /*now*/) {
  m_shards.insert(message.shard);
  OpenAll(message.shard);
}

void LedgerDuty::Take(const LedgerShardLost& message, Time /*now*/) {
  m_shards.erase(message.shard);
  for (auto& [name, team] : m_teams) {
    team.open.erase(message.shard);
  }
}

void LedgerDuty::Take(const ConfigChanged& message, Time /*now*/) {
  for (const config::Team& team : message.config->teams) {
    m_teams[team.name].open = m_shards;
  }
}

/// Another shard's owner has changed a record: its demand may lower the part of
/// the shards here.
void LedgerDuty::Take(const StateRead& message, Time /*now*/) {
  for (const store::Entry& entry : *message.entries) {
    const auto team =
        m_teams.find(entry.key.substr(store::kGrantsPrefix.size()));
    if (team == m_teams.end() ||
        (team->second.record &&
         team->second.record->revision >= entry.revision)) {
      continue;
    }
    auto decoded = Capture([&] { return limits::DecodeGrants(entry.value); });
    if (auto* grants = std::get_if<limits::TeamGrants>(&decoded)) {
      team->second.record = Stored{std::move(*grants), entry.revision};
      team->second.open = m_shards;
    }
  }
}

// ---- Steps ------------------------------------------------------------------

Result<LedgerDuty::Stored> LedgerDuty::Read(const TeamName& team) const {
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

void LedgerDuty::Advance(const TeamName& name, Team& team, Time now) {
  if (team.asked || team.open.empty() || now < team.next_try) {
    return;
  }
  if (!team.record) {
    auto outcome = Capture([&] { return Read(name); });
    if (const auto* error = std::get_if<Error>(&outcome)) {
      m_wiring.metrics.Count(Counter::kStoreErrors);
      LogLine("ledger_read_failed", LogLine::Level::kWarning)
          .With("team", name)
          .With("error", AnswerFor(error->kind).name);
      team.next_try = now + kRetryPause;
      return;
    }
    team.record = std::get<Stored>(std::move(outcome));
  }
  const ShardId shard = *team.open.begin();
  team.open.erase(team.open.begin());
  team.asked = true;
  m_wiring.owner.Post(
      GrantRead{shard, name, team.record->grants, team.record->revision});
}

}  // namespace buckthornmux::runtime
