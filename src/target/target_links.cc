#include "buckthornmux/detail/target/target_links.h"

#include <glog/logging.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>

#include "buckthornmux/detail/target/link_state.h"
#include "buckthornmux/detail/target/target_codec.h"
#include "start_answer.h"

namespace buckthornmux::target {
namespace {

namespace asio = boost::asio;
using net::HttpResponse;

/// Shortest time between two renewals of one target, so that one which answers
/// without waiting is not called in a loop; ends are known this much later.
constexpr Millis kMinRenewGap{5};
constexpr Millis kFirstPause{100};  ///< After a failed renewal, then doubled.
constexpr Millis kLongestPause{1000};
constexpr Millis kSendAgainPause{500};  ///< Between tries at a stop.
constexpr int kOk = 200;

/// Whether a shard is still served; set to false from any thread.
using Alive = std::shared_ptr<std::atomic<bool>>;

Time SteadyNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

/// Converts steady time to wall time of this moment.
WallMillis ToWall(Time time) {
  const auto wall = std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
  return ClockAnchor{SteadyNow(), wall.count()}.ToWall(time);
}

/// Link to one target; used on the strand only, but for `alive`.
struct Link {
  Link(asio::any_io_executor executor, const ShardId& shard_id,
       Epoch shard_epoch, const TargetSpec& spec, Alive shard_alive)
      : shard(shard_id),
        epoch(shard_epoch),
        address(spec.address),
        alive(std::move(shard_alive)),
        timer(executor) {
    state.target = spec.id;
    state.last_answer = SteadyNow();
  }

  ShardId shard;
  Epoch epoch;
  std::string address;
  Alive alive;
  bool ended = false;  ///< Its target is no longer the shard's.
  asio::steady_timer timer;
  LinkState state;
  Millis pause = kFirstPause;
  bool probing = false;  ///< The last renewal failed: ask without waiting.

  [[nodiscard]] bool Serves() const { return *alive && !ended; }
};
using LinkPtr = std::shared_ptr<Link>;

struct ShardLinks {
  Epoch epoch = 0;
  Alive alive;
  std::map<TargetId, LinkPtr> links;
};

}  // namespace

struct TargetLinks::Impl : std::enable_shared_from_this<TargetLinks::Impl> {
  Impl(asio::io_context& io, net::HttpClient& http_client,
       TargetLinkOptions link_options, LinkEvent event)
      : strand(asio::make_strand(io)),
        client(http_client),
        options(link_options),
        on_event(std::move(event)) {}

  /// Replaces the token of a shard; the former one says "ended" at once.
  Alive NewToken(const ShardId& shard, Epoch epoch) {
    const std::lock_guard lock(tokens_mutex);
    auto& [token_epoch, token] = tokens[shard];
    if (!token || token_epoch != epoch) {
      if (token) {
        *token = false;
      }
      token_epoch = epoch;
      token = std::make_shared<std::atomic<bool>>(true);
    }
    return token;
  }

  Alive EndToken(const ShardId& shard) {
    const std::lock_guard lock(tokens_mutex);
    const auto found = tokens.find(shard);
    if (found == tokens.end()) {
      return nullptr;
    }
    Alive token = std::move(found->second.second);
    *token = false;
    tokens.erase(found);
    return token;
  }

  void EndAll() {
    {
      const std::lock_guard lock(tokens_mutex);
      for (auto& [shard, token] : tokens) {
        *token.second = false;
      }
    }
    // Waits for an event that is being told on another thread.
    const std::lock_guard lock(events_mutex);
    closed = true;
  }

  void Tell(const Link& link, std::vector<sched::Event> events) {
    if (!link.ended) {
      Tell(link.shard, link.alive, std::move(events));
    }
  }

  void Tell(const ShardId& shard, const Alive& alive,
            std::vector<sched::Event> events) {
    const std::lock_guard lock(events_mutex);
    for (sched::Event& event : events) {
      if (closed || !*alive) {
        return;
      }
      on_event(shard, std::move(event));
    }
  }

  void SetShard(const ShardId& shard, Epoch epoch, const Alive& alive,
                const std::vector<TargetSpec>& targets) {
    ShardLinks& slot = shards[shard];
    auto former = std::exchange(slot.links, {});
    const bool same_owner = slot.alive == alive;
    slot.epoch = epoch;
    slot.alive = alive;
    for (const TargetSpec& spec : targets) {
      const auto found = former.find(spec.id);
      if (same_owner && found != former.end() &&
          found->second->address == spec.address) {
        slot.links.insert(former.extract(found));
        continue;
      }
      auto link = std::make_shared<Link>(strand, shard, epoch, spec, alive);
      slot.links.emplace(spec.id, link);
      Renew(link);
    }
    EndLinks(former);
  }

  static void EndLinks(std::map<TargetId, LinkPtr>& links) {
    for (auto& [target, link] : links) {
      link->ended = true;
      link->timer.cancel();
    }
  }

  void DropShard(const ShardId& shard, const Alive& alive) {
    const auto found = shards.find(shard);
    if (found != shards.end() && found->second.alive == alive) {
      EndLinks(found->second.links);
      shards.erase(found);
    }
  }

  LinkPtr Find(const ShardId& shard, const TargetId& target) {
    const auto found = shards.find(shard);
    if (found == shards.end()) {
      return nullptr;
    }
    const auto link = found->second.links.find(target);
    return link == found->second.links.end() ? nullptr : link->second;
  }

  void Renew(const LinkPtr& link) {
    if (!link->Serves()) {
      return;
    }
    RenewRequest request{link->shard, link->epoch, options.task_lease};
    request.wait = link->probing || link->state.after == 0
                       ? Millis(0)
                       : options.renew_every;
    request.instance = link->state.instance;
    request.after = link->state.after;
    const Millis grace = options.call_timeout / 2;
    const Time sent_at = SteadyNow();
    client.Call(
        link->address, {"POST", std::string(kRenewPath), FormatRenew(request)},
        request.wait + grace,
        [self = shared_from_this(), link,
         sent_at](Outcome<HttpResponse> outcome) {
          asio::post(self->strand,
                     [self, link, sent_at, outcome = std::move(outcome)] {
                       self->OnRenewal(link, sent_at, outcome);
                     });
        });
  }

  void OnRenewal(const LinkPtr& link, Time sent_at,
                 const Outcome<HttpResponse>& outcome) {
    if (!link->Serves()) {
      return;
    }
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (response != nullptr && response->status == kOk) {
      const auto answer =
          Capture([&] { return ParseRenewAnswer(response->body); });
      if (const auto* renewed = std::get_if<RenewAnswer>(&answer)) {
        link->probing = false;
        link->pause = kFirstPause;
        Tell(*link, OnRenewed(link->state, *renewed, sent_at, SteadyNow()));
        RenewAt(link, sent_at + kMinRenewGap);
        return;
      }
    }
    OnNoRenewal(link, response);
  }

  /// The first try after a failure follows at once: it takes a new connection,
  /// so it tells a silent connection from a silent target.
  void OnNoRenewal(const LinkPtr& link, const HttpResponse* response) {
    if (response != nullptr) {
      LOG_EVERY_N(WARNING, 100)
          << "event=renewal_refused target=" << link->state.target
          << " shard=" << link->shard << " epoch=" << link->epoch
          << " status=" << response->status;
    }
    const Time now = SteadyNow();
    Tell(*link, OnRenewFailed(link->state, options.unreachable_after, now));
    if (!link->probing) {
      link->probing = true;
      RenewAt(link, now + kMinRenewGap);
      return;
    }
    RenewAt(link, now + link->pause);
    link->pause = std::min(link->pause * 2, kLongestPause);
  }

  void RenewAt(const LinkPtr& link, Time at) {
    link->timer.expires_at(at);
    link->timer.async_wait(
        [self = shared_from_this(), link](boost::system::error_code error) {
          if (!error) {
            self->Renew(link);
          }
        });
  }

  void SendStart(const ShardId& shard, const sched::Start& start) {
    const auto owned = shards.find(shard);
    if (owned == shards.end() || owned->second.epoch != start.epoch) {
      return;  // The shard is no longer owned under that epoch.
    }
    const LinkPtr link = Find(shard, start.target);
    if (!link || SteadyNow() > start.start_by) {
      Tell(shard, owned->second.alive,
           {sched::StartAnswered{start.target, start.task.Id(),
                                 start.task.attempt}});
      return;
    }
    const StartRequest wire{
        shard,      start.epoch, ToWall(start.start_by), options.task_lease,
        start.task, start.home};
    net::HttpRequest request{"POST", std::string(kStartPath),
                             FormatStart(wire)};
    request.send_by = start.start_by;
    client.Call(link->address, std::move(request), options.call_timeout,
                [self = shared_from_this(), link, id = start.task.Id(),
                 attempt = start.task.attempt,
                 start_by = start.start_by](const auto& outcome) {
                  sched::StartAnswered answer = ReadStartAnswer(outcome);
                  answer.target = link->state.target;
                  answer.task_id = id;
                  answer.attempt = attempt;
                  asio::post(self->strand, [self, link, answer, start_by] {
                    self->OnStartAnswered(link, answer, start_by);
                  });
                });
  }

  void OnStartAnswered(const LinkPtr& link, const sched::StartAnswered& answer,
                       Time start_by) {
    if (answer.may_run) {
      OnStartInDoubt(link->state, start_by);
    }
    Tell(*link, {answer});
  }

  /// Sends a stop until it is answered, the task is seen to end, or the link
  /// ends: this owner's renewals would keep the task alive.
  void SendStop(const LinkPtr& link, const sched::Stop& stop) {
    const StopRequest wire{link->shard, link->epoch, stop.task_id, stop.attempt,
                           stop.checkpoint};
    client.Call(
        link->address, {"POST", std::string(kStopPath), FormatStop(wire)},
        options.call_timeout,
        [self = shared_from_this(), link, stop](const auto& outcome) {
          const auto* response = std::get_if<HttpResponse>(&outcome);
          const bool answered = response != nullptr && response->status == kOk;
          if (!answered) {
            self->SendStopLater(link, stop);
          }
        });
  }

  void SendStopLater(const LinkPtr& link, const sched::Stop& stop) {
    auto timer = std::make_shared<asio::steady_timer>(strand, kSendAgainPause);
    timer->async_wait([self = shared_from_this(), link, stop,
                       timer](boost::system::error_code) {
      const auto running = link->state.running.find(stop.task_id);
      const bool may_run =
          !link->state.reachable || (running != link->state.running.end() &&
                                     running->second.attempt == stop.attempt);
      if (link->Serves() && may_run) {
        self->SendStop(link, stop);
      }
    });
  }

  asio::strand<asio::io_context::executor_type> strand;
  net::HttpClient& client;
  TargetLinkOptions options;
  LinkEvent on_event;
  std::mutex events_mutex;
  bool closed = false;
  std::mutex tokens_mutex;
  std::map<ShardId, std::pair<Epoch, Alive>> tokens;
  std::map<ShardId, ShardLinks> shards;
};

TargetLinks::TargetLinks(asio::io_context& io, net::HttpClient& client,
                         TargetLinkOptions options, LinkEvent on_event)
    : m_impl(std::make_shared<Impl>(io, client, options, std::move(on_event))) {
}

TargetLinks::~TargetLinks() { m_impl->EndAll(); }

void TargetLinks::SetShard(const ShardId& shard, Epoch epoch,
                           std::span<const TargetSpec> targets) {
  const Alive alive = m_impl->NewToken(shard, epoch);
  asio::post(m_impl->strand,
             [impl = m_impl, shard, epoch, alive,
              specs = std::vector(targets.begin(), targets.end())] {
               impl->SetShard(shard, epoch, alive, specs);
             });
}

void TargetLinks::DropShard(const ShardId& shard) {
  const Alive alive = m_impl->EndToken(shard);
  asio::post(m_impl->strand,
             [impl = m_impl, shard, alive] { impl->DropShard(shard, alive); });
}

void TargetLinks::Send(const ShardId& shard, const sched::Start& start) {
  asio::post(m_impl->strand,
             [impl = m_impl, shard, start] { impl->SendStart(shard, start); });
}

void TargetLinks::Send(const ShardId& shard, const sched::Stop& stop) {
  asio::post(m_impl->strand, [impl = m_impl, shard, stop] {
    if (const LinkPtr link = impl->Find(shard, stop.target)) {
      impl->SendStop(link, stop);
    }
  });
}

}  // namespace buckthornmux::target
