#include "buckthornmux/detail/entry/evacuation_relay.h"

#include <algorithm>
#include <utility>

namespace buckthornmux::entry {
namespace {

/// Interval between rounds of queries.
constexpr Millis kQueryInterval{150};
/// Hosts queried in one round; several, since the store may reject one of them
/// as well.
constexpr std::size_t kMaxHostsPerRound = 3;
/// Queries that are unanswered for longer are dropped.
constexpr Millis kQueryTimeout{2000};
/// How long a host reads the requests after a query. Longer than several rounds
/// of queries, so that a lost query doesn't end the reading.
constexpr Millis kReadAfterQuery{2000};

}  // namespace

EvacuationRelay::EvacuationRelay(EvacuationReader& reader,
                                 EvacuationRelayLinks links)
    : m_reader(reader), m_links(std::move(links)) {}

void EvacuationRelay::Tick(bool store_fails, Time now) {
  std::erase_if(m_asks, [&](const auto& entry) {
    return now - entry.second > kQueryTimeout;
  });
  if (!store_fails || !m_reader.Active() || now < m_ask_at) {
    return;
  }
  m_ask_at = now + kQueryInterval;
  const std::vector<HostId> peers = m_links.peers();
  for (std::size_t i = 0; i < std::min(kMaxHostsPerRound, peers.size()); ++i) {
    const std::uint64_t ask = m_next_ask++;
    m_asks.emplace(ask, now);
    m_links.send_query(peers[m_next_peer++ % peers.size()], {ask});
  }
}

void EvacuationRelay::HandleQuery(const HostId& from,
                                  const EvacuationQuery& query, Time now) {
  m_reader.ReadUntil(now + kReadAfterQuery);
  if (const auto confirmed_at = m_reader.ConfirmedAt()) {
    m_links.send_status(from,
                        {query.ask, m_reader.Current(), now - *confirmed_at});
  }
}

void EvacuationRelay::HandleStatus(const EvacuationStatus& status) {
  const auto asked = m_asks.find(status.ask);
  if (asked == m_asks.end()) {
    return;
  }
  const Time asked_at = asked->second;
  m_asks.erase(asked);
  // A negative age would confirm a list for a time that is still to come.
  m_reader.AdoptRemote(status.list, asked_at - std::max(Millis(0), status.age));
}

}  // namespace buckthornmux::entry
