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
/// Preferred hosts, which come first in StoreRelayLinks::peers. They are
/// queried at least every 300 ms, so that the cell goes to one of them soon
/// after the store has served it again.
constexpr std::size_t kPreferredHosts = 4;
/// Hosts queried in one round; several, since the store may reject one of them
/// as well.
constexpr std::size_t kPreferredPerRound = 2;
constexpr std::size_t kOthersPerRound = 3;
/// Queries that are unanswered for longer are dropped.
constexpr Millis kQueryTimeout{2000};
/// How long the store counts as serving others after the last call that it
/// answered for another host.
constexpr Millis kServedTimeout{1500};
/// How much later than this host's first failed call another host's answered
/// call must have begun for a hand-over. An outage of the store that affects
/// all hosts may begin for some of them up to this much earlier than for
/// others. Each host calls the store every 300 ms, so a hand-over for which the
/// store does serve another host is delayed by about as much.
constexpr Millis kMinServedLead{300};

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
    m_next_preferred = 0;
    m_next_other = 0;
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
  const std::span<const HostId> all = peers;
  const std::size_t preferred = std::min(kPreferredHosts, peers.size());
  QuerySome(all.first(preferred), kPreferredPerRound, m_next_preferred, now);
  QuerySome(all.subspan(preferred), kOthersPerRound, m_next_other, now);
}

/// Queries up to `count` of the hosts, beginning after those of the last round.
void StoreRelay::QuerySome(std::span<const HostId> hosts, std::size_t count,
                           std::size_t& next, Time now) {
  for (std::size_t i = 0; i < std::min(count, hosts.size()); ++i) {
    const std::uint64_t ask = m_next_ask++;
    m_asks.emplace(ask, now);
    m_links.send_query(hosts[next++ % hosts.size()],
                       {ask, m_rules.Latest().revision});
  }
}

void StoreRelay::HandleQuery(const HostId& from, const StoreQuery& query,
                             Time now) {
  StoreStatus status;
  status.ask = query.ask;
  status.served_age = now - m_gauge.answered;
  status.answer_time = m_gauge.answer_time;
  status.may_own = m_links.may_own() && ServesNow(m_gauge, now);
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
  const Time served_at = asked_at - status.served_age;
  m_others_served_at = std::max(m_others_served_at, served_at);
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
  if (status.may_own && served_at - *m_failing_since >= kMinServedLead) {
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
