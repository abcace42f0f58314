/// The duties of one process and the rings between them.
///
///   front (HTTP) -> owner <-> journal, ledger, target links, peers
///   watch (store) -> member, config -> owner
///
/// Every arrow is a bounded ring. Only edge requests are refused when a ring
/// fills up; what duties tell each other finds room behind that bound.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/config/settings.h"
#include "buckthornmux/detail/home/home.h"
#include "buckthornmux/detail/limits/grant_holder.h"
#include "buckthornmux/detail/member/ownership.h"
#include "buckthornmux/detail/net/http_types.h"
#include "buckthornmux/detail/peer/messages.h"
#include "buckthornmux/detail/peer/peer_links.h"
#include "buckthornmux/detail/runtime/beat_clock.h"
#include "buckthornmux/detail/runtime/duty_thread.h"
#include "buckthornmux/detail/runtime/metrics.h"
#include "buckthornmux/detail/runtime/routes.h"
#include "buckthornmux/detail/runtime/snapshot.h"
#include "buckthornmux/detail/sched/shard.h"
#include "buckthornmux/detail/store/host_list.h"
#include "buckthornmux/detail/store/store.h"
#include "buckthornmux/detail/target/target_links.h"

namespace buckthornmux::runtime {

using ConfigPtr = std::shared_ptr<const config::Config>;

/// All keys below a watched prefix, as read since `read_at`.
struct StateRead {
  Time read_at;
  std::shared_ptr<const std::vector<store::Entry>> entries;
};

// ---- To the owner duty ----------------------------------------------------

/// For one owned shard.
struct ShardEvent {
  ShardId shard;
  sched::Event event;
};
/// For the home of requests.
struct HomeEvent {
  home::Event event;
};
/// From another entry host.
struct PeerMessage {
  HostId from;
  peer::Message message;
};
/// A link to another entry host went up or down.
struct PeerLink {
  HostId peer;
  bool up = false;
};
/// A revision came into force.
struct ConfigChanged {
  ConfigPtr config;
};
/// Ownership decided.
struct RangeGained {
  std::string range;
  Epoch epoch = 0;
  Time at;                ///< The claim stood by then.
  bool deferred = false;  ///< Went once more through the ring.
};
struct RangeLost {
  std::string range;
};
struct RangeReleased {
  std::string range;
};
/// The member lease is held, or no longer.
struct LeaseChanged {
  bool held = false;
};
/// Members or owners changed.
struct RoutesChanged {
  std::shared_ptr<const Routes> routes;
  Time read_at;  ///< The store was read at this time or later.
};
/// Free room of another host's shards.
struct BeatReceived {
  peer::Heartbeat heartbeat;
};
/// The platform's list of hosts.
struct HostsListed {
  std::vector<store::HostState> hosts;
};
/// Asks for this process's part of /v1/fleet, as JSON.
struct StatusWanted {
  std::function<void(std::string)> answer;
};

/// A team's record is known: may this shard's allowance change? Answered by
/// GrantWrite or GrantSettled.
struct GrantRead {
  ShardId shard;
  TeamName team;
  limits::TeamGrants record;
  Revision revision = 0;
};
/// A write of the ledger duty ended.
struct GrantWritten {
  ShardId shard;
  TeamName team;
  limits::TeamGrants written;
  Revision expected = 0;
  limits::GrantWrite end = limits::GrantWrite::kWritten;
};

using OwnerMessage =
    std::variant<GrantRead, GrantWritten, ShardEvent, HomeEvent, PeerMessage,
                 PeerLink, ConfigChanged, RangeGained, RangeLost, RangeReleased,
                 LeaseChanged, RoutesChanged, BeatReceived, HostsListed,
                 StatusWanted>;

// ---- To the journal duty --------------------------------------------------

/// Take the partition's chain, then tell the owner PartitionGained.
struct TakePartition {
  Partition partition = 0;
  Epoch epoch = 0;
};
/// Write what is left, then forget the partition; `released` tells the member
/// duty that the range is let go.
struct DropPartition {
  Partition partition = 0;
  bool released = false;
};

using JournalMessage = std::variant<TakePartition, DropPartition, home::Append>;

// ---- To the ledger duty ---------------------------------------------------

/// A shard's need of a team's allowance has changed.
struct GrantWanted {
  ShardId shard;
  TeamName team;
};
/// Write a team's record for a shard; answered by GrantWritten.
struct GrantWrite {
  ShardId shard;
  TeamName team;
  limits::TeamGrants next;
  Revision expected = 0;
};
/// Nothing has to be written for the shard now.
struct GrantSettled {
  TeamName team;
};
/// This process owns a shard from now on, or no longer.
struct LedgerShardGained {
  ShardId shard;
};
struct LedgerShardLost {
  ShardId shard;
};

using LedgerMessage =
    std::variant<GrantWanted, GrantWrite, GrantSettled, LedgerShardGained,
                 LedgerShardLost, ConfigChanged, StateRead>;

// ---- To the member duty ---------------------------------------------------

/// The owner duty has let go of a range.
struct RangeLetGo {
  std::string range;
};
/// Shut down: hand over everything.
struct LeaveRequested {};

using MemberMessage =
    std::variant<StateRead, RangeLetGo, LeaveRequested, ConfigChanged>;

// ---- To the operators and config duties
// ---------------------------------------------------

/// A call of an operator that reads or writes the store.
struct OperatorCall {
  net::HttpRequest request;
  net::Responder respond;
};

using ConfigMessage =
    std::variant<StateRead, BeatReceived, PeerMessage, RoutesChanged>;

/// What the config duty publishes for the front.
struct ConfigView {
  ConfigPtr config = std::make_shared<const config::Config>();
  Time trusted_until;  ///< Keys are refused past it.
  Time sure_at;        ///< No newer revision stood in the store then.
};

/// What the owner duty publishes for heartbeats.
struct OwnedView {
  std::vector<peer::ShardBeat> shards;
};

/// Joints of one process. Duties hold a reference; `serve` fills it.
struct Wiring {
  config::Settings settings;
  std::string incarnation;
  ClockAnchor anchor;
  ActorRuntime actors;

  store::Store store;
  std::unique_ptr<peer::PeerLinks> peers;
  std::unique_ptr<target::TargetLinks> targets;
  std::function<void(std::uint64_t call, home::Reply)> answer_front;
  std::function<void(const HostId&, bool up)> front_link;

  Duty<OwnerMessage> owner;
  Duty<JournalMessage> journal;
  Duty<LedgerMessage> ledger;
  Duty<MemberMessage> member;
  Duty<ConfigMessage> config;
  Duty<OperatorCall> operators;

  Snapshot<Routes> routes;
  Snapshot<ConfigView> config_view;
  Snapshot<OwnedView> owned_view;
  std::atomic<bool> store_reachable = false;
  std::atomic<bool> leaving = false;
  std::atomic<bool> owns_nothing = true;
  Metrics metrics;
  BeatClock beats;

  [[nodiscard]] Time Now() const { return actors.Now(); }
};

}  // namespace buckthornmux::runtime
