#include "buckthornmux/detail/entry/store_relay.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// Interval between rounds of queries. Relayed data is up to this much older.
constexpr Millis kQueryInterval{150};
/// Hosts queried in one round; several, since the store may reject one of them
/// as well.
constexpr std::size_t kMaxHostsPerRound = 3;
/// Queries that are unanswered for longer are dropped.
constexpr Millis kQueryTimeout{2000};
/// How long the store counts as serving others after the last call that it
/// answered for another host.
constexpr Millis kServedTimeout{1500};

}  // namespace

StoreRelay::StoreRelay(RulesReader& rules, const StoreGauge& gauge,
                       StoreRelayLinks links)
    : m_rules(rules), m_gauge(gauge), m_links(std::move(links)) {}

void StoreRelay::Tick(Time now) {
  const std::optional<Time> failing_since = FailingSince(m_gauge, now);
  if (failing_since && !m_failing_since) {
    LogLine("store_not_served", Level::kWarning)
        .With("for_ms", (now - *failing_since).count())
        .With("rules_age_ms", (now - m_rules.ConfirmedAt()).count());
    m_next_peer = 0;
  } else if (!failing_since && m_failing_since) {
    LogLine("store_served_again")
        .With("after_ms", (now - *m_failing_since).count());
  }
  m_failing_since = failing_since;
  std::erase_if(m_asks, [&](const auto& entry) {
    return now - entry.second > kQueryTimeout;
  });
  if (!m_failing_since || now < m_ask_at) {
    return;
  }
  m_ask_at = now + kQueryInterval;
  const std::vector<HostId> peers = m_links.peers();
  for (std::size_t i = 0; i < std::min(kMaxHostsPerRound, peers.size()); ++i) {
    const std::uint64_t ask = m_next_ask++;
    m_asks.emplace(ask, now);
    m_links.send_query(peers[m_next_peer++ % peers.size()],
                       {ask, m_rules.Latest().revision});
  }
}

void StoreRelay::HandleQuery(const HostId& from, const StoreQuery& query,
                             Time now) {
  StoreStatus status;
  status.ask = query.ask;
  status.served_age = now - m_gauge.answered;
  status.answer_time = m_gauge.answer_time;
  status.may_own = m_links.may_own();
  status.rules_revision = m_rules.Latest().revision;
  status.rules_age = now - m_rules.ConfirmedAt();
  if (status.rules_revision > query.rules_known) {
    status.rules_text = m_rules.Latest().value;
  }
  if (const auto owner = m_links.owner()) {
    status.owner = *owner;
  }
  m_links.send_status(from, status);
}

void StoreRelay::HandleStatus(const HostId& from, const StoreStatus& status,
                              Time now) {
  const auto asked = m_asks.find(status.ask);
  if (asked == m_asks.end()) {
    return;
  }
  const Time asked_at = asked->second;
  m_asks.erase(asked);
  m_rules.AdoptRemote({{}, status.rules_text, status.rules_revision},
                      asked_at - status.rules_age);
  const bool first = !StoreServesOthers(now);
  // If the store is as slow for the other host, this host's call is merely
  // slow, and an answered call there does not show that the store rejects
  // this host.
  if (m_failing_since && !m_gauge.first_failure &&
      now - *m_failing_since <= ResponseTimeout(status.answer_time)) {
    return;
  }
  m_others_served_at =
      std::max(m_others_served_at, asked_at - status.served_age);
  if (!StoreServesOthers(now)) {
    return;
  }
  if (first) {
    LogLine("store_serves_others")
        .With("told_by", from)
        .With("served_age_ms", status.served_age.count())
        .With("rules_age_ms", (now - m_rules.ConfirmedAt()).count());
  }
  if (!status.owner.range.empty()) {
    m_links.owner_reported(status.owner);
  }
  if (status.may_own) {
    m_links.store_serves_peer(from);
  }
}

bool StoreRelay::OwnerExpected(Time now) const {
  return !m_failing_since || StoreServesOthers(now);
}

bool StoreRelay::StoreServesOthers(Time now) const {
  return m_failing_since && m_others_served_at > *m_failing_since &&
         now - m_others_served_at <= kServedTimeout;
}

}  // namespace buckthornmux::entry
