#include "buckthornmux/detail/entry/owner_load.h"

#include <algorithm>
#include <limits>

namespace buckthornmux::entry {
namespace {

/// The objective of urgent work leaves 250 ms besides its run time.
constexpr Millis kMaxDelay{250};
/// Samples that decide about an overload (2 s), and how many of them must have
/// a delay. A takeover costs about as much as a delay of this length.
constexpr std::size_t kDelaySamples = 8;
constexpr std::ptrdiff_t kMinDelayedSamples = 6;
/// Part of a resource that an owner which it limits uses at least.
constexpr double kMinUse = 0.5;
constexpr Millis kNeedSpan{1000};
/// Demand varies over 17 s and bursts last 4 s, so a minute has several peaks.
constexpr std::size_t kPeakSeconds = 60;
/// Before this, no peak may have been seen.
constexpr std::size_t kMinPeakSeconds = 17;
constexpr std::size_t kMinCalls = 8;
constexpr Millis kCallsSpan{1000};
constexpr double kLimitingFactor = 2;
constexpr double kBitsPerByte = 8;
constexpr double kMilli = 1000;

/// How often the capacity contains the need.
double Headroom(const HostCapacity& capacity, const HostNeed& need) {
  double headroom = std::numeric_limits<double>::infinity();
  if (capacity.cores > 0 && need.cores > 0) {
    headroom = std::min(headroom, capacity.cores / need.cores);
  }
  if (capacity.link_mbps > 0 && need.link_mbps > 0) {
    headroom = std::min(headroom, capacity.link_mbps / need.link_mbps);
  }
  return headroom;
}

double AmountOf(OwnerResource resource, const HostCapacity& capacity) {
  return resource == OwnerResource::kLink ? capacity.link_mbps : capacity.cores;
}

}  // namespace

std::string_view NameOf(OwnerResource resource) {
  return resource == OwnerResource::kLink ? "link" : "processor";
}

Millis FastestQuarter(std::vector<Millis> delays) {
  if (delays.empty()) {
    return Millis(0);
  }
  std::ranges::sort(delays);
  constexpr std::size_t kQuarter = 4;
  return delays[(delays.size() - 1) / kQuarter];
}

void CallDelays::Ended(Time began, Time now) {
  if (const auto found = m_open.find(began); found != m_open.end()) {
    m_open.erase(found);
    m_ended.push_back({now, now - began});
  }
}

Millis CallDelays::Typical(Time now) {
  while (!m_ended.empty() && now - m_ended.front().at > kCallsSpan) {
    m_ended.pop_front();
  }
  std::vector<Millis> delays;
  delays.reserve(m_ended.size() + m_open.size());
  for (const EndedCall& call : m_ended) {
    delays.push_back(call.took);
  }
  for (const Time began : m_open) {
    delays.push_back(now - began);
  }
  if (delays.size() < kMinCalls) {
    return Millis(0);
  }
  const auto middle =
      delays.begin() + static_cast<std::ptrdiff_t>(delays.size() / 2);
  std::ranges::nth_element(delays, middle);
  return *middle;
}

void OwnerLoadGauge::Add(const OwnerSample& sample) {
  m_delayed.push_back(std::max(sample.peer_delay, sample.start_delay) >
                      kMaxDelay);
  if (m_delayed.size() > kDelaySamples) {
    m_delayed.pop_front();
  }
  m_sum.span += sample.span;
  m_sum.sent_bytes += sample.sent_bytes;
  m_sum.received_bytes += sample.received_bytes;
  m_sum.busy += sample.busy;
  if (m_sum.span < kNeedSpan) {
    return;
  }
  const std::chrono::duration<double, std::micro> span = m_sum.span;
  // Links carry both directions at the same time. Bits per us are Mbit/s.
  const auto bytes =
      static_cast<double>(std::max(m_sum.sent_bytes, m_sum.received_bytes));
  m_seconds.push_back({static_cast<double>(m_sum.busy.count()) / span.count(),
                       bytes * kBitsPerByte / span.count()});
  if (m_seconds.size() > kPeakSeconds) {
    m_seconds.pop_front();
  }
  m_sum = {};
}

HostNeed OwnerLoadGauge::Current() const {
  return m_seconds.empty() ? HostNeed{0, 0} : m_seconds.back();
}

std::optional<HostNeed> OwnerLoadGauge::Peak() const {
  if (m_seconds.size() < kMinPeakSeconds) {
    return std::nullopt;
  }
  HostNeed peak{0, 0};
  for (const HostNeed& second : m_seconds) {
    peak.cores = std::max(peak.cores, second.cores);
    peak.link_mbps = std::max(peak.link_mbps, second.link_mbps);
  }
  return peak;
}

std::optional<OwnerResource> OwnerLoadGauge::Overloaded(
    const HostCapacity& capacity) const {
  if (std::ranges::count(m_delayed, true) < kMinDelayedSamples) {
    return std::nullopt;
  }
  const HostNeed used = Current();
  const double link =
      capacity.link_mbps > 0 ? used.link_mbps / capacity.link_mbps : 0;
  const double processor = capacity.cores > 0 ? used.cores / capacity.cores : 0;
  if (std::max(link, processor) < kMinUse) {
    return std::nullopt;
  }
  return link >= processor ? OwnerResource::kLink : OwnerResource::kProcessor;
}

bool Carries(const HostCapacity& capacity, const HostNeed& need) {
  return Headroom(capacity, need) >= kNeedMargin;
}

HostCapacity CapacityOf(const member::Member& member) {
  return {member.cores_milli / kMilli, member.link_kbps / kMilli};
}

std::vector<member::Member> Weighed(std::span<const member::Member> members,
                                    const HostNeed& need) {
  std::vector<member::Member> weighed(members.begin(), members.end());
  for (member::Member& member : weighed) {
    if (member.cores_milli > 0 && member.link_kbps > 0) {
      member.weight = WeightOf(CapacityOf(member), need);
    }
  }
  return weighed;
}

bool HasUnlikeHosts(std::span<const member::Member> members) {
  const auto known = [](const member::Member& member) {
    return member.cores_milli > 0 || member.link_kbps > 0;
  };
  const auto first = std::ranges::find_if(members, known);
  return std::any_of(first, members.end(), [&](const member::Member& member) {
    return known(member) && (member.cores_milli != first->cores_milli ||
                             member.link_kbps != first->link_kbps);
  });
}

bool ShouldCede(const HostCapacity& own, const std::optional<HostNeed>& peak,
                std::uint32_t best_weight) {
  return !(peak && Carries(own, *peak)) &&
         member::HasInsufficientWeight(WeightOf(own, peak.value_or(HostNeed{})),
                                       best_weight);
}

bool OverloadedLately(const OverloadedHosts& overloaded, const HostId& host,
                      Time now) {
  const auto found = overloaded.find(host);
  return found != overloaded.end() &&
         now - found->second < kOverloadedHostPause;
}

std::optional<HostId> ChooseSuccessor(
    const OverloadedOwner& owner, std::span<const member::Member> candidates,
    const OverloadedHosts& overloaded, Time now) {
  const bool handed_over_lately =
      std::ranges::any_of(overloaded, [&](const auto& host) {
        return now - host.second < kOverloadHandoverInterval;
      });
  if (handed_over_lately || now - owner.gained_at < kMinOverloadedOwnership) {
    return std::nullopt;
  }
  const double required =
      kLimitingFactor * AmountOf(owner.limiting, owner.capacity);
  double best_headroom = Headroom(owner.capacity, owner.need);
  std::optional<HostId> best;
  for (const member::Member& candidate : candidates) {
    const HostCapacity capacity = CapacityOf(candidate);
    const double headroom = Headroom(capacity, owner.need);
    if (AmountOf(owner.limiting, capacity) >= required &&
        headroom > best_headroom &&
        !OverloadedLately(overloaded, candidate.id, now)) {
      best = candidate.id;
      best_headroom = headroom;
    }
  }
  return best;
}

}  // namespace buckthornmux::entry
