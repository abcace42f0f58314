#include "buckthornmux/detail/entry/epoch_sightings.h"

#include <algorithm>

namespace buckthornmux::entry {
namespace {

void DropOldest(EpochSightings& sightings) {
  while (sightings.size() > kMaxEpochSightings) {
    sightings.erase(sightings.begin());
  }
}

}  // namespace

void NoteEpoch(EpochSightings& sightings, Epoch epoch, Time now) {
  if (epoch == 0 ||
      (!sightings.empty() && sightings.rbegin()->first >= epoch)) {
    return;
  }
  sightings.emplace(epoch, now);
  DropOldest(sightings);
}

void MergeAges(EpochSightings& sightings, std::span<const EpochAge> ages,
               Time now) {
  for (const EpochAge& each : ages) {
    if (each.epoch == 0 || each.age < Millis(0)) {
      continue;
    }
    const Time seen = now - each.age;
    const auto [found, added] = sightings.try_emplace(each.epoch, seen);
    found->second = std::min(found->second, seen);
  }
  DropOldest(sightings);
}

std::vector<EpochAge> AgesOf(const EpochSightings& sightings, Time now) {
  std::vector<EpochAge> ages;
  ages.reserve(sightings.size());
  for (const auto& [epoch, seen] : sightings) {
    ages.push_back({epoch, std::max(Millis(0), now - seen)});
  }
  return ages;
}

std::vector<cell::EpochSighting> ListOf(const EpochSightings& sightings) {
  std::vector<cell::EpochSighting> list;
  list.reserve(sightings.size());
  for (const auto& [epoch, seen] : sightings) {
    list.push_back({epoch, seen});
  }
  return list;
}

std::vector<HostId> HostsToAsk(const std::set<HostId>& hosts,
                               std::size_t round) {
  const std::vector<HostId> all(hosts.begin(), hosts.end());
  const std::size_t count = std::min(kEpochHostsAsked, all.size());
  std::vector<HostId> asked;
  asked.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    asked.push_back(all[(i * all.size() / count + round) % all.size()]);
  }
  return asked;
}

}  // namespace buckthornmux::entry
