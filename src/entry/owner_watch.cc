#include "buckthornmux/detail/entry/owner_watch.h"

#include <algorithm>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;

/// Time until an unanswered call leads to a probe. Calls are usually answered
/// within about 20 ms.
constexpr Millis kCallTimeout{120};
/// A probe is usually answered within about 5 ms. A host that pauses for longer
/// than kProbeTimeout and kPeerReplyTimeout together counts as failed.
constexpr Millis kProbeTimeout{100};
/// Covers a probe by the other host and the network delay.
constexpr Millis kPeerReplyTimeout{200};
/// Delay before the owner can be suspected again.
constexpr Millis kNextSuspicionDelay{500};
/// Multiplies the time-outs above while an owner reads the cell. It answers no
/// ping while it processes a page of records or sends requests to all targets.
constexpr int kRecoveringFactor = 5;
/// An owner may take this many times as long as its slowest answers to pings.
constexpr int kSlowOwnerFactor = 3;
/// Upper bound of what slow answers add. The registration of an owner that is
/// gone expires soon after.
constexpr Millis kMaxSlowOwnerTimeout{900};
/// Exceeds the time that a host with an eighth of a core and a 10 Mbit/s link
/// takes to read 1 MB.
constexpr Millis kRecoveryTimeout{5000};
/// The connection to an owner that reads the cell may have been closed because
/// it sent nothing. An owner that is alive accepts a new one immediately.
constexpr Millis kReconnectTimeout{400};
/// An owner sends each host a ping every 300 ms. A host that received a frame
/// within this time tells another one that the owner is alive.
constexpr Millis kPeerFrameTimeout{400};
/// Maximum number of hosts queried about one suspected owner.
constexpr std::size_t kMaxHostsQueried = 4;

}  // namespace

bool OwnerWatch::AliveSince(const HostId& host, Time since) const {
  const auto found = m_last_alive.find(host);
  return found != m_last_alive.end() && found->second >= since;
}

bool OwnerWatch::FrameSince(const HostId& host, Time since) const {
  const auto found = m_last_frame.find(host);
  return m_silence_bound > Millis(0) && found != m_last_frame.end() &&
         found->second >= since;
}

void OwnerWatch::Reset(Time suspect_after) {
  m_stage = Stage::kIdle;
  m_suspect_after = suspect_after;
  m_open_queries.clear();
  m_peer_confirmed = false;
}

void OwnerWatch::Tick(const HostId& owner, std::optional<Time> waiting_since,
                      Time now) {
  ReplyToQueries(now);
  if (owner != m_owner) {
    m_former_owner = m_owner.empty() ? m_former_owner : m_owner;
    m_owner = owner;
    m_recovering_until = now + kRecoveryTimeout;
    m_disconnected_since.reset();
    Reset(now);
  }
  if (m_owner.empty() || now < m_suspect_after) {
    return;
  }
  const bool linked = std::ranges::count(m_links.peers(), m_owner) > 0;
  m_disconnected_since =
      linked ? std::nullopt : std::optional(m_disconnected_since.value_or(now));
  if (m_stage == Stage::kIdle) {
    const Millis reconnect_timeout =
        now < m_recovering_until ? kReconnectTimeout : Millis(0);
    if (!linked && !m_links.peers().empty()) {
      if (now - *m_disconnected_since >= reconnect_timeout) {
        QueryOtherHosts(now);
      }
    } else if (waiting_since &&
               now - *waiting_since >= TimeoutFor(kCallTimeout, now) &&
               !AliveSince(m_owner, now - TimeoutFor(kCallTimeout, now)) &&
               !FrameSince(m_owner, now - m_silence_bound + kProbeTimeout)) {
      m_stage = Stage::kProbing;
      m_since = now;
      m_links.probe(m_owner);
    }
  } else if (AliveSince(m_owner, m_since) ||
             FrameSince(m_owner, std::max(m_since, m_queried_at))) {
    Reset(now);
  } else if (m_stage == Stage::kProbing &&
             now - m_since >= TimeoutFor(kProbeTimeout, now)) {
    QueryOtherHosts(now);
  } else if (m_stage == Stage::kQuerying &&
             now - m_since >= TimeoutFor(kPeerReplyTimeout, now)) {
    // If no host replied, this host is probably disconnected itself.
    const bool failed = m_peer_confirmed;
    const HostId suspect = m_owner;
    Reset(now + kNextSuspicionDelay);
    if (failed) {
      m_links.owner_failed(suspect);
    }
  }
}

void OwnerWatch::QueryOtherHosts(Time now) {
  m_stage = Stage::kQuerying;
  m_since = now;
  m_queried_at = now;
  for (const HostId& peer : m_links.peers()) {
    if (peer != m_owner && m_open_queries.size() < kMaxHostsQueried) {
      const std::uint64_t ask = m_next_ask++;
      m_open_queries.insert(ask);
      m_links.send_query(peer, {ask, m_owner});
    }
  }
  const auto alive = m_last_alive.find(m_owner);
  LogLine("owner_suspected")
      .With("owner", m_owner)
      .With("alive_ms_ago",
            alive == m_last_alive.end() ? -1 : (now - alive->second).count())
      .With("answer_time_ms", m_answer_time.Longest(now).count())
      .With("asked", static_cast<std::uint64_t>(m_open_queries.size()));
}

Millis OwnerWatch::TimeoutFor(Millis timeout, Time now) const {
  const Millis slow = std::min(kSlowOwnerFactor * m_answer_time.Longest(now),
                               kMaxSlowOwnerTimeout);
  return std::max(
      now < m_recovering_until ? timeout * kRecoveringFactor : timeout, slow);
}

void OwnerWatch::OnCallReply(const HostId& host, const CellReply& reply) {
  const bool served =
      reply.end != CallResult::kUnknown && reply.end != CallResult::kRefused;
  if (host == m_owner && served) {
    m_recovering_until = Time{};
  }
}

void OwnerWatch::OnPingAnswered(const HostId& host, Millis took, Time now) {
  m_last_alive[host] = now;
  // A former owner that answers after all was not given enough time. One that
  // took even longer was cut off or paused.
  if ((host == m_owner || host == m_former_owner) &&
      took <= kMaxSlowOwnerTimeout) {
    m_answer_time.Add(took, now);
  }
}

void OwnerWatch::HandleQuery(const HostId& from, const LivenessQuery& ask,
                             Time now) {
  const bool linked = std::ranges::count(m_links.peers(), ask.host) > 0;
  const bool recovering = ask.host == m_owner && now < m_recovering_until;
  if (!linked && !recovering) {
    m_links.send_reply(from, {ask.ask, false});
    return;
  }
  m_links.probe(ask.host);
  m_pending_queries.push_back({from, ask, now});
}

/// Replies to queries whose ping was answered or timed out.
void OwnerWatch::ReplyToQueries(Time now) {
  std::erase_if(m_pending_queries, [&](const PendingQuery& query) {
    const bool alive = AliveSince(query.ask.host, query.since) ||
                       FrameSince(query.ask.host, now - kPeerFrameTimeout);
    const Millis timeout = query.ask.host == m_owner
                               ? TimeoutFor(kProbeTimeout, now)
                               : kProbeTimeout;
    if (!alive && now - query.since < timeout) {
      return false;
    }
    m_links.send_reply(query.from, {query.ask.ask, alive});
    return true;
  });
}

void OwnerWatch::HandleReply(const LivenessReply& reply, Time now) {
  if (m_stage != Stage::kQuerying || m_open_queries.erase(reply.ask) == 0) {
    return;
  }
  if (reply.alive) {
    m_links.reconnect(m_owner);
    Reset(now + kNextSuspicionDelay);
    return;
  }
  m_peer_confirmed = true;
  if (m_open_queries.empty()) {
    // All hosts have replied, so the next tick decides.
    m_since = now - TimeoutFor(kPeerReplyTimeout, now);
  }
}

}  // namespace buckthornmux::entry
