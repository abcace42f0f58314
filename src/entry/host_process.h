/// The process of an entry host, in parts: wiring and clock (host.cc), calls
/// and messages (host_calls.cc), the cell's owner (host_ownership.cc), signals,
/// settings and shutdown (host_lifecycle.cc).
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
#include "buckthornmux/detail/entry/log_buffer.h"
#include "buckthornmux/detail/entry/membership.h"
#include "buckthornmux/detail/entry/open_offer.h"
#include "buckthornmux/detail/entry/owner_watch.h"
#include "buckthornmux/detail/entry/pause_watch.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/entry/settings.h"
#include "buckthornmux/detail/entry/slowness.h"
#include "buckthornmux/detail/entry/speed_gauge.h"
#include "buckthornmux/detail/entry/store_gauge.h"
#include "buckthornmux/detail/entry/store_relay.h"
#include "buckthornmux/detail/entry/target_reader.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/peer/peer_links.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {

/// The one range of today: a cell of all targets of a service. A larger fleet
/// is cut into more.
inline constexpr std::string_view kRange = "cell/0";

/// How this host registers.
[[nodiscard]] member::Member SelfOf(const HostSettings& settings);

/// The process: everything runs on one loop and one thread.
class Host {
 public:
  Host(HostSettings settings, std::string settings_path);
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  ~Host() { runtime::SetLogSink({}); }

  int Run();

 private:
  // Wiring and clock: host.cc.
  MembershipEvents MembershipHandlers();
  store::AsyncStore MakeStore();
  CallerLinks CallersLinks();
  StoreRelayLinks RelayLinks();
  CellHostEvents CellHandlers();
  peer::PeerLinkOptions PeerOptions() const;
  peer::PeerEvents PeerHandlers();
  OwnerWatchLinks OwnerWatchHandlers();
  void Tick();

  // Calls and messages: host_calls.cc.
  void SendTo(const HostId& to, const peer::Message& message);
  void TakeMessage(const HostId& from, const peer::Message& message);
  void TakeView();
  void SetLanes();
  /// Asks the adviser on behalf of the cell's owner.
  void AskAdviser(const HostId& owner, const AdviceAsk& ask);
  /// After a pause others may have taken the cell over: nothing is answered
  /// from its state until the store has been read again.
  [[nodiscard]] bool InDoubt(Time now) const;
  void TakeCall(const HostId& from, const CellCall& call);
  Handed Forward(const CellCall& call, HostId& to);
  [[nodiscard]] bool Ready() const;

  // The owner of the cell: host_ownership.cc.
  /// Lets go of the cell at once and asks another host to claim it. Nothing
  /// has to be written first: what is not stored yet, targets tell again and
  /// callers' hosts hand on again.
  /// @return false where this host has no cell or nobody could take it
  bool HandOverTo(const HostId& to, std::string_view why);
  /// The same, to any host that can take the cell over.
  bool HandOver(std::string_view why);
  /// A release that takes long, because this host is slow, is cut short.
  void CheckRelease(Time now);
  /// An offer that is not taken goes to another host.
  void CheckOffer(Time now);
  /// The next owner is told where something may still run.
  void TellNextOwner(Time now);
  /// Hosts that can take the cell over, the wanted one first; not this one.
  [[nodiscard]] std::vector<HostId> Successors() const;
  /// Hosts that can take the cell over from one that is gone.
  [[nodiscard]] std::vector<HostId> Replacements(const HostId& gone) const;
  /// Nobody hears of the owner: its cell is claimed before its registration
  /// ends, by the same host whoever finds out.
  void ReplaceOwner(const HostId& owner);
  /// Offers the cell of an owner that is gone, or claims it.
  void OfferFrom(const HostId& owner, const HostId& to, Epoch epoch);
  /// An owner that can't carry the cell gives it to a host that can, and one
  /// whose reading stands still to any other.
  void CheckOwnTerm(Time now);
  /// How much longer the former owner may renew leases of targets: one that was
  /// only suspected does until it learns of the new owner.
  [[nodiscard]] Millis FormerOwnerMayAct(
      const member::OwnerRecord& gained) const;
  void CheckOwner(Time now);
  /// A slow owner hands the cell over, if enough others are there, and takes
  /// part again once it is well.
  /// @param late how late this tick came
  void CheckSlowness(Millis late, Time now);
  /// Measures how fast this machine works.
  void MeasureSelf(Time now);
  /// An owner that paused reads who owns the cell now.
  void TakePause(Millis pause);

  // Signals, settings, shutdown: host_lifecycle.cc.
  void AwaitSignal();
  /// Reads the settings again. Addresses of this host can't change while it
  /// runs; what else changed is logged.
  void Reload(std::string_view cause);
  /// Settings may change without a signal.
  void WatchSettings(Time now);
  void Leave();
  /// Ends the process once it has handed over and answered everything.
  void LeaveWhenDone(Time now);

  HostSettings m_settings;
  std::string m_settings_path;
  boost::asio::io_context m_io{1};
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  LogBuffer m_log;
  runtime::Metrics m_metrics;
  net::HttpClient m_client;  ///< To targets and the adviser.
  net::HttpClient m_store_client;
  StoreGauge m_gauge;
  store::AsyncStore m_store;
  RulesReader m_rules;
  TargetReader m_targets;
  Membership m_members;
  CellHost m_cell;
  StoreRelay m_relay;
  Callers m_callers;
  OwnerWatch m_owner_watch;
  peer::PeerLinks m_peers;
  std::unique_ptr<net::HttpServer> m_readiness;
  std::unique_ptr<net::HttpServer> m_metrics_server;
  std::set<HostId> m_links_up;
  std::map<HostId, std::string> m_peer_addresses;  ///< Of linked hosts.
  SlownessGauge m_slowness;
  SpeedGauge m_speed;
  Time m_measured_at;
  PauseWatch m_pauses;
  Time m_gained_at;       ///< When this host last became the owner.
  Epoch m_suspected = 0;  ///< Of the last owner that somebody took for dead.
  std::optional<OpenOffer> m_offer;
  std::optional<Time> m_release_began;  ///< Of the cell, not ended yet.
  bool m_resting = false;  ///< Handed over because this host is slow.
  Time m_rest_until;
  Time m_late_logged;
  bool m_leaving = false;
  bool m_unregistering = false;
  Time m_leave_at;
  Time m_settings_at;
};

}  // namespace buckthornmux::entry
