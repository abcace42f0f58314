#include "buckthornmux/detail/member/rendezvous.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace buckthornmux::member {
namespace {

using Range = RangesWanted::Range;
using Owners = std::map<std::string, HostId, std::less<>>;
using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest Weight(const HostId& member, const std::string& range) {
  const std::string text = member + '\n' + range;
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return digest;
}

/// Highest weight among the members that still have room.
HostId Choose(const std::string& range, const std::set<HostId>& candidates,
              const std::map<HostId, std::size_t>& load, std::size_t most) {
  HostId best;
  Digest best_weight{};
  for (const HostId& candidate : candidates) {
    const auto found = load.find(candidate);
    if (found != load.end() && found->second >= most) {
      continue;
    }
    const Digest weight = Weight(candidate, range);
    if (best.empty() || weight > best_weight) {
      best = candidate;
      best_weight = weight;
    }
  }
  return best;
}

/// Ranges of one data centre, in the order of their names so that the bound
/// cuts off the same ones in every process.
void Assign(const std::set<std::string>& names,
            const std::set<HostId>& candidates, Owners& owners) {
  const std::size_t count = candidates.size();
  const std::size_t most = (names.size() + count - 1) / count + 1;
  std::map<HostId, std::size_t> load;
  for (const std::string& name : names) {
    const HostId owner = Choose(name, candidates, load, most);
    ++load[owner];
    owners[name] = owner;
  }
}

std::uint32_t MostWeight(std::span<const Member> members) {
  std::uint32_t most = 0;
  for (const Member& member : members) {
    most = std::max(most, member.leaving ? 0 : member.weight);
  }
  return most;
}

}  // namespace

std::vector<HostId> OwnersInOrder(const std::string& range,
                                  std::span<const Member> members) {
  const std::uint32_t most = MostWeight(members);
  // Those that can carry it count as alike.
  using Rank = std::tuple<std::uint32_t, Digest, HostId>;
  std::vector<Rank> ranks;
  for (const Member& member : members) {
    if (!member.leaving) {
      const bool fit = !CarriesLess(member.weight, most);
      ranks.emplace_back(fit ? most : member.weight, Weight(member.id, range),
                         member.id);
    }
  }
  std::ranges::sort(ranks, std::ranges::greater{});
  std::vector<HostId> owners;
  owners.reserve(ranks.size());
  for (const Rank& rank : ranks) {
    owners.push_back(std::get<HostId>(rank));
  }
  return owners;
}

Owners WantedOwners(std::span<const Range> ranges,
                    std::span<const Member> members) {
  std::set<HostId> anywhere;
  std::map<DataCentre, std::set<HostId>> by_data_centre;
  const std::uint32_t most = MostWeight(members);
  for (const Member& member : members) {
    if (!member.leaving && !CarriesLess(member.weight, most)) {
      anywhere.insert(member.id);
      by_data_centre[member.data_centre].insert(member.id);
    }
  }
  Owners owners;
  if (anywhere.empty()) {
    return owners;
  }
  std::map<DataCentre, std::set<std::string>> names;
  for (const Range& range : ranges) {
    names[range.data_centre].insert(range.name);
  }
  for (const auto& [data_centre, group] : names) {
    const auto local = by_data_centre.find(data_centre);
    const bool use_local =
        !data_centre.empty() && local != by_data_centre.end();
    Assign(group, use_local ? local->second : anywhere, owners);
  }
  return owners;
}

}  // namespace buckthornmux::member
