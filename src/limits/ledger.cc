#include "buckthornmux/detail/limits/ledger.h"

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <numeric>
#include <utility>

#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux::limits {
namespace {

namespace json = boost::json;
using Slots = std::map<ShardId, std::int64_t>;

std::int64_t Sum(const Slots& slots) {
  return std::accumulate(
      slots.begin(), slots.end(), std::int64_t{0},
      [](std::int64_t sum, const auto& entry) { return sum + entry.second; });
}

std::int64_t SlotsOf(const Slots& slots, const ShardId& shard) {
  const auto found = slots.find(shard);
  return found == slots.end() ? 0 : found->second;
}

/// A shard's claim while the limit is being split.
struct Claimant {
  ShardId shard;
  std::int64_t open = 0;       ///< Wanted slots not assigned yet.
  std::int64_t remainder = 0;  ///< Remainder in the proportional split.
};

/// Assigns one slot to each shard, highest demand first.
std::int64_t AssignFirstSlots(std::vector<Claimant>& claimants,
                              std::int64_t left, Slots& parts) {
  std::ranges::stable_sort(claimants, std::greater(), &Claimant::open);
  for (Claimant& claimant : claimants) {
    const std::int64_t one = std::min<std::int64_t>(left, 1);
    parts[claimant.shard] = one;
    claimant.open -= one;
    left -= one;
  }
  return left;
}

/// Splits the remaining slots in proportion by the largest remainder method.
void SplitProportionally(std::vector<Claimant>& claimants, std::int64_t left,
                         Slots& parts) {
  std::int64_t demand = 0;
  for (const Claimant& claimant : claimants) {
    demand += claimant.open;
  }
  const std::int64_t total = std::min(left, demand);
  if (total <= 0) {
    return;
  }
  std::int64_t given = 0;
  for (Claimant& claimant : claimants) {
    const std::int64_t part = claimant.open * total / demand;
    claimant.remainder = claimant.open * total % demand;
    parts[claimant.shard] += part;
    given += part;
  }
  std::ranges::stable_sort(claimants, std::greater(), &Claimant::remainder);
  for (std::size_t i = 0; given < total; ++i, ++given) {
    ++parts[claimants[i].shard];
  }
}

/// Adopts the limit if the request has a newer configuration revision, or if
/// the record has none yet.
void AdoptLimit(TeamGrants& record, const GrantRequest& request) {
  if (request.config > record.config || record.config == 0) {
    record.limit = std::max<std::int64_t>(request.limit, 0);
    record.config = request.config;
  }
}

void Reclaim(TeamGrants& record, const GrantRequest& request) {
  for (const ShardId& shard : request.gone) {
    if (shard != request.shard) {
      record.slots.erase(shard);
      record.asked.erase(shard);
    }
  }
}

/// Next allowance of the requesting shard, given all other allowances.
std::int64_t NextSlots(const TeamGrants& record, const GrantRequest& request) {
  const std::int64_t current = SlotsOf(record.slots, request.shard);
  const std::int64_t part = SlotsOf(FairParts(record), request.shard);
  if (part <= current) {
    return std::min(current, std::max(part, request.in_use));
  }
  const std::int64_t room = record.limit - Sum(record.slots);
  return current + std::clamp<std::int64_t>(room, 0, part - current);
}

void SetSlots(TeamGrants& record, const ShardId& shard, std::int64_t slots) {
  if (slots > 0) {
    record.slots[shard] = slots;
  } else {
    record.slots.erase(shard);
  }
}

void CheckGrants(const TeamGrants& before, const TeamGrants& after) {
  const bool raised = std::ranges::any_of(after.slots, [&](const auto& entry) {
    return entry.second > SlotsOf(before.slots, entry.first);
  });
  Invariant(!raised || Sum(after.slots) <= after.limit, "grants_within_limit",
            after.team);
}

Result<std::int64_t> Count(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  boost::system::error_code error;
  const std::int64_t count =
      value == nullptr ? -1 : value->to_number<std::int64_t>(error);
  if (error || count < 0) {
    return Fail(ErrorKind::kMalformed, "expected a count", std::string(name));
  }
  return count;
}

Result<void> DecodeShard(const ShardId& shard, const json::value& value,
                         TeamGrants& record) {
  if (!value.is_object()) {
    return Fail(ErrorKind::kMalformed, "expected an object", shard);
  }
  const json::object& object = value.as_object();
  BOOST_LEAF_AUTO(slots, Count(object, "slots"));
  BOOST_LEAF_AUTO(wanted, Count(object, "wanted"));
  BOOST_LEAF_AUTO(epoch, Count(object, "epoch"));
  SetSlots(record, shard, slots);
  record.asked[shard] = {.wanted = wanted, .epoch = static_cast<Epoch>(epoch)};
  return {};
}

}  // namespace

std::int64_t SlotsOf(const TeamGrants& record, const ShardId& shard) {
  return SlotsOf(record.slots, shard);
}

Slots FairParts(const TeamGrants& record) {
  Slots parts;
  std::vector<Claimant> claimants;
  for (const auto& [shard, asked] : record.asked) {
    if (asked.wanted > 0) {
      // Demand is capped at the limit, so that one shard can't outweigh others.
      const std::int64_t open = std::min(asked.wanted, record.limit);
      claimants.push_back({.shard = shard, .open = open});
    }
  }
  const std::int64_t left = AssignFirstSlots(claimants, record.limit, parts);
  SplitProportionally(claimants, left, parts);
  return parts;
}

Result<TeamGrants> NextGrants(const TeamGrants& record,
                              const GrantRequest& request) {
  if (request.config < record.config) {
    return Fail(
        ErrorKind::kConfigStale,
        "the grant record has a newer configuration revision; apply it first",
        request.shard);
  }
  const auto asked = record.asked.find(request.shard);
  if (asked != record.asked.end() && request.epoch < asked->second.epoch) {
    return Fail(ErrorKind::kOwnerStale, "the shard has a newer owner",
                request.shard);
  }
  TeamGrants next = record;
  AdoptLimit(next, request);
  Reclaim(next, request);
  next.asked[request.shard] = {
      .wanted = std::max<std::int64_t>(request.wanted, 0),
      .epoch = request.epoch};
  SetSlots(next, request.shard, NextSlots(next, request));
  CheckGrants(record, next);
  return next;
}

std::string EncodeGrants(const TeamGrants& record) {
  json::object shards;
  for (const auto& [shard, asked] : record.asked) {
    shards[shard] = json::object{{"slots", SlotsOf(record.slots, shard)},
                                 {"wanted", asked.wanted},
                                 {"epoch", asked.epoch}};
  }
  return json::serialize(json::object{{"team", record.team},
                                      {"limit", record.limit},
                                      {"config", record.config},
                                      {"shards", std::move(shards)}});
}

Result<TeamGrants> DecodeGrants(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return Fail(ErrorKind::kMalformed, "expected a JSON object");
  }
  const json::object& object = value.as_object();
  const json::value* team = object.if_contains("team");
  const json::value* shards = object.if_contains("shards");
  if (team == nullptr || !team->is_string() || shards == nullptr ||
      !shards->is_object()) {
    return Fail(ErrorKind::kMalformed,
                "expected a \"team\" string and a \"shards\" object");
  }
  TeamGrants record;
  record.team = std::string(team->as_string());
  BOOST_LEAF_ASSIGN(record.limit, Count(object, "limit"));
  BOOST_LEAF_AUTO(config, Count(object, "config"));
  record.config = static_cast<Revision>(config);
  for (const auto& [shard, entry] : shards->as_object()) {
    auto decoded = DecodeShard(std::string(shard), entry, record);
    if (!decoded) {
      return decoded.error();
    }
  }
  return record;
}

}  // namespace buckthornmux::limits
