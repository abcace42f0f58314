/// The owner duty: runs the decisions of the owned shards and partitions, and
/// carries out what they decide.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "buckthornmux/detail/home/state.h"
#include "buckthornmux/detail/runtime/wiring.h"
#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::runtime {

/// @brief State and step of the owner duty; used by its thread alone.
class OwnerDuty {
 public:
  explicit OwnerDuty(Wiring& wiring);

  /// @brief Takes messages, decides, acts.
  /// @param messages from the ring, in order
  /// @param now time of the runtime's clock
  /// @return when to be called again at the latest
  Time Step(std::vector<OwnerMessage> messages, Time now);

 private:
  struct OwnedShard {
    sched::ShardState state;
    Epoch epoch = 0;
    Time gained_at;
    bool fenced = false;  ///< Epochs of homes are known as of the gain.
    std::int64_t starts_open = 0;  ///< Sent and not answered.
    bool releasing = false;
    Time release_by;
    Time wake = Time::max();
    std::map<TeamName, limits::GrantHolder> grants;
    std::map<TeamName, std::int64_t> wanted;  ///< Slots last asked for.
  };
  struct SeenBeat {
    peer::ShardBeat beat;
    HostId host;
    Time at;
  };
  struct PeerCall {
    HostId host;
    std::uint64_t call = 0;
  };
  using LocalEvent = std::variant<ShardEvent, HomeEvent>;

  // One for each kind of message.
  void Take(const GrantRead& message, Time now);
  void Take(const GrantWritten& message, Time now);
  void Take(ShardEvent message, Time now);
  void Take(HomeEvent message, Time now);
  void Take(PeerMessage message, Time now);
  void Take(const PeerLink& message, Time now);
  void Take(const ConfigChanged& message, Time now);
  void Take(const RangeGained& message, Time now);
  void Take(const RangeLost& message, Time now);
  void Take(const RangeReleased& message, Time now);
  void Take(const LeaseChanged& message, Time now);
  void Take(const RoutesChanged& message, Time now);
  void Take(const BeatReceived& message, Time now);
  void Take(const HostsListed& message, Time now);
  void Take(const StatusWanted& message, Time now);

  // Messages of peers.
  void TakePeer(const HostId& from, peer::CallSubmit message);
  void TakePeer(const HostId& from, const peer::CallCancel& message);
  void TakePeer(const HostId& from, const peer::CallQuery& message);
  void TakePeer(const HostId& from, const peer::CallGone& message);
  void TakePeer(const HostId& from, peer::CallReply message);
  void TakePeer(const HostId& from, home::ToShard message);
  void TakePeer(const HostId& from, home::FromShard message);
  void TakePeer(const HostId& from, peer::NotTaken message);
  template <class Other>
  void TakePeer(const HostId& /*from*/, const Other& /*message*/) {}

  // Actions of homes.
  void Perform(home::Reply action);
  void Perform(const home::Append& action);
  void Perform(home::ToShard action);
  void PerformHome(const sched::Wake& action);
  void ApplyHome(const home::Event& event, Time now);

  // Actions of shards.
  void Perform(const ShardId& shard, const sched::Start& action);
  void Perform(const ShardId& shard, const sched::Stop& action);
  void Perform(const ShardId& shard, sched::Started action);
  void Perform(const ShardId& shard, sched::Ended action);
  void Perform(const ShardId& shard, sched::Known action);
  void Perform(const ShardId& shard, const sched::RequestGrant& action);
  void Perform(const ShardId& shard, const sched::Wake& action);
  void ApplyShard(const ShardId& id, const sched::Event& event, Time now);

  [[nodiscard]] limits::GrantRequest GrantRequestOf(
      const OwnedShard& shard, const GrantRead& read) const;
  void GainFreshPartitions(Time now);
  void GainShard(const ShardId& id, const RangeGained& gained, Time now);
  void DropShard(const ShardId& id);
  void FenceGainedShards(Time now);
  void LinkTargets(const ShardId& id);
  void TellHosts(const ShardId& id, Time now);
  void FinishReleases(Time now);
  void SendHome(home::FromShard message, Partition partition);
  [[nodiscard]] bool MayStart(const OwnedShard& shard) const;
  std::uint64_t TokenFor(const HostId& host, std::uint64_t call);
  void ForgetCalls(const HostId& host, Time now);

  void RunLocal(Time now);
  void RunTimers(Time now);
  void RefreshShardViews(Time now);
  void PublishOwned(Time now);
  [[nodiscard]] home::ShardView ViewOf(const ShardId& id, Time now) const;
  [[nodiscard]] std::string StatusJson() const;
  [[nodiscard]] Time NextWake(Time now) const;

  Wiring& m_wiring;
  home::HomeState m_home;
  Time m_home_wake = Time::max();
  std::map<ShardId, OwnedShard> m_shards;
  std::deque<LocalEvent> m_local;
  ConfigPtr m_config = std::make_shared<const config::Config>();
  std::set<ShardId> m_known_shards;  ///< Of the configuration.
  std::shared_ptr<const Routes> m_routes = std::make_shared<const Routes>();
  Time m_routes_read_at;
  /// Partitions whose journal is taken, until the routes were read since.
  std::map<Partition, home::PartitionGained> m_fresh_partitions;
  std::map<Partition, Time> m_claimed_at;
  std::map<ShardId, SeenBeat> m_beats;
  std::set<HostId> m_links_up;
  std::map<std::string, bool, std::less<>> m_hosts_leaving;
  bool m_hosts_known = false;
  bool m_lease_held = false;
  std::uint64_t m_next_token = 1;
  std::unordered_map<std::uint64_t, PeerCall> m_peer_calls;
  std::map<std::pair<HostId, std::uint64_t>, std::uint64_t> m_tokens;
  Time m_views_at;
};

}  // namespace buckthornmux::runtime
