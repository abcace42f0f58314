#include "buckthornmux/detail/runtime/beat_clock.h"

namespace buckthornmux::runtime {

void BeatClock::Sent(std::uint64_t sequence, Time at) {
  const std::scoped_lock lock(m_mutex);
  m_sent.emplace(sequence, at);
  if (m_sent.size() > kKept) {
    m_sent.erase(m_sent.begin());
  }
}

std::optional<Time> BeatClock::SentAt(std::uint64_t sequence) const {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_sent.find(sequence);
  return found == m_sent.end() ? std::nullopt : std::optional(found->second);
}

void BeatClock::Heard(const peer::Heartbeat& heartbeat) {
  const std::scoped_lock lock(m_mutex);
  m_heard[heartbeat.host] = {heartbeat.host, heartbeat.incarnation,
                             heartbeat.sequence};
}

std::vector<peer::Echo> BeatClock::Echoes() const {
  const std::scoped_lock lock(m_mutex);
  std::vector<peer::Echo> echoes;
  for (const auto& [host, echo] : m_heard) {
    echoes.push_back(echo);
  }
  return echoes;
}

}  // namespace buckthornmux::runtime
