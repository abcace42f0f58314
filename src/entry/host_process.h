/// Process of an entry host. Its source files are host.cc (wiring and timer),
/// host_calls.cc (calls and messages), host_ownership.cc (owner of the cell),
/// host_load.cc (load of the owner) and host_lifecycle.cc (signals, settings
/// and shutdown).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/entry/callers.h"
#include "buckthornmux/detail/entry/cell_host.h"
#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/entry/epoch_sightings.h"
#include "buckthornmux/detail/entry/evacuation_reader.h"
#include "buckthornmux/detail/entry/evacuation_relay.h"
#include "buckthornmux/detail/entry/log_buffer.h"
#include "buckthornmux/detail/entry/membership.h"
#include "buckthornmux/detail/entry/open_offer.h"
#include "buckthornmux/detail/entry/owner_load.h"
#include "buckthornmux/detail/entry/owner_watch.h"
#include "buckthornmux/detail/entry/pause_watch.h"
#include "buckthornmux/detail/entry/pending_replies.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/entry/served_peers.h"
#include "buckthornmux/detail/entry/settings.h"
#include "buckthornmux/detail/entry/shutdown.h"
#include "buckthornmux/detail/entry/slowness.h"
#include "buckthornmux/detail/entry/speed_gauge.h"
#include "buckthornmux/detail/entry/store_gauge.h"
#include "buckthornmux/detail/entry/store_relay.h"
#include "buckthornmux/detail/entry/target_reader.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/peer/peer_links.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {

/// The only range at present: a cell with all targets of a service. A larger
/// fleet would be divided into several ranges.
inline constexpr std::string_view kRange = "cell/0";

/// A connection to a peer that answers no ping for this long is replaced.
inline constexpr Millis kPeerSilenceTimeout{900};

/// Returns the member record that this host registers.
[[nodiscard]] member::Member SelfOf(const HostSettings& settings);

/// Process of an entry host. Everything runs on one event loop and one thread.
class Host {
 public:
  Host(HostSettings settings, std::string settings_path);
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  ~Host() { runtime::SetLogSink({}); }

  int Run();

 private:
  // Wiring and timer: host.cc.
  MembershipEvents MembershipHandlers();
  store::AsyncStore MakeStore();
  CallerLinks CallersLinks();
  StoreRelayLinks RelayLinks();
  EvacuationRelayLinks EvacuationLinks();
  /// Starts or stops what only the cell's owner reads from the store.
  void SetReadersActive(bool active);
  /// Whether operators may request evacuations in this deployment.
  [[nodiscard]] bool EvacuationsOn() const {
    return m_settings.bounds.evacuate_within > Millis(0);
  }
  CellHostEvents CellHandlers();
  peer::PeerLinkOptions PeerOptions();
  peer::PeerEvents PeerHandlers();
  OwnerWatchLinks OwnerWatchHandlers();
  void Tick();

  // Calls and messages: host_calls.cc.
  void SendTo(const HostId& to, const peer::Message& message);
  /// Sends a reply as soon as its host can be reached.
  void SendReply(const HostId& to, const CellReply& reply);
  void SendPendingReplies(const HostId& to);
  void HandleMessage(const HostId& from, const peer::Message& message);
  void HandleView();
  void SetLanes();
  /// Sends a request to the adviser on behalf of the cell's owner.
  void AskAdviser(const HostId& owner, const AdviceRequest& ask);
  /// Whether another host may have claimed the cell during a pause of this
  /// process. If so, no call is answered from the cell's state until the store
  /// has been read again.
  [[nodiscard]] bool InDoubt(Time now) const;
  void HandleCall(const HostId& from, const CellCall& call);
  ForwardResult Forward(CellCall& call, HostId& to);
  [[nodiscard]] bool Ready() const;

  // The owner of the cell: host_ownership.cc.
  /// Abandons the cell immediately and asks another host to claim it. Nothing
  /// has to be written first: data that is not stored yet is reported again by
  /// the targets or forwarded again by the callers' hosts.
  /// @return false if this host does not own the cell or no host can claim it
  bool HandOverTo(const HostId& to, std::string_view why);
  /// Hands the cell over to the first host that can claim it.
  bool HandOver(std::string_view why);
  /// Hands the cell over without a complete release if the release takes too
  /// long because this host is slow.
  void CheckRelease(Time now);
  /// Hands the cell over to the best host that the store serves while it
  /// rejects this one.
  void CheckServedPeers(Time now);
  /// Measures what the cell needs of this host while it is the owner.
  void MeasureLoad(Time now);
  /// Hands the cell over to a host with more capacity if this one is
  /// overloaded.
  void CheckLoad(Time now);
  /// Tells all hosts that this one gave the cell up for lack of capacity.
  void TellOverloaded(const OwnerOverloaded& notice, Time now);
  /// Moves an offer that was not accepted on to another host.
  void CheckOffer(Time now);
  /// Tells the next owner on which targets tasks may still run.
  void SendStateToNextOwner(Time now);
  /// Members with the weights that the measured need of the cell gives them, or
  /// their registered weights before it is measured.
  [[nodiscard]] std::vector<member::Member> WeighedMembers() const;
  /// Other hosts that can claim the cell, the preferred one first.
  [[nodiscard]] std::vector<HostId> Successors() const;
  /// Hosts other than `former` that can claim its cell, the preferred one
  /// first.
  [[nodiscard]] std::vector<HostId> Replacements(const HostId& former) const;
  /// Handles an owner that no host can reach: its cell is claimed before its
  /// registration expires. All hosts that detect the failure choose the same
  /// new owner.
  void ReplaceOwner(const HostId& owner);
  /// Offers the cell of a failed owner to a host; claims it if that is this
  /// one.
  void OfferFrom(const HostId& owner, const HostId& to, Epoch epoch);
  /// Hands the cell over to a host with enough capacity if this one lacks it,
  /// or to any other host if reading the records makes no progress.
  void CheckOwnership(Time now);
  /// Returns how much longer the former owner may renew leases of targets. An
  /// owner that was only suspected does so until it learns of the new owner.
  [[nodiscard]] Millis FormerLeaseLeft(const member::OwnerRecord& gained) const;
  /// Returns for how much longer live targets may be missing from the list.
  [[nodiscard]] Millis TargetsUnlisted() const;
  void CheckOwner(Time now);
  /// Notes the owners that this host sees and, while the cell recovers, asks
  /// other hosts for what they have seen.
  void CheckSightings(Time now);
  /// Passes the sightings on to the cell.
  void SetSightings();
  /// Makes a slow owner hand the cell over if there are enough other hosts, and
  /// lets it claim again once it has recovered.
  /// @param late how late this tick came
  void CheckSlowness(Millis late, Time now);
  /// Measures the speed of this machine at a fixed interval, and on each tick
  /// while ticks are late.
  void MeasureSpeed(Time now);
  /// Makes an owner that paused read the current owner from the store.
  void HandlePause(Millis pause);

  // Signals, settings, shutdown: host_lifecycle.cc.
  void AwaitSignal();
  /// Reloads the settings. Only the addresses of the store and the adviser
  /// change in a running process, not those of this host.
  void Reload(std::string_view cause);
  /// Reloads settings that changed without a signal.
  void WatchSettings(Time now);
  void Leave();
  /// Ends the process once it owns nothing and has answered all calls, or
  /// shortly before it would be killed.
  void LeaveWhenDone(Time now);

  HostSettings m_settings;
  std::string m_settings_path;
  boost::asio::io_context m_io{1};
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  LogBuffer m_log;
  runtime::Metrics m_metrics;
  net::Traffic m_traffic;  ///< Of all connections but those of callers.
  ClientLimits m_client_limits;
  net::HttpClient m_client;  ///< For targets and the adviser.
  net::HttpClient m_store_client;
  StoreGauge m_gauge;
  store::AsyncStore m_store;
  RulesReader m_rules;
  TargetReader m_targets;
  EvacuationReader m_evacuations;
  Membership m_members;
  CellHost m_cell;
  StoreRelay m_relay;
  EvacuationRelay m_evacuation_relay;
  Callers m_callers;
  OwnerWatch m_owner_watch;
  peer::PeerLinks m_peers;
  std::unique_ptr<net::HttpServer> m_readiness;
  std::unique_ptr<net::HttpServer> m_metrics_server;
  std::set<HostId> m_links_up;
  PendingReplies m_pending_replies;
  std::map<HostId, std::string> m_peer_addresses;  ///< Known peer addresses.
  SlownessGauge m_slowness;
  SpeedGauge m_speed;
  Time m_measured_at;
  PauseWatch m_pauses;
  Time m_gained_at;       ///< When this host last became the owner.
  Epoch m_suspected = 0;  ///< Epoch of the last suspected owner.
  EpochSightings m_sightings;
  Time m_sightings_asked_at;
  std::size_t m_sightings_round = 0;
  std::optional<OpenOffer> m_offer;
  ServedPeers m_served_peers;
  struct LoadCounters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::chrono::microseconds busy{0};
  };
  LoadCounters m_load_counters;  ///< At m_load_at.
  Time m_load_at;
  OwnerLoadGauge m_owner_load;
  OverloadedHosts m_overloaded;
  Time m_overload_logged;
  SlowOwners m_slow_owners;
  bool m_passive = false;  ///< Owns nothing because this host is slow.
  Time m_passive_until;
  Time m_late_logged;
  Time m_kept_logged;
  bool m_leaving = false;
  ShutdownState m_shutdown;
  Time m_settings_at;  ///< When the settings file is read next.
};

}  // namespace buckthornmux::entry
