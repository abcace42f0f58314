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

Digest RendezvousHash(const HostId& member, const std::string& range) {
  const std::string text = member + '\n' + range;
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return digest;
}

/// Candidate with the highest hash among those below the load limit.
HostId ChooseOwner(const std::string& range, const std::set<HostId>& candidates,
                   const std::map<HostId, std::size_t>& load,
                   std::size_t max_load) {
  HostId best;
  Digest best_hash{};
  for (const HostId& candidate : candidates) {
    const auto found = load.find(candidate);
    if (found != load.end() && found->second >= max_load) {
      continue;
    }
    const Digest hash = RendezvousHash(candidate, range);
    if (best.empty() || hash > best_hash) {
      best = candidate;
      best_hash = hash;
    }
  }
  return best;
}

/// Assigns the ranges of one data centre. They are processed in the order of
/// their names, so that the load limit has the same effect in every process.
void AssignRanges(const std::set<std::string>& names,
                  const std::set<HostId>& candidates, Owners& owners) {
  const std::size_t count = candidates.size();
  const std::size_t max_load = (names.size() + count - 1) / count + 1;
  std::map<HostId, std::size_t> load;
  for (const std::string& name : names) {
    const HostId owner = ChooseOwner(name, candidates, load, max_load);
    ++load[owner];
    owners[name] = owner;
  }
}

std::uint32_t MaxWeight(std::span<const Member> members) {
  std::uint32_t max_weight = 0;
  for (const Member& member : members) {
    max_weight = std::max(max_weight, member.leaving ? 0 : member.weight);
  }
  return max_weight;
}

}  // namespace

std::vector<HostId> OwnersInOrder(const std::string& range,
                                  std::span<const Member> members) {
  const std::uint32_t max_weight = MaxWeight(members);
  // Members with at least half of the highest weight rank equally by weight.
  using Rank = std::tuple<std::uint32_t, Digest, HostId>;
  std::vector<Rank> ranks;
  for (const Member& member : members) {
    if (!member.leaving) {
      const bool fit = !HasInsufficientWeight(member.weight, max_weight);
      ranks.emplace_back(fit ? max_weight : member.weight,
                         RendezvousHash(member.id, range), member.id);
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
  const std::uint32_t max_weight = MaxWeight(members);
  for (const Member& member : members) {
    if (!member.leaving && !HasInsufficientWeight(member.weight, max_weight)) {
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
    AssignRanges(group, use_local ? local->second : anywhere, owners);
  }
  return owners;
}

}  // namespace buckthornmux::member
