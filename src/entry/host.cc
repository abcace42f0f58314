#include "buckthornmux/detail/entry/host.h"

#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <utility>

#include "buckthornmux/detail/entry/fitness.h"
#include "buckthornmux/detail/entry/settings_file.h"
#include "buckthornmux/detail/entry/status_server.h"
#include "buckthornmux/detail/entry/target_connections.h"
#include "host_process.h"
#include "platform/evacuations.h"
#include "platform/jobs.h"
#include "platform/kv_store.h"
#include "platform/names.h"
#include "platform/orders.h"
#include "platform/rules.h"
#include "platform/settings.h"
#include "platform/targets.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

constexpr Millis kTickInterval{50};
constexpr Millis kPeerPingInterval{300};
/// Enough for four watches and the repeated calls to a store that loses
/// answers. Each of these calls keeps its connection until it times out.
constexpr std::size_t kStoreConnections = 24;
constexpr Millis kConnectTimeout{400};

net::HttpClientOptions WithTraffic(net::HttpClientOptions options,
                                   net::Traffic& traffic) {
  options.traffic = &traffic;
  return options;
}

net::HttpClientOptions StoreClientOptions() {
  net::HttpClientOptions options;
  options.max_connections_per_peer = kStoreConnections;
  options.connect_timeout = kConnectTimeout;
  options.clock = Now;
  return options;
}

CallerCodec MakeCallerCodec() {
  return {std::string(platform::kKeyHeader),
          std::string(platform::kDeadlineHeader),
          platform::ParseJob,
          platform::IsJobId,
          platform::FormatPhase,
          platform::FormatPending};
}

TargetCalls MakeTargetCalls() {
  return {platform::StartCall, platform::StopCall, platform::ReportCall,
          platform::OutcomeOf, platform::ParseReport};
}

}  // namespace

member::Member SelfOf(const HostSettings& settings) {
  constexpr double kMilli = 1000;
  return {settings.host,
          {},
          settings.ip + ":" + std::to_string(settings.peer_port),
          settings.callers_address,
          settings.data_centre,
          false,
          WeightOf(settings.capacity),
          static_cast<std::uint32_t>(settings.capacity.cores * kMilli),
          static_cast<std::uint32_t>(settings.capacity.link_mbps * kMilli)};
}

Host::Host(HostSettings settings, std::string settings_path)
    : m_settings(std::move(settings)),
      m_settings_path(std::move(settings_path)),
      m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_timer(m_io),
      m_log(STDOUT_FILENO),
      m_client_limits(m_settings.capacity.memory_mb, m_metrics),
      m_client(m_io,
               WithTraffic(TargetClientOptions(kConnectTimeout,
                                               m_settings.capacity.memory_mb),
                           m_traffic)),
      m_store_client(m_io, WithTraffic(StoreClientOptions(), m_traffic)),
      m_store(MakeStore()),
      m_rules(m_store, std::string(platform::kRulesKey), platform::ParseRules,
              [this] { m_cell.SetRules(m_rules.Current()); }),
      m_targets(
          m_store, std::string(platform::kTargetsPrefix), platform::ParseTarget,
          [this](auto list) { m_cell.SetTargets(std::move(list)); },
          MaxListAge(m_settings.bounds.drain_within)),
      m_evacuations(m_store, std::string(platform::kEvacuationsPrefix),
                    platform::ParseEvacuation,
                    [this](const auto& data_centres) {
                      m_cell.SetEvacuated(data_centres);
                    }),
      m_members(m_store, SelfOf(m_settings), {{std::string(kRange), {}}},
                MembershipHandlers()),
      m_cell(m_io, m_settings, m_store, m_client, m_metrics, MakeTargetCalls(),
             CellHandlers()),
      m_relay(m_rules, m_gauge, RelayLinks()),
      m_evacuation_relay(m_evacuations, EvacuationLinks()),
      m_callers(m_io, m_settings.callers_address, MakeCallerCodec(), m_rules,
                m_settings.bounds.key_trust, m_metrics, CallersLinks(),
                &m_client_limits),
      m_owner_watch(OwnerWatchHandlers()),
      m_peers(m_io, PeerOptions(), PeerHandlers()) {
  runtime::SetLogSink([this](std::string_view line) { m_log.Append(line); });
  m_readiness = ServeReadiness(
      m_io, m_settings.readiness_address, platform::kReadinessPath,
      [this] { return Ready(); }, m_client_limits);
  m_metrics_server = ServeMetrics(m_io, m_settings.metrics_address, m_metrics,
                                  m_client_limits);
}

int Host::Run() {
  LogLine("started")
      .With("host", m_settings.host)
      .With("data_centre", m_settings.data_centre)
      .With("callers", m_settings.callers_address)
      .With("store", m_settings.store_address)
      .With("cores_milli",
            static_cast<std::int64_t>(m_settings.capacity.cores * 1000))
      .With("link_mbps",
            static_cast<std::int64_t>(m_settings.capacity.link_mbps))
      .With("first_start", m_settings.first_start ? "true" : "false");
  AwaitSignal();
  m_members.Start();
  Tick();
  m_io.run();
  LogLine("stopped").With("host", m_settings.host);
  m_log.Flush();
  return 0;
}

MembershipEvents Host::MembershipHandlers() {
  return {[this](const member::OwnerRecord& record) {
            m_gained_at = Now();
            m_owner_load.Restart();
            m_cell.Open(record, FormerLeaseLeft(record), TargetsUnlisted());
            SetReadersActive(true);
            m_sightings_asked_at = Time{};
            CheckSightings(Now());
            SetSightings();
          },
          [this](const std::string& /*range*/) {
            SetReadersActive(false);
            m_cell.Close("owned by another host");
          },
          [this](const std::string& range) {
            m_cell.Release([this, range] {
              if (!HandOver("released")) {
                SetReadersActive(false);
                m_members.Released(range);
              }
            });
          },
          [this](bool held) { m_cell.SetLeaseHeld(held); },
          [this] { HandleView(); }};
}

store::AsyncStore Host::MakeStore() {
  return WithGauge(
      platform::MakeKvStore(m_store_client, m_settings.store_address, {}),
      m_gauge, Now);
}

CallerLinks Host::CallersLinks() {
  return {[this](CellCall& call, HostId& to) { return Forward(call, to); },
          [this] { return m_relay.OwnerExpected(Now()); },
          [this] { return m_relay.StoreServesOthers(Now()); },
          [this](const JobsInDoubt& jobs) {
            for (const HostId& peer : m_links_up) {
              SendTo(peer, jobs);
            }
          }};
}

StoreRelayLinks Host::RelayLinks() {
  return {[this] { return Successors(); },
          [this](const HostId& to, const StoreQuery& ask) { SendTo(to, ask); },
          [this](const HostId& to, const StoreStatus& status) {
            SendTo(to, status);
          },
          [this] { return m_members.RegisteredOwner(std::string(kRange)); },
          [this](const auto& record) { m_members.ReceiveOwnerRecord(record); },
          [this] { return !m_leaving && !m_passive; },
          [this](const HostId& to) {
            const Time now = Now();
            // The time of the first report is kept, so that reports which are
            // repeated do not prolong the wait for a better host.
            m_served_peers.try_emplace(to, now);
            CheckServedPeers(now);
          }};
}

EvacuationRelayLinks Host::EvacuationLinks() {
  return {[this] { return Successors(); },
          [this](const HostId& to, const EvacuationQuery& query) {
            SendTo(to, query);
          },
          [this](const HostId& to, const EvacuationStatus& status) {
            SendTo(to, status);
          }};
}

void Host::SetReadersActive(bool active) {
  m_targets.SetActive(active, Now());
  m_evacuations.SetActive(active && EvacuationsOn(), Now());
}

CellHostEvents Host::CellHandlers() {
  return {[this](const HostId& to, const CellReply& reply) {
            if (to == m_settings.host) {
              m_callers.HandleReply(reply);
            } else {
              SendReply(to, reply);
            }
          },
          [this](const HostId& lane, const AdviceRequest& ask) {
            if (lane == m_settings.host) {
              AskAdviser(lane, ask);
            } else if (!m_peers.Send(lane, ask)) {
              m_cell.OnAdviceAnswered({ask.ask, ask.epoch, false, {}});
            }
          },
          [this] { m_members.Recheck(); },
          [this] {
            m_cell.Close("another host owns the records");
            m_members.Recheck();
          }};
}

peer::PeerLinkOptions Host::PeerOptions() {
  peer::PeerLinkOptions options;
  options.self = m_settings.host;
  options.incarnation = m_settings.host;
  options.listen = SelfOf(m_settings).peer_address;
  options.ping_every = kPeerPingInterval;
  options.silent_after = kPeerSilenceTimeout;
  options.memory_mb = m_settings.capacity.memory_mb;
  options.clock = Now;
  options.traffic = &m_traffic;
  return options;
}

peer::PeerEvents Host::PeerHandlers() {
  return {[this](const HostId& from, const peer::Message& message) {
            HandleMessage(from, message);
          },
          [this](const HostId& peer, bool up) {
            LogLine(up ? "peer_regained" : "peer_lost").With("peer", peer);
            if (up) {
              m_links_up.insert(peer);
              SendPendingReplies(peer);
            } else {
              m_links_up.erase(peer);
              m_callers.HostLost(peer);
            }
            SetLanes();
          },
          [](const peer::Heartbeat&) {},
          [this](const HostId& peer, Millis took) {
            m_owner_watch.OnPingAnswered(peer, took, Now());
            if (m_offer && m_offer->suspect == peer) {
              m_offer.reset();  // The suspected owner is alive.
            }
          },
          [this](const HostId& peer) { m_owner_watch.OnFrame(peer, Now()); },
          [this](std::string_view limit) {
            m_client_limits.Report("peers", limit, Now());
          }};
}

OwnerWatchLinks Host::OwnerWatchHandlers() {
  return {
      [this] {
        return std::vector<HostId>(m_links_up.begin(), m_links_up.end());
      },
      [this](const HostId& host) { m_peers.Probe(host); },
      [this](const HostId& to, const LivenessQuery& ask) { SendTo(to, ask); },
      [this](const HostId& to, const LivenessReply& reply) {
        SendTo(to, reply);
      },
      [this](const HostId& owner) { ReplaceOwner(owner); },
      [this](const HostId& owner) { m_peers.Reconnect(owner); }};
}

void Host::Tick() {
  const Time now = Now();
  const Millis late = m_pauses.Late(now);
  HandlePause(m_pauses.TickBegan(now));
  MeasureSpeed(now);
  CheckSlowness(late, now);
  MeasureLoad(now);
  CheckLoad(now);
  CheckOwnership(now);
  CheckRelease(now);
  CheckOffer(now);
  CheckServedPeers(now);
  SendStateToNextOwner(now);
  m_relay.Tick(now);
  m_rules.Tick(now);
  m_targets.Tick(now);
  m_evacuations.Tick(now);
  m_evacuation_relay.Tick(FailingSince(m_gauge, now).has_value(), now);
  m_members.Tick(now);
  m_cell.Tick(now);
  m_callers.Tick(now);
  m_client_limits.Tick();
  CheckOwner(now);
  CheckSightings(now);
  WatchSettings(now);
  LeaveWhenDone(now);
  m_log.Flush();
  HandlePause(m_pauses.TickEnded(Now(), kTickInterval));
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

Result<int> RunHost(const std::string& settings_path) {
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  // Ignored until the settings have been read below.
  static_cast<void>(std::signal(SIGHUP, SIG_IGN));
  // Memory is scarce on entry hosts, so freed pages are returned early.
  constexpr int kTrimThresholdBytes = 256 * 1024;
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_ARENA_MAX, 1);
  BOOST_LEAF_AUTO(settings,
                  ReadSettings(settings_path, platform::ParseSettings));
  Host host(std::move(settings), settings_path);
  return host.Run();
}

}  // namespace buckthornmux::entry
