#include "buckthornmux/detail/entry/host.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "buckthornmux/detail/entry/callers.h"
#include "buckthornmux/detail/entry/cell_host.h"
#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/entry/log_buffer.h"
#include "buckthornmux/detail/entry/membership.h"
#include "buckthornmux/detail/entry/owner_watch.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/entry/settings_file.h"
#include "buckthornmux/detail/entry/slowness.h"
#include "buckthornmux/detail/entry/status_server.h"
#include "buckthornmux/detail/entry/store_gauge.h"
#include "buckthornmux/detail/entry/store_relay.h"
#include "buckthornmux/detail/entry/target_reader.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/peer/peer_links.h"
#include "buckthornmux/detail/runtime/log_line.h"
#include "platform/adviser.h"
#include "platform/jobs.h"
#include "platform/kv_store.h"
#include "platform/names.h"
#include "platform/orders.h"
#include "platform/rules.h"
#include "platform/settings.h"
#include "platform/targets.h"

namespace buckthornmux::entry {
namespace {

namespace asio = boost::asio;
using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// The one range of today: a cell of all targets of a service. A larger fleet
/// is cut into more.
constexpr std::string_view kRange = "cell/0";

constexpr Millis kTickEvery{50};
constexpr Millis kSettingsEvery{2000};
constexpr Millis kPeerPing{300};
constexpr Millis kPeerSilent{900};
/// A leaving host serves on while the balancer takes it out of rotation, which
/// takes two of its questions, a second apart.
constexpr Millis kServeWhileLeaving{3500};
constexpr Millis kShutdownMargin{800};  ///< Before the kill.
/// A release flushes the journal, which takes some milliseconds.
constexpr Millis kReleaseWithin{100};
/// An owner reads who owns the cell this often at least, and a store call takes
/// this long at the most.
constexpr Millis kLearnsOfOwner{2700};
/// Shorter than it takes others to find an owner gone.
constexpr Millis kLongPause{150};
/// A slow host stays out of ownership for at least this.
constexpr Millis kRest{5000};
constexpr Millis kLateLogEvery{1000};
/// Other hosts that must be there to take over from a slow one.
constexpr std::size_t kLeastOthers = 2;
constexpr std::size_t kConnectionsPerPeer = 8;
constexpr Millis kConnectTimeout{400};

net::HttpClientOptions ClientOptions() {
  net::HttpClientOptions options;
  options.max_connections_per_peer = kConnectionsPerPeer;
  options.connect_timeout = kConnectTimeout;
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

member::Member SelfOf(const HostSettings& settings) {
  return {settings.host,
          {},
          settings.ip + ":" + std::to_string(settings.peer_port),
          settings.callers_address,
          settings.data_centre};
}

/// The process: everything runs on one loop and one thread.
class Host {
 public:
  Host(HostSettings settings, std::string settings_path)
      : m_settings(std::move(settings)),
        m_settings_path(std::move(settings_path)),
        m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
        m_timer(m_io),
        m_log(STDOUT_FILENO),
        m_client(m_io, ClientOptions()),
        m_store(MakeStore()),
        m_rules(m_store, std::string(platform::kRulesKey), platform::ParseRules,
                [this] { m_cell.SetRules(m_rules.Current()); }),
        m_targets(m_store, std::string(platform::kTargetsPrefix),
                  platform::ParseTarget,
                  [this](const auto& entries) { m_cell.SetTargets(entries); }),
        m_members(m_store, SelfOf(m_settings), {{std::string(kRange), {}}},
                  MembershipHandlers()),
        m_cell(m_io, m_settings, m_store, m_client, m_metrics,
               MakeTargetCalls(), CellHandlers()),
        m_relay(m_rules, m_gauge, RelayLinks()),
        m_callers(m_io, m_settings.callers_address, MakeCallerCodec(), m_rules,
                  m_settings.bounds.key_trust, m_metrics, CallersLinks()),
        m_owner_watch(OwnerWatchHandlers()),
        m_peers(m_io, PeerOptions(), PeerHandlers()) {
    runtime::SetLogSink([this](std::string_view line) { m_log.Append(line); });
    m_readiness =
        ServeReadiness(m_io, m_settings.readiness_address,
                       platform::kReadinessPath, [this] { return Ready(); });
    m_metrics_server =
        ServeMetrics(m_io, m_settings.metrics_address, m_metrics);
  }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  ~Host() { runtime::SetLogSink({}); }

  int Run() {
    LogLine("started")
        .With("host", m_settings.host)
        .With("data_centre", m_settings.data_centre)
        .With("callers", m_settings.callers_address)
        .With("store", m_settings.store_address)
        .With("first_start", m_settings.first_start ? "true" : "false");
    AwaitSignal();
    m_members.Start();
    Tick();
    m_io.run();
    LogLine("stopped").With("host", m_settings.host);
    m_log.Flush();
    return 0;
  }

 private:
  MembershipEvents MembershipHandlers() {
    return {[this](const member::OwnerRecord& record) {
              m_targets.SetActive(true);
              m_cell.Open(record, FormerOwnerMayAct(record));
            },
            [this](const std::string& /*range*/) {
              m_targets.SetActive(false);
              m_cell.Close("owned by another host");
            },
            [this](const std::string& range) {
              m_release_began = Now();
              m_cell.Release([this, range] {
                if (!HandOver("released")) {
                  m_targets.SetActive(false);
                  m_members.Released(range);
                }
              });
            },
            [this](bool held) { m_cell.SetLeaseHeld(held); },
            [this] { TakeView(); }};
  }

  store::AsyncStore MakeStore() {
    return WithGauge(
        platform::MakeKvStore(m_client, m_settings.store_address, {}), m_gauge,
        Now);
  }

  CallerLinks CallersLinks() {
    return {
        [this](const CellCall& call, HostId& to) { return Forward(call, to); },
        [this] { return m_relay.OwnerExpected(Now()); },
        [this] { return m_relay.OthersFareBetter(Now()); }};
  }

  StoreRelayLinks RelayLinks() {
    return {
        [this] {
          return std::vector<HostId>(m_links_up.begin(), m_links_up.end());
        },
        [this](const HostId& to, const StoreNewsAsk& ask) { SendTo(to, ask); },
        [this](const HostId& to, const StoreNews& news) { SendTo(to, news); },
        [this] { return m_members.RegisteredOwner(std::string(kRange)); },
        [this](const auto& record) { m_members.HearOwner(record); },
        [this] { return !m_leaving && !m_resting; },
        [this](const HostId& to) {
          HandOverTo(to, "the store serves that host and not this one");
        }};
  }

  /// Lets go of the cell at once and asks another host to claim it. Nothing
  /// has to be written first: what is not stored yet, targets tell again and
  /// callers' hosts hand on again.
  /// @return false where this host has no cell or nobody could take it
  bool HandOverTo(const HostId& to, std::string_view why) {
    const std::string range(kRange);
    const Epoch epoch = m_members.OwnedEpoch(range);
    if (epoch == 0 || to.empty()) {
      return false;
    }
    LogLine("range_handed_over", Level::kWarning)
        .With("range", range)
        .With("epoch", epoch)
        .With("to", to)
        .With("reason", why);
    m_release_began.reset();
    m_members.Abandon(range);
    SendTo(to, RangeOffer{range, epoch});
    return true;
  }

  /// The same, to any host that can take the cell over.
  bool HandOver(std::string_view why) {
    return ServesNow(m_gauge, Now()) && HandOverTo(Successor(), why);
  }

  /// A release that takes long, because this host is slow, is cut short.
  void MindRelease(Time now) {
    if (m_release_began && now - *m_release_began > kReleaseWithin &&
        !HandOver("release takes long")) {
      m_release_began = now;
    }
  }

  /// A host that can take the cell over; empty where there is none.
  [[nodiscard]] HostId Successor() const {
    const auto found = std::ranges::find_if(
        m_members.Members(), [this](const member::Member& known) {
          return known.id != m_settings.host && !known.leaving &&
                 m_links_up.contains(known.id);
        });
    return found == m_members.Members().end() ? HostId() : found->id;
  }

  CellHostEvents CellHandlers() {
    return {[this](const HostId& to, const CellReply& reply) {
              if (to == m_settings.host) {
                m_callers.Reply(reply);
              } else {
                SendTo(to, reply);
              }
            },
            [this](const HostId& lane, const AdviceAsk& ask) {
              if (lane == m_settings.host) {
                AskAdviser(lane, ask);
              } else if (!m_peers.Send(lane, ask)) {
                m_cell.AdviceAnswered({ask.ask, ask.epoch, false, {}});
              }
            },
            [this] { m_members.Recheck(); },
            [this] {
              m_cell.Close("records are another owner's");
              m_members.Recheck();
            }};
  }

  peer::PeerLinkOptions PeerOptions() const {
    peer::PeerLinkOptions options;
    options.self = m_settings.host;
    options.incarnation = m_settings.host;
    options.listen = SelfOf(m_settings).peer_address;
    options.ping_every = kPeerPing;
    options.silent_after = kPeerSilent;
    return options;
  }

  peer::PeerEvents PeerHandlers() {
    return {[this](const HostId& from, const peer::Message& message) {
              TakeMessage(from, message);
            },
            [this](const HostId& peer, bool up) {
              LogLine(up ? "peer_regained" : "peer_lost").With("peer", peer);
              if (up) {
                m_links_up.insert(peer);
              } else {
                m_links_up.erase(peer);
                m_callers.HostLost(peer);
              }
              SetLanes();
            },
            [](const peer::Heartbeat&) {},
            [this](const HostId& peer) { m_owner_watch.Sign(peer, Now()); }};
  }

  OwnerWatchLinks OwnerWatchHandlers() {
    return {
        [this] {
          return std::vector<HostId>(m_links_up.begin(), m_links_up.end());
        },
        [this](const HostId& host) { m_peers.Probe(host); },
        [this](const HostId& to, const SignAsk& ask) { SendTo(to, ask); },
        [this](const HostId& to, const SignReply& reply) { SendTo(to, reply); },
        [this](const HostId& owner) { ClaimFrom(owner); }};
  }

  /// Nobody hears of the owner: its cell is claimed before its registration
  /// ends.
  void ClaimFrom(const HostId& owner) {
    const std::string range(kRange);
    const auto record = m_members.RegisteredOwner(range);
    if (!record || record->owner != owner || m_leaving || m_resting ||
        !ServesNow(m_gauge, Now())) {
      return;
    }
    LogLine("owner_gone", Level::kWarning)
        .With("range", range)
        .With("owner", owner)
        .With("epoch", record->epoch);
    m_suspected = record->epoch;
    m_members.TakeOffer(range, record->epoch);
  }

  /// How much longer the former owner may renew leases of targets: one that was
  /// only suspected does until it learns of the new owner.
  [[nodiscard]] Millis FormerOwnerMayAct(
      const member::OwnerRecord& gained) const {
    return gained.epoch == m_suspected + 1 ? kLearnsOfOwner : Millis(0);
  }

  void SendTo(const HostId& to, const peer::Message& message) {
    if (!m_peers.Send(to, message)) {
      LogLine("message_not_sent", Level::kWarning).With("to", to);
    }
  }

  void TakeMessage(const HostId& from, const peer::Message& message) {
    m_metrics.Count(runtime::Counter::kPeerMessages);
    if (const auto* call = std::get_if<CellCall>(&message)) {
      TakeCall(from, *call);
    } else if (const auto* reply = std::get_if<CellReply>(&message)) {
      m_callers.Reply(*reply);
    } else if (const auto* ask = std::get_if<AdviceAsk>(&message)) {
      AskAdviser(from, *ask);
    } else if (const auto* advice = std::get_if<AdviceReply>(&message)) {
      m_cell.AdviceAnswered(*advice);
    } else if (const auto* wanted = std::get_if<StoreNewsAsk>(&message)) {
      m_relay.Take(from, *wanted, Now());
    } else if (const auto* news = std::get_if<StoreNews>(&message)) {
      m_relay.Take(from, *news, Now());
    } else if (const auto* offer = std::get_if<RangeOffer>(&message)) {
      m_members.TakeOffer(offer->range, offer->epoch);
    } else if (const auto* question = std::get_if<SignAsk>(&message)) {
      m_owner_watch.Take(from, *question, Now());
    } else if (const auto* sign = std::get_if<SignReply>(&message)) {
      m_owner_watch.Take(*sign, Now());
    } else {
      LogLine("message_unexpected", Level::kWarning)
          .With("from", from)
          .With("kind", static_cast<std::uint64_t>(message.index()));
    }
  }

  void TakeView() {
    std::map<HostId, std::string> addresses;
    for (const member::Member& known : m_members.Members()) {
      addresses[known.id] = known.peer_address;
    }
    // A host that the store turns away loses its registration; as long as it
    // can be reached it is answered.
    for (const auto& [host, address] : m_peer_addresses) {
      if (m_links_up.contains(host)) {
        addresses.emplace(host, address);
      }
    }
    m_peer_addresses = std::move(addresses);
    std::vector<peer::PeerAddress> peers;
    for (const auto& [host, address] : m_peer_addresses) {
      peers.push_back({host, address});
    }
    m_peers.SetPeers(peers);
    SetLanes();
  }

  void SetLanes() {
    std::vector<HostId> lanes{m_settings.host};
    for (const member::Member& known : m_members.Members()) {
      if (known.id != m_settings.host && m_links_up.contains(known.id)) {
        lanes.push_back(known.id);
      }
    }
    m_cell.SetLanes(lanes);
  }

  /// Asks the adviser on behalf of the cell's owner.
  void AskAdviser(const HostId& owner, const AdviceAsk& ask) {
    m_client.Call(
        m_settings.adviser_address, platform::AdviceCall(ask.step, ask.targets),
        ask.timeout, [this, owner, id = ask.ask, epoch = ask.epoch](auto got) {
          AdviceReply reply{id, epoch, false, {}};
          const auto* response = std::get_if<net::HttpResponse>(&got);
          if (response != nullptr && response->status == 200) {
            auto tickets =
                Capture([&] { return platform::ParseAdvice(response->body); });
            if (auto* good = std::get_if<std::vector<cell::Ticket>>(&tickets)) {
              reply.answered = true;
              reply.tickets = std::move(*good);
            }
          }
          if (!reply.answered) {
            LogLine("advice_failed", Level::kWarning)
                .With("ask", id)
                .With("status",
                      static_cast<std::int64_t>(
                          response == nullptr ? 0 : response->status));
          }
          if (owner == m_settings.host) {
            m_cell.AdviceAnswered(reply);
          } else {
            SendTo(owner, reply);
          }
        });
  }

  /// After a pause others may have taken the cell over: nothing is answered
  /// from its state until the store has been read again.
  [[nodiscard]] bool InDoubt(Time now) const {
    return now - m_tick_due > kLongPause ||
           m_members.ViewedAt() < m_paused_until;
  }

  void TakeCall(const HostId& from, const CellCall& call) {
    if (!InDoubt(Now())) {
      m_cell.Call(from, call);
      return;
    }
    CellReply reply;
    reply.call = call.call;
    reply.end = CallEnd::kRefused;
    reply.error = ErrorKind::kNotReady;
    reply.message = "the owner has paused";
    if (from == m_settings.host) {
      m_callers.Reply(reply);
    } else {
      SendTo(from, reply);
    }
  }

  Handed Forward(const CellCall& call, HostId& to) {
    if (m_cell.Owning()) {
      to = m_settings.host;
      TakeCall(to, call);
      return Handed::kSent;
    }
    to = m_members.OwnerOf(std::string(kRange));
    if (to.empty() || to == m_settings.host) {
      return Handed::kNoOwner;
    }
    return m_peers.Send(to, call) ? Handed::kSent : Handed::kUnreachable;
  }

  [[nodiscard]] bool Ready() const {
    const Time now = Now();
    if (m_leaving || !m_callers.RulesTrusted(now) ||
        m_relay.OthersFareBetter(now)) {
      return false;
    }
    const HostId owner = m_members.OwnerOf(std::string(kRange));
    return owner.empty() || owner == m_settings.host ||
           m_links_up.contains(owner);
  }

  void AwaitSignal() {
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        Reload("signal");
        AwaitSignal();
      } else if (m_leaving) {
        LogLine("stop_forced", Level::kWarning).With("host", m_settings.host);
        m_io.stop();
      } else {
        Leave();
        AwaitSignal();
      }
    });
  }

  /// Reads the settings again. Addresses of this host can't change while it
  /// runs; what else changed is logged.
  void Reload(std::string_view cause) {
    auto outcome = Capture([this] {
      return ReadSettings(m_settings_path, platform::ParseSettings);
    });
    if (const auto* error = std::get_if<Error>(&outcome)) {
      LogLine("settings_unreadable", Level::kWarning)
          .With("cause", cause)
          .With("reason", error->message);
      return;
    }
    auto& settings = std::get<HostSettings>(outcome);
    if (settings.store_address != m_settings.store_address) {
      m_settings.store_address = settings.store_address;
      m_store = MakeStore();
    }
    LogLine("settings_read")
        .With("cause", cause)
        .With("store", settings.store_address)
        .With("adviser", settings.adviser_address);
    m_settings.adviser_address = settings.adviser_address;
  }

  /// Settings may change without a signal.
  void WatchSettings(Time now) {
    if (now < m_settings_at) {
      return;
    }
    m_settings_at = now + kSettingsEvery;
    auto outcome = Capture([this] {
      return ReadSettings(m_settings_path, platform::ParseSettings);
    });
    const auto* settings = std::get_if<HostSettings>(&outcome);
    if (settings != nullptr &&
        (settings->store_address != m_settings.store_address ||
         settings->adviser_address != m_settings.adviser_address)) {
      Reload("file changed");
    }
  }

  void Leave() {
    m_leaving = true;
    m_leave_at = Now();
    LogLine("leaving")
        .With("host", m_settings.host)
        .With("open_calls", static_cast<std::uint64_t>(m_callers.Open()));
    m_callers.Leave();
    m_members.Leave();
  }

  /// Ends the process once it has handed over and answered everything.
  void LeaveWhenDone(Time now) {
    if (!m_leaving || m_unregistering) {
      return;
    }
    const Millis since = now - m_leave_at;
    const Millis longest = m_settings.bounds.shutdown - kShutdownMargin;
    const bool done = since >= std::min(kServeWhileLeaving, longest) &&
                      m_callers.Open() == 0 && m_members.OwnsNothing();
    if (!done && since < longest) {
      return;
    }
    m_unregistering = true;
    LogLine("draining")
        .With("host", m_settings.host)
        .With("open_calls", static_cast<std::uint64_t>(m_callers.Open()));
    m_callers.Stop();
    m_members.Unregister([this] { m_io.stop(); });
  }

  void MindOwner(Time now) {
    HostId owner = m_members.OwnerOf(std::string(kRange));
    if (owner == m_settings.host) {
      owner.clear();
    }
    m_owner_watch.Tick(owner, m_callers.WaitingSince(owner), now);
  }

  /// A slow owner hands the cell over, if enough others are there, and takes
  /// part again once it is well.
  void MindSlowness(Time now) {
    m_slowness.Add(now - m_tick_due);
    if (!m_slowness.Well() && now >= m_late_logged + kLateLogEvery) {
      m_late_logged = now;
      LogLine("loop_late", Level::kWarning)
          .With("host", m_settings.host)
          .With("ticks_late_ms", m_slowness.Late().count())
          .With("open_calls", static_cast<std::uint64_t>(m_callers.Open()));
    }
    if (m_leaving || m_cell.Owning() == m_resting) {
      return;
    }
    if (m_resting) {
      if (m_slowness.Well() && now >= m_rest_until) {
        m_resting = false;
        LogLine("takes_part_again").With("host", m_settings.host);
        m_members.Return();
      }
      return;
    }
    if (!m_slowness.Slow() || m_members.OthersActive() < kLeastOthers) {
      return;
    }
    m_resting = true;
    m_rest_until = now + kRest;
    LogLine("hands_over_when_slow", Level::kWarning)
        .With("host", m_settings.host)
        .With("ticks_late_ms", m_slowness.Late().count());
    m_members.Leave();
  }

  void Tick() {
    const Time now = Now();
    if (now - m_tick_due > kLongPause && m_cell.Owning()) {
      LogLine("paused", Level::kWarning)
          .With("for_ms", (now - m_tick_due).count());
      m_paused_until = now;
      m_members.Recheck();
    }
    MindSlowness(now);
    MindRelease(now);
    m_relay.Tick(now);
    m_rules.Tick(now);
    m_targets.Tick(now);
    m_members.Tick(now);
    m_cell.Tick(now);
    m_callers.Tick(now);
    MindOwner(now);
    WatchSettings(now);
    LeaveWhenDone(now);
    m_log.Flush();
    m_tick_due = Now() + kTickEvery;
    m_timer.expires_after(kTickEvery);
    m_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        Tick();
      }
    });
  }

  HostSettings m_settings;
  std::string m_settings_path;
  asio::io_context m_io{1};
  asio::signal_set m_signals;
  asio::steady_timer m_timer;
  LogBuffer m_log;
  runtime::Metrics m_metrics;
  net::HttpClient m_client;
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
  Time m_tick_due = Now();
  Epoch m_suspected = 0;  ///< Of the last owner that was claimed from.
  Time m_paused_until;    ///< End of the last long pause.
  std::optional<Time> m_release_began;  ///< Of the cell, not ended yet.
  bool m_resting = false;  ///< Handed over because this host is slow.
  Time m_rest_until;
  Time m_late_logged;
  bool m_leaving = false;
  bool m_unregistering = false;
  Time m_leave_at;
  Time m_settings_at;
};

}  // namespace

Result<int> RunHost(const std::string& settings_path) {
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  // Memory is dear on entry hosts: freed pages go back early.
  constexpr int kTrimAbove = 256 * 1024;
  mallopt(M_TRIM_THRESHOLD, kTrimAbove);
  mallopt(M_ARENA_MAX, 1);
  BOOST_LEAF_AUTO(settings,
                  ReadSettings(settings_path, platform::ParseSettings));
  Host host(std::move(settings), settings_path);
  return host.Run();
}

}  // namespace buckthornmux::entry
