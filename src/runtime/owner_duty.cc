#include "buckthornmux/detail/runtime/owner_duty.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::runtime {
namespace {

/// Tokens of calls that came from peers; the front's own stay below.
constexpr std::uint64_t kPeerToken = std::uint64_t{1} << 63;

/// Between two looks at the free room of every shard.
constexpr Millis kViewEvery{200};

}  // namespace

OwnerDuty::OwnerDuty(Wiring& wiring)
    : m_wiring(wiring), m_home(home::MakeHome({}, wiring.anchor)) {}

Time OwnerDuty::Step(std::vector<OwnerMessage> messages, Time now) {
  const auto began = std::chrono::steady_clock::now();
  for (OwnerMessage& message : messages) {
    std::visit([&](auto& one) { Take(std::move(one), now); }, message);
    RunLocal(now);
  }
  RunTimers(now);
  RunLocal(now);
  PublishOwned(now);
  if (!messages.empty()) {
    m_wiring.metrics.Record(Timing::kOwnerStep,
                            std::chrono::steady_clock::now() - began);
  }
  return NextWake(now);
}

void OwnerDuty::RunLocal(Time now) {
  while (!m_local.empty()) {
    LocalEvent event = std::move(m_local.front());
    m_local.pop_front();
    std::visit([&](auto& one) { Take(std::move(one), now); }, event);
  }
}

void OwnerDuty::RunTimers(Time now) {
  if (now >= m_home_wake) {
    m_home_wake = Time::max();
    ApplyHome(home::Tick{}, now);
  }
  std::vector<ShardId> due;
  for (auto& [id, shard] : m_shards) {
    if (now >= shard.wake) {
      shard.wake = Time::max();
      due.push_back(id);
    }
  }
  for (const ShardId& id : due) {
    ApplyShard(id, sched::Tick{}, now);
  }
  FinishReleases(now);
  if (now >= m_views_at) {
    RefreshShardViews(now);
  }
}

Time OwnerDuty::NextWake(Time now) const {
  Time next = std::min(m_home_wake, m_views_at);
  for (const auto& [id, shard] : m_shards) {
    next = std::min(next, shard.wake);
  }
  return std::max(next, now + Millis(1));
}

// ---- Messages ---------------------------------------------------------------

void OwnerDuty::Take(ShardEvent message, Time now) {
  ApplyShard(message.shard, message.event, now);
}

void OwnerDuty::Take(HomeEvent message, Time now) {
  if (auto* gained = std::get_if<home::PartitionGained>(&message.event)) {
    const Partition partition = gained->home.partition;
    m_fresh_partitions.insert_or_assign(partition, std::move(*gained));
    GainFreshPartitions(now);
    return;
  }
  ApplyHome(message.event, now);
}

/// A home must know every shard's owner as of its own claim or later: an answer
/// from a former owner would prove nothing about what runs.
void OwnerDuty::GainFreshPartitions(Time now) {
  for (auto entry = m_fresh_partitions.begin();
       entry != m_fresh_partitions.end();) {
    if (m_routes_read_at < m_claimed_at[entry->first]) {
      ++entry;
      continue;
    }
    RefreshShardViews(now);
    ApplyHome(std::move(entry->second), now);
    entry = m_fresh_partitions.erase(entry);
  }
}

void OwnerDuty::Take(PeerMessage message, Time /*now*/) {
  m_wiring.metrics.Count(Counter::kPeerMessages);
  std::visit([&](auto& one) { TakePeer(message.from, std::move(one)); },
             message.message);
}

void OwnerDuty::Take(const PeerLink& message, Time now) {
  if (message.up) {
    m_links_up.insert(message.peer);
  } else {
    m_links_up.erase(message.peer);
    ForgetCalls(message.peer, now);
  }
  RefreshShardViews(now);
}

void OwnerDuty::Take(const ConfigChanged& message, Time now) {
  m_config = message.config;
  m_known_shards.clear();
  for (const TargetSpec& target : m_config->targets) {
    m_known_shards.insert(target.shard);
  }
  ApplyHome(home::ConfigInForce{m_config.get()}, now);
  for (auto& [id, shard] : m_shards) {
    ApplyShard(id, sched::ConfigInForce{m_config.get()}, now);
    LinkTargets(id);
    TellHosts(id, now);
  }
  RefreshShardViews(now);
}

void OwnerDuty::Take(const RangeGained& message, Time now) {
  // What links of an earlier ownership told before they ended still lies ahead
  // in the ring; it must not be taken for the new owner's.
  if (!message.deferred) {
    m_wiring.owner.Post(
        RangeGained{message.range, message.epoch, message.at, true});
    return;
  }
  m_wiring.metrics.Count(Counter::kRangesGained);
  LogLine("range_gained")
      .With("range", message.range)
      .With("epoch", message.epoch);
  const RangeName name = ParseRange(message.range);
  if (name.is_partition) {
    m_claimed_at[name.partition] = message.at;
    m_wiring.journal.Post(TakePartition{name.partition, message.epoch});
  } else {
    GainShard(name.shard, message, now);
  }
}

void OwnerDuty::Take(const RangeLost& message, Time now) {
  m_wiring.metrics.Count(Counter::kRangesLost);
  LogLine("range_lost").With("range", message.range);
  const RangeName name = ParseRange(message.range);
  if (name.is_partition) {
    m_fresh_partitions.erase(name.partition);
    ApplyHome(home::PartitionLost{name.partition}, now);
    m_wiring.journal.Post(DropPartition{name.partition, false});
  } else {
    DropShard(name.shard);
  }
}

void OwnerDuty::Take(const RangeReleased& message, Time now) {
  m_wiring.metrics.Count(Counter::kRangesLost);
  LogLine("range_released").With("range", message.range);
  const RangeName name = ParseRange(message.range);
  if (name.is_partition) {
    m_fresh_partitions.erase(name.partition);
    ApplyHome(home::PartitionLost{name.partition}, now);
    m_wiring.journal.Post(DropPartition{name.partition, true});
    return;
  }
  const auto found = m_shards.find(name.shard);
  if (found == m_shards.end()) {
    m_wiring.member.Post(RangeLetGo{message.range});
    return;
  }
  found->second.releasing = true;
  found->second.release_by = now + 2 * m_wiring.settings.target_call_timeout;
  ApplyShard(name.shard, sched::OwnershipChanged{found->second.epoch, false},
             now);
}

void OwnerDuty::Take(const LeaseChanged& message, Time now) {
  m_lease_held = message.held;
  LogLine("lease").With("held", std::string_view(message.held ? "yes" : "no"));
  for (auto& [id, shard] : m_shards) {
    ApplyShard(id, sched::OwnershipChanged{shard.epoch, MayStart(shard)}, now);
  }
}

void OwnerDuty::Take(const RoutesChanged& message, Time now) {
  m_routes = message.routes;
  m_routes_read_at = std::max(m_routes_read_at, message.read_at);
  FenceGainedShards(now);
  RefreshShardViews(now);
  GainFreshPartitions(now);
}

void OwnerDuty::Take(const BeatReceived& message, Time now) {
  for (const peer::ShardBeat& beat : message.heartbeat.shards) {
    SeenBeat& seen = m_beats[beat.shard];
    if (beat.epoch >= seen.beat.epoch) {
      seen = SeenBeat{beat, message.heartbeat.host, now};
    }
  }
}

void OwnerDuty::Take(const HostsListed& message, Time now) {
  m_hosts_known = true;
  m_hosts_leaving.clear();
  for (const store::HostState& host : message.hosts) {
    m_hosts_leaving.emplace(host.host, host.leaving);
  }
  for (const auto& [id, shard] : m_shards) {
    TellHosts(id, now);
  }
}

void OwnerDuty::Take(const StatusWanted& message, Time /*now*/) {
  message.answer(StatusJson());
}

// ---- Messages of peers ------------------------------------------------------

std::uint64_t OwnerDuty::TokenFor(const HostId& host, std::uint64_t call) {
  const std::uint64_t token = kPeerToken | m_next_token++;
  m_peer_calls.emplace(token, PeerCall{host, call});
  m_tokens[{host, call}] = token;
  return token;
}

void OwnerDuty::ForgetCalls(const HostId& host, Time now) {
  std::vector<std::uint64_t> gone;
  for (auto entry = m_tokens.lower_bound({host, 0});
       entry != m_tokens.end() && entry->first.first == host;) {
    gone.push_back(entry->second);
    entry = m_tokens.erase(entry);
  }
  for (const std::uint64_t token : gone) {
    m_peer_calls.erase(token);
    ApplyHome(home::CallerGone{token}, now);
  }
}

void OwnerDuty::TakePeer(const HostId& from, peer::CallSubmit message) {
  m_local.emplace_back(HomeEvent{
      home::Submit{TokenFor(from, message.call), std::move(message.request)}});
}

void OwnerDuty::TakePeer(const HostId& from, const peer::CallCancel& message) {
  m_local.emplace_back(HomeEvent{home::CancelJob{TokenFor(from, message.call),
                                                 message.team, message.job}});
}

void OwnerDuty::TakePeer(const HostId& from, const peer::CallQuery& message) {
  m_local.emplace_back(HomeEvent{home::QueryJob{
      TokenFor(from, message.call), message.team, message.job, message.wait}});
}

void OwnerDuty::TakePeer(const HostId& from, const peer::CallGone& message) {
  const auto found = m_tokens.find({from, message.call});
  if (found != m_tokens.end()) {
    m_local.emplace_back(HomeEvent{home::CallerGone{found->second}});
    m_peer_calls.erase(found->second);
    m_tokens.erase(found);
  }
}

void OwnerDuty::TakePeer(const HostId& /*from*/, peer::CallReply message) {
  m_wiring.answer_front(
      message.call,
      home::Reply{message.call, message.accepted, std::move(message.status)});
}

void OwnerDuty::TakePeer(const HostId& from, home::ToShard message) {
  const auto found = m_shards.find(message.shard);
  const bool taken =
      found != m_shards.end() && found->second.fenced &&
      (message.epoch == 0 || message.epoch == found->second.epoch);
  if (!taken) {
    m_wiring.peers->Send(from, peer::NotTaken{std::move(message)});
    return;
  }
  std::visit(
      [&](auto& one) {
        m_local.emplace_back(ShardEvent{message.shard, std::move(one)});
      },
      message.message);
}

void OwnerDuty::TakePeer(const HostId& /*from*/, home::FromShard message) {
  m_local.emplace_back(HomeEvent{std::move(message)});
}

void OwnerDuty::TakePeer(const HostId& /*from*/, peer::NotTaken message) {
  m_local.emplace_back(HomeEvent{home::SendFailed{std::move(message.sent)}});
}

// ---- Homes ------------------------------------------------------------------

void OwnerDuty::ApplyHome(const home::Event& event, Time now) {
  for (home::Action& action : home::Apply(m_home, event, now)) {
    if (const auto* wake = std::get_if<sched::Wake>(&action)) {
      PerformHome(*wake);
    } else if (auto* reply = std::get_if<home::Reply>(&action)) {
      Perform(std::move(*reply));
    } else if (const auto* append = std::get_if<home::Append>(&action)) {
      Perform(*append);
    } else {
      Perform(std::move(std::get<home::ToShard>(action)));
    }
  }
}

void OwnerDuty::PerformHome(const sched::Wake& action) {
  m_home_wake = std::min(m_home_wake, action.at);
}

void OwnerDuty::Perform(home::Reply action) {
  if ((action.token & kPeerToken) == 0) {
    const std::uint64_t call = action.token;
    m_wiring.answer_front(call, std::move(action));
    return;
  }
  const auto found = m_peer_calls.find(action.token);
  if (found == m_peer_calls.end()) {
    return;  // The caller's host is gone; its front asks again.
  }
  const PeerCall call = found->second;
  m_peer_calls.erase(found);
  m_tokens.erase({call.host, call.call});
  m_wiring.peers->Send(call.host, peer::CallReply{call.call, action.accepted,
                                                  std::move(action.status)});
}

void OwnerDuty::Perform(const home::Append& action) {
  if (!m_wiring.journal.Post(action)) {
    m_wiring.metrics.Count(Counter::kRingsFull);
  }
}

void OwnerDuty::Perform(home::ToShard action) {
  const auto own = m_shards.find(action.shard);
  if (own != m_shards.end() && own->second.fenced &&
      (action.epoch == 0 || action.epoch == own->second.epoch)) {
    std::visit(
        [&](auto& one) {
          m_local.emplace_back(ShardEvent{action.shard, std::move(one)});
        },
        action.message);
    return;
  }
  const auto* owner = m_routes->OwnerOf(ShardRange(action.shard));
  const bool known = own == m_shards.end() && owner != nullptr &&
                     (action.epoch == 0 || action.epoch == owner->epoch);
  if (known && m_wiring.peers->Send(owner->owner, action)) {
    return;
  }
  m_local.emplace_back(HomeEvent{home::SendFailed{std::move(action)}});
}

// ---- Views ------------------------------------------------------------------

home::ShardView OwnerDuty::ViewOf(const ShardId& id, Time now) const {
  home::ShardView view;
  view.id = id;
  const auto own = m_shards.find(id);
  if (own != m_shards.end()) {
    view.local = true;
    view.epoch = own->second.epoch;
    view.free = sched::FreeCapacity(own->second.state);
    view.queued = static_cast<std::int64_t>(own->second.state.queued);
    return view;
  }
  const auto* owner = m_routes->OwnerOf(ShardRange(id));
  view.reachable = owner != nullptr && m_links_up.contains(owner->owner);
  if (owner == nullptr) {
    return view;
  }
  view.epoch = owner->epoch;
  const auto seen = m_beats.find(id);
  if (seen != m_beats.end() && seen->second.beat.epoch == owner->epoch &&
      now - seen->second.at < m_wiring.settings.peer_silent_after) {
    view.free = seen->second.beat.free;
    view.queued = seen->second.beat.queued;
  }
  return view;
}

void OwnerDuty::RefreshShardViews(Time now) {
  m_views_at = now + kViewEvery;
  home::ShardsChanged changed;
  for (const ShardId& id : m_known_shards) {
    changed.shards.push_back(ViewOf(id, now));
  }
  ApplyHome(changed, now);
}

void OwnerDuty::PublishOwned(Time /*now*/) {
  auto view = std::make_shared<OwnedView>();
  for (const auto& [id, shard] : m_shards) {
    view->shards.push_back({id, shard.epoch, sched::FreeCapacity(shard.state),
                            static_cast<std::int64_t>(shard.state.queued)});
  }
  m_wiring.owned_view.Store(std::move(view));
}

}  // namespace buckthornmux::runtime
