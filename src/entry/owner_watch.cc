#include "buckthornmux/detail/entry/owner_watch.h"

#include <algorithm>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;

/// Calls are answered within some 20 ms.
constexpr Millis kUnanswered{120};
/// A probe is answered within some 5 ms; a host that pauses for longer than
/// this stage and the next together is taken for gone.
constexpr Millis kProbeTime{100};
/// Others have the time of a probe, and of the way.
constexpr Millis kAskTime{200};
/// After a suspicion that was wrong.
constexpr Millis kQuiet{500};
/// Times the bounds above while an owner reads the cell: it answers no ping for
/// as long as it takes in a page or asks all targets at once.
constexpr int kRecoveringFactor = 5;
/// Longer than a host of an eighth of a core on 10 Mbit/s takes for 1 MB.
constexpr Millis kRecoversWithin{5000};
/// A link to an owner that reads the cell may have been given up for silence;
/// one that lives takes a new one at once.
constexpr Millis kReconnects{400};
/// Hosts asked at once.
constexpr std::size_t kMostAsked = 4;

}  // namespace

bool OwnerWatch::AliveSince(const HostId& host, Time since) const {
  const auto found = m_last_alive.find(host);
  return found != m_last_alive.end() && found->second >= since;
}

void OwnerWatch::Calm(Time quiet_until) {
  m_stage = Stage::kCalm;
  m_quiet_until = quiet_until;
  m_open.clear();
  m_answered = false;
}

void OwnerWatch::Tick(const HostId& owner, std::optional<Time> waiting_since,
                      Time now) {
  AnswerAsked(now);
  if (owner != m_owner) {
    m_owner = owner;
    m_recovers_until = now + kRecoversWithin;
    m_unlinked_since.reset();
    Calm(now);
  }
  if (m_owner.empty() || now < m_quiet_until) {
    return;
  }
  const bool linked = std::ranges::count(m_links.peers(), m_owner) > 0;
  m_unlinked_since =
      linked ? std::nullopt : std::optional(m_unlinked_since.value_or(now));
  if (m_stage == Stage::kCalm) {
    const Millis reconnects = now < m_recovers_until ? kReconnects : Millis(0);
    if (!linked && !m_links.peers().empty()) {
      if (now - *m_unlinked_since >= reconnects) {
        AskOthers(now);
      }
    } else if (waiting_since &&
               now - *waiting_since >= Allowed(kUnanswered, now) &&
               !AliveSince(m_owner, now - Allowed(kUnanswered, now))) {
      m_stage = Stage::kProbing;
      m_since = now;
      m_links.probe(m_owner);
    }
  } else if (AliveSince(m_owner, m_since)) {
    Calm(now);
  } else if (m_stage == Stage::kProbing &&
             now - m_since >= Allowed(kProbeTime, now)) {
    AskOthers(now);
  } else if (m_stage == Stage::kAsking &&
             now - m_since >= Allowed(kAskTime, now)) {
    // Without any answer it is this host that is cut off.
    const bool gone = m_answered;
    const HostId suspect = m_owner;
    Calm(now + kQuiet);
    if (gone) {
      m_links.gone(suspect);
    }
  }
}

void OwnerWatch::AskOthers(Time now) {
  m_stage = Stage::kAsking;
  m_since = now;
  for (const HostId& peer : m_links.peers()) {
    if (peer != m_owner && m_open.size() < kMostAsked) {
      const std::uint64_t ask = m_next_ask++;
      m_open.insert(ask);
      m_links.ask(peer, {ask, m_owner});
    }
  }
  const auto alive = m_last_alive.find(m_owner);
  LogLine("owner_suspected")
      .With("owner", m_owner)
      .With("alive_ms_ago",
            alive == m_last_alive.end() ? -1 : (now - alive->second).count())
      .With("asked", static_cast<std::uint64_t>(m_open.size()));
}

Millis OwnerWatch::Allowed(Millis bound, Time now) const {
  return now < m_recovers_until ? bound * kRecoveringFactor : bound;
}

void OwnerWatch::Answered(const HostId& host, const CellReply& reply) {
  const bool served =
      reply.end != CallEnd::kUnknown && reply.end != CallEnd::kRefused;
  if (host == m_owner && served) {
    m_recovers_until = Time{};
  }
}

void OwnerWatch::Alive(const HostId& host, Time now) {
  m_last_alive[host] = now;
}

void OwnerWatch::Take(const HostId& from, const LivenessQuery& ask, Time now) {
  const bool linked = std::ranges::count(m_links.peers(), ask.host) > 0;
  const bool recovering = ask.host == m_owner && now < m_recovers_until;
  if (!linked && !recovering) {
    m_links.tell(from, {ask.ask, false});
    return;
  }
  m_links.probe(ask.host);
  m_asked.push_back({from, ask, now});
}

/// Answers once the ping was answered, or was not in time.
void OwnerWatch::AnswerAsked(Time now) {
  std::erase_if(m_asked, [&](const Asked& asked) {
    const bool alive = AliveSince(asked.ask.host, asked.since);
    const Millis bound =
        asked.ask.host == m_owner ? Allowed(kProbeTime, now) : kProbeTime;
    if (!alive && now - asked.since < bound) {
      return false;
    }
    m_links.tell(asked.from, {asked.ask.ask, alive});
    return true;
  });
}

void OwnerWatch::Take(const LivenessReply& reply, Time now) {
  if (m_stage != Stage::kAsking || m_open.erase(reply.ask) == 0) {
    return;
  }
  if (reply.alive) {
    m_links.reconnect(m_owner);
    Calm(now + kQuiet);
    return;
  }
  m_answered = true;
  if (m_open.empty()) {
    m_since = now - Allowed(kAskTime,
                            now);  // All have answered: the next tick decides.
  }
}

}  // namespace buckthornmux::entry
