#include "buckthornmux/detail/entry/store_relay.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// Between two rounds of queries: what is read elsewhere is that much older.
constexpr Millis kAskEvery{150};
/// Hosts asked in one round: the store may reject one of them as well.
constexpr std::size_t kAskedAtOnce = 3;
/// Questions without an answer for longer are forgotten.
constexpr Millis kAskKept{2000};
/// The store counts as there for others so long after the last such word.
constexpr Millis kServedFor{1500};

}  // namespace

StoreRelay::StoreRelay(RulesReader& rules, const StoreGauge& gauge,
                       StoreRelayLinks links)
    : m_rules(rules), m_gauge(gauge), m_links(std::move(links)) {}

void StoreRelay::Tick(Time now) {
  const std::optional<Time> trouble = TroubleSince(m_gauge, now);
  if (trouble && !m_trouble) {
    LogLine("store_not_served", Level::kWarning)
        .With("for_ms", (now - *trouble).count())
        .With("rules_age_ms", (now - m_rules.ConfirmedAt()).count());
    m_next_peer = 0;
  } else if (!trouble && m_trouble) {
    LogLine("store_served_again").With("after_ms", (now - *m_trouble).count());
  }
  m_trouble = trouble;
  std::erase_if(
      m_asks, [&](const auto& entry) { return now - entry.second > kAskKept; });
  if (!m_trouble || now < m_ask_at) {
    return;
  }
  m_ask_at = now + kAskEvery;
  const std::vector<HostId> peers = m_links.peers();
  for (std::size_t i = 0; i < std::min(kAskedAtOnce, peers.size()); ++i) {
    const std::uint64_t ask = m_next_ask++;
    m_asks.emplace(ask, now);
    m_links.ask(peers[m_next_peer++ % peers.size()],
                {ask, m_rules.Latest().revision});
  }
}

void StoreRelay::Take(const HostId& from, const StoreQuery& query, Time now) {
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
  m_links.tell(from, status);
}

void StoreRelay::Take(const HostId& from, const StoreStatus& status, Time now) {
  const auto asked = m_asks.find(status.ask);
  if (asked == m_asks.end()) {
    return;
  }
  const Time asked_at = asked->second;
  m_asks.erase(asked);
  m_rules.Hear({{}, status.rules_text, status.rules_revision},
               asked_at - status.rules_age);
  const bool first = !StoreServesOthers(now);
  // A call that was sent later and answered sooner shows little where the
  // store is as slow there.
  if (m_trouble && !m_gauge.first_bad &&
      now - *m_trouble <= LongestAnswer(status.answer_time)) {
    return;
  }
  m_others_served = std::max(m_others_served, asked_at - status.served_age);
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
    m_links.owner_heard(status.owner);
  }
  if (status.may_own) {
    m_links.served_there(from);
  }
}

bool StoreRelay::OwnerExpected(Time now) const {
  return !m_trouble || StoreServesOthers(now);
}

bool StoreRelay::StoreServesOthers(Time now) const {
  return m_trouble && m_others_served > *m_trouble &&
         now - m_others_served <= kServedFor;
}

}  // namespace buckthornmux::entry
