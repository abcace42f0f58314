#include "buckthornmux/detail/runtime/serve.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <csignal>
#include <ctime>
#include <memory>
#include <thread>
#include <utility>

#include "buckthornmux/detail/config/keys.h"
#include "buckthornmux/detail/front/front.h"
#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/runtime/config_duty.h"
#include "buckthornmux/detail/runtime/heartbeat_duty.h"
#include "buckthornmux/detail/runtime/journal_duty.h"
#include "buckthornmux/detail/runtime/ledger_duty.h"
#include "buckthornmux/detail/runtime/log_line.h"
#include "buckthornmux/detail/runtime/member_duty.h"
#include "buckthornmux/detail/runtime/owner_duty.h"
#include "buckthornmux/detail/runtime/watch_duty.h"
#include "buckthornmux/detail/runtime/wiring.h"
#include "buckthornmux/detail/store/http_store.h"

namespace buckthornmux::runtime {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kIncarnationBytes = 8;
constexpr Millis kSignalPoll{50};
constexpr Millis kHandoverWait{5000};
constexpr Millis kLinger{500};

/// An io_context with its own thread: a duty that waits for sockets.
class IoDuty {
 public:
  IoDuty() : m_work(m_io.get_executor()), m_thread([this] { m_io.run(); }) {}
  ~IoDuty() {
    m_io.stop();
    m_thread.join();
  }
  IoDuty(const IoDuty&) = delete;
  IoDuty& operator=(const IoDuty&) = delete;

  asio::io_context& Context() { return m_io; }

 private:
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

WallMillis WallNow() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Waits for one of the stopping signals; true when one came.
bool SignalCame(Millis wait) {
  sigset_t stopping;
  sigemptyset(&stopping);
  sigaddset(&stopping, SIGTERM);
  sigaddset(&stopping, SIGINT);
  const auto seconds = std::chrono::floor<std::chrono::seconds>(wait);
  const timespec limit{seconds.count(),
                       std::chrono::nanoseconds(wait - seconds).count()};
  return sigtimedwait(&stopping, nullptr, &limit) > 0;
}

/// Signals are taken by the main thread alone; threads inherit the mask.
void BlockSignals() {
  sigset_t stopping;
  sigemptyset(&stopping);
  sigaddset(&stopping, SIGTERM);
  sigaddset(&stopping, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stopping, nullptr);
  // A peer that closes a connection must not end the process.
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

/// One process with all its duties.
class Process {
 public:
  explicit Process(const config::Settings& settings)
      : m_store_client(m_links.Context(), {}),
        m_target_client(m_links.Context(), {}),
        m_fleet_client(m_links.Context(), {}) {
    m_wiring.settings = settings;
    m_wiring.anchor = {m_wiring.Now(), WallNow()};
    const auto incarnation =
        Capture([] { return config::RandomHex(kIncarnationBytes); });
    m_wiring.incarnation = std::get<std::string>(incarnation);
    m_wiring.store = store::MakeHttpStore(
        m_store_client, settings.store_addresses, settings.store_call_timeout);
    MakeLinks();
    m_front = std::make_unique<front::Front>(m_wiring, m_front_io.Context(),
                                             m_fleet_client,
                                             [this] { m_drain_asked = true; });
    RunDuties();
  }

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Readers first, then what they feed.
  ~Process() {
    m_watch_duty.Stop();
    m_grants_watch_duty.Stop();
    m_host_list_duty.Stop();
    m_heartbeat_duty.Stop();
    m_wiring.operators.Stop();
    m_wiring.config.Stop();
    m_wiring.member.Stop();
    m_wiring.ledger.Stop();
    m_wiring.journal.Stop();
    m_wiring.owner.Stop();
    m_front.reset();
    m_wiring.targets.reset();
    m_wiring.peers.reset();
  }

  [[nodiscard]] bool DrainAsked() const { return m_drain_asked; }

  void UpdateReadiness() {
    const auto view = m_wiring.config_view.Load();
    const auto routes = m_wiring.routes.Load();
    const bool ready = view->config->revision > 0 &&
                       routes->members.contains(m_wiring.settings.host_id);
    if (ready != m_ready) {
      m_ready = ready;
      m_front->SetReady(ready);
      LogLine("ready").With("ready", std::string_view(ready ? "yes" : "no"));
    }
  }

  /// @return false where the time was over or a second signal came
  bool ShutDown() {
    const Time until = m_wiring.Now() + m_wiring.settings.shutdown_within;
    LogLine("leaving").With("host", m_wiring.settings.host_id);
    m_front->Retire();
    m_wiring.leaving = true;
    if (!Wait(
            m_wiring.settings.drain_wait, [] { return false; }, until)) {
      return false;
    }
    m_wiring.member.Post(LeaveRequested{});
    m_wiring.owns_nothing = false;
    if (!Wait(
            kHandoverWait, [this] { return m_wiring.owns_nothing.load(); },
            until)) {
      return false;
    }
    m_front->Drain();
    const auto answered = [this] { return m_front->OpenRequests() == 0; };
    if (!Wait(m_wiring.settings.shutdown_within, answered, until)) {
      return false;
    }
    // A caller may be sending on a connection that it was told nothing of yet.
    if (!Wait(
            kLinger, [] { return false; }, until) ||
        !Wait(m_wiring.settings.shutdown_within, answered, until)) {
      return false;
    }
    m_wiring.member.Stop();
    m_member->Deregister();
    LogLine("left").With("host", m_wiring.settings.host_id);
    return answered();
  }

 private:
  /// Waits until done, `span` or `until`; false upon a second signal.
  template <class Done>
  bool Wait(Millis span, Done done, Time until) {
    const Time end = std::min(m_wiring.Now() + span, until);
    while (!done() && m_wiring.Now() < end) {
      if (SignalCame(kSignalPoll)) {
        LogLine("second_signal", LogLine::Level::kWarning)
            .With("host", m_wiring.settings.host_id);
        return false;
      }
    }
    return true;
  }

  void MakeLinks() {
    const config::Settings& settings = m_wiring.settings;
    target::TargetLinkOptions link_options;
    link_options.call_timeout = settings.target_call_timeout;
    link_options.renewal_interval = settings.target_renew_every;
    link_options.task_lease = settings.task_lease;
    link_options.unreachable_after = settings.target_unreachable_after;
    m_wiring.targets = std::make_unique<target::TargetLinks>(
        m_links.Context(), m_target_client, link_options,
        [this](const ShardId& shard, sched::Event event) {
          m_wiring.owner.Post(ShardEvent{shard, std::move(event)});
        });
    peer::PeerLinkOptions peer_options;
    peer_options.self = settings.host_id;
    peer_options.incarnation = m_wiring.incarnation;
    peer_options.listen = settings.peer_address;
    peer_options.silent_after = settings.peer_silent_after;
    m_wiring.peers = std::make_unique<peer::PeerLinks>(
        m_links.Context(), peer_options, MakePeerEvents());
  }

  peer::PeerEvents MakePeerEvents() {
    peer::PeerEvents events;
    events.message = [this](const HostId& from, peer::Message message) {
      if (std::holds_alternative<peer::ConfigText>(message) ||
          std::holds_alternative<peer::ConfigWanted>(message)) {
        m_wiring.config.Post(PeerMessage{from, std::move(message)});
      } else {
        m_wiring.owner.Post(PeerMessage{from, std::move(message)});
      }
    };
    events.link = [this](const HostId& peer, bool up) {
      LogLine("peer_link")
          .With("peer", peer)
          .With("up", std::string_view(up ? "yes" : "no"));
      m_wiring.owner.Post(PeerLink{peer, up});
      m_wiring.front_link(peer, up);
    };
    events.heartbeat = [this](peer::Heartbeat heartbeat) {
      m_wiring.config.Post(BeatReceived{heartbeat});
      m_wiring.owner.Post(BeatReceived{std::move(heartbeat)});
    };
    return events;
  }

  template <class Logic, class Message>
  void RunDuty(Duty<Message>& duty, std::shared_ptr<Logic> logic) {
    duty.Run(m_wiring.actors, [logic](std::vector<Message> messages, Time now) {
      return logic->Step(std::move(messages), now);
    });
  }

  void RunWatch(Duty<int>& duty, std::string_view prefix,
                WatchDuty::Publish publish) {
    auto watch =
        std::make_shared<WatchDuty>(m_wiring, prefix, std::move(publish));
    duty.Run(m_wiring.actors, [watch](const std::vector<int>&, Time now) {
      return watch->Step(now);
    });
  }

  void RunDuties() {
    RunDuty(m_wiring.owner, std::make_shared<OwnerDuty>(m_wiring));
    RunDuty(m_wiring.journal, std::make_shared<JournalDuty>(m_wiring));
    RunDuty(m_wiring.ledger, std::make_shared<LedgerDuty>(m_wiring));
    RunDuty(m_wiring.config, std::make_shared<ConfigDuty>(m_wiring));
    m_wiring.operators.Run(
        m_wiring.actors,
        [this](const std::vector<OperatorCall>& calls, Time /*now*/) {
          return AnswerOperators(m_wiring, calls);
        });
    m_member = std::make_shared<MemberDuty>(m_wiring);
    RunDuty(m_wiring.member, m_member);
    RunWatch(m_watch_duty, store::kStatePrefix, [this](const StateRead& read) {
      m_wiring.config.Post(read);
      m_wiring.member.Post(read);
    });
    RunWatch(m_grants_watch_duty, store::kGrantsPrefix,
             [this](const StateRead& read) { m_wiring.ledger.Post(read); });
    auto hosts = std::make_shared<HostListDuty>(m_wiring, m_fleet_client);
    m_host_list_duty.Run(m_wiring.actors,
                         [hosts](const std::vector<int>&, Time now) {
                           return hosts->Step(now);
                         });
    m_heartbeat_duty.Run(m_wiring.actors,
                         [this, sequence = std::uint64_t{0}](
                             const std::vector<int>&, Time now) mutable {
                           SendHeartbeat(m_wiring, ++sequence, now);
                           return now + m_wiring.settings.heartbeat_every;
                         });
  }

  Wiring m_wiring;
  // The I/O duties end before the wiring that their handlers use.
  IoDuty m_links;
  IoDuty m_front_io;
  net::HttpClient m_store_client;
  net::HttpClient m_target_client;
  net::HttpClient m_fleet_client;
  std::unique_ptr<front::Front> m_front;
  std::shared_ptr<MemberDuty> m_member;
  Duty<int> m_watch_duty;
  Duty<int> m_grants_watch_duty;
  Duty<int> m_host_list_duty;
  Duty<int> m_heartbeat_duty;
  std::atomic<bool> m_drain_asked = false;
  bool m_ready = false;
};

}  // namespace

int RunServe(const config::Settings& settings) {
  BlockSignals();
  try {
    Process process(settings);
    LogLine("started")
        .With("host", settings.host_id)
        .With("data_centre", settings.data_centre)
        .With("http", settings.http_address)
        .With("peer", settings.peer_address);
    while (!SignalCame(kSignalPoll) && !process.DrainAsked()) {
      process.UpdateReadiness();
    }
    return process.ShutDown() ? 0 : 1;
  } catch (const boost::system::system_error& error) {
    LogLine("start_failed", LogLine::Level::kError)
        .With("message", std::string_view(error.what()));
    return 1;
  }
}

}  // namespace buckthornmux::runtime
