// Load of the cell's owner: what it is measured by, and the hand-over of an
// owner that is overloaded.
#include <algorithm>
#include <ctime>
#include <string>
#include <utility>
#include <vector>

#include "host_process.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;
using Micros = std::chrono::microseconds;

constexpr Millis kOverloadLogInterval{1000};

Micros ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Micros>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

void Host::MeasureLoad(Time now) {
  if (now - m_load_at < kOwnerSampleInterval) {
    return;
  }
  const LoadCounters last = m_load_counters;
  m_load_counters = {m_traffic.sent, m_traffic.received, ProcessorTime()};
  const Millis span = now - std::exchange(m_load_at, now);
  if (!m_cell.Owning()) {
    m_metrics.Set(runtime::Gauge::kOwnerLinkKbps, 0);
    m_metrics.Set(runtime::Gauge::kOwnerBusyPermille, 0);
    return;
  }
  m_owner_load.Add({span, m_load_counters.sent - last.sent,
                    m_load_counters.received - last.received,
                    m_load_counters.busy - last.busy,
                    FastestQuarter(m_peers.Delays()), m_cell.StartDelay(now)});
  const HostNeed used = m_owner_load.Current();
  constexpr double kMilli = 1000;
  const double cores = m_settings.capacity.cores;
  m_metrics.Set(runtime::Gauge::kOwnerLinkKbps,
                static_cast<std::uint64_t>(used.link_mbps * kMilli));
  m_metrics.Set(runtime::Gauge::kOwnerBusyPermille,
                static_cast<std::uint64_t>(used.cores * kMilli /
                                           (cores > 0 ? cores : 1)));
}

void Host::CheckLoad(Time now) {
  const auto limiting = m_owner_load.Overloaded(m_settings.capacity);
  if (!limiting || m_leaving || m_passive || m_cell.ReleasingSince() ||
      !m_cell.Owning() || !HasUnlikeHosts(m_members.Members())) {
    return;
  }
  const HostNeed used = m_owner_load.Current();
  std::vector<member::Member> candidates;
  for (const HostId& host : Successors()) {
    const auto& members = m_members.Members();
    const auto found = std::ranges::find(members, host, &member::Member::id);
    if (found != members.end()) {
      candidates.push_back(*found);
    }
  }
  const auto to =
      ChooseSuccessor({m_settings.capacity, *limiting,
                       m_owner_load.Peak().value_or(used), m_gained_at},
                      candidates, m_overloaded, now);
  const bool hands_over = to && ServesNow(m_gauge, now);
  if (hands_over || now - m_overload_logged >= kOverloadLogInterval) {
    constexpr double kMilli = 1000;
    m_overload_logged = now;
    LogLine("owner_overloaded", Level::kWarning)
        .With("limiting", NameOf(*limiting))
        .With("link_kbps", static_cast<std::int64_t>(used.link_mbps * kMilli))
        .With("busy_cores_milli",
              static_cast<std::int64_t>(used.cores * kMilli))
        .With("peer_delay_ms", FastestQuarter(m_peers.Delays()).count())
        .With("start_delay_ms", m_cell.StartDelay(now).count())
        .With("successor", hands_over ? *to : HostId("none"));
  }
  if (!hands_over) {
    return;
  }
  const OwnerOverloaded notice{m_members.OwnedEpoch(std::string(kRange))};
  if (HandOverTo(*to, "owner overloaded")) {
    TellOverloaded(notice, now);
  }
}

void Host::TellOverloaded(const OwnerOverloaded& notice, Time now) {
  m_overloaded[m_settings.host] = now;
  for (const HostId& peer : m_links_up) {
    SendTo(peer, notice);
  }
}

}  // namespace buckthornmux::entry
