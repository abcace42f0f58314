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

/// Minimum time between two renewals of one target, so that a target that
/// answers without waiting is not called in a tight loop. Task ends are known
/// up to this much later.
constexpr Millis kMinRenewalInterval{5};
/// Delay after a failed renewal; doubles with each further failure.
constexpr Millis kInitialRetryDelay{100};
constexpr Millis kMaxRetryDelay{1000};
constexpr Millis kStopRetryDelay{500};  ///< Between two attempts at a stop.
constexpr int kOk = 200;

/// Whether a shard is still served by this owner; cleared from any thread.
using AliveFlag = std::shared_ptr<std::atomic<bool>>;

Time SteadyNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

/// Converts steady time to wall time, using the current reading of both clocks.
WallMillis ToWall(Time time) {
  const auto wall = std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
  return ClockAnchor{SteadyNow(), wall.count()}.ToWall(time);
}

/// Link to one target; used on the strand only, except for `alive`.
struct Link {
  Link(asio::any_io_executor executor, const ShardId& shard_id,
       Epoch shard_epoch, const TargetSpec& spec, AliveFlag shard_alive)
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
  AliveFlag alive;
  bool ended = false;  ///< The target no longer belongs to the shard.
  asio::steady_timer timer;
  LinkState state;
  Millis retry_delay = kInitialRetryDelay;
  bool probing = false;  ///< The last renewal failed; the next doesn't wait.

  [[nodiscard]] bool IsActive() const { return *alive && !ended; }
};
using LinkPtr = std::shared_ptr<Link>;

struct ShardLinks {
  Epoch epoch = 0;
  AliveFlag alive;
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

  /// Returns the alive flag of a shard under an epoch. If the epoch is new,
  /// creates the flag and clears the flag of the former epoch.
  AliveFlag NewToken(const ShardId& shard, Epoch epoch) {
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

  AliveFlag EndToken(const ShardId& shard) {
    const std::lock_guard lock(tokens_mutex);
    const auto found = tokens.find(shard);
    if (found == tokens.end()) {
      return nullptr;
    }
    AliveFlag token = std::move(found->second.second);
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
    // Waits for an event that another thread is delivering.
    const std::lock_guard lock(events_mutex);
    closed = true;
  }

  void Deliver(const Link& link, std::vector<sched::Event> events) {
    if (!link.ended) {
      Deliver(link.shard, link.alive, std::move(events));
    }
  }

  void Deliver(const ShardId& shard, const AliveFlag& alive,
               std::vector<sched::Event> events) {
    const std::lock_guard lock(events_mutex);
    for (sched::Event& event : events) {
      if (closed || !*alive) {
        return;
      }
      on_event(shard, std::move(event));
    }
  }

  void SetShard(const ShardId& shard, Epoch epoch, const AliveFlag& alive,
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

  void DropShard(const ShardId& shard, const AliveFlag& alive) {
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
    if (!link->IsActive()) {
      return;
    }
    RenewRequest request{link->shard, link->epoch, options.task_lease};
    request.wait = link->probing || link->state.after == 0
                       ? Millis(0)
                       : options.renewal_interval;
    request.instance = link->state.instance;
    request.after = link->state.after;
    const Millis answer_timeout = options.call_timeout / 2;
    const Time sent_at = SteadyNow();
    client.Call(
        link->address, {"POST", std::string(kRenewPath), FormatRenew(request)},
        request.wait + answer_timeout,
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
    if (!link->IsActive()) {
      return;
    }
    const auto* response = std::get_if<HttpResponse>(&outcome);
    if (response != nullptr && response->status == kOk) {
      const auto answer =
          Capture([&] { return ParseRenewAnswer(response->body); });
      if (const auto* renewed = std::get_if<RenewAnswer>(&answer)) {
        link->probing = false;
        link->retry_delay = kInitialRetryDelay;
        Deliver(*link, OnRenewed(link->state, *renewed, sent_at, SteadyNow()));
        ScheduleRenewal(link, sent_at + kMinRenewalInterval);
        return;
      }
    }
    HandleRenewalFailure(link, response);
  }

  /// Schedules the renewal after a failure. The first retry follows after only
  /// kMinRenewalInterval: it uses a new connection, which distinguishes an
  /// unresponsive connection from an unresponsive target.
  void HandleRenewalFailure(const LinkPtr& link, const HttpResponse* response) {
    if (response != nullptr) {
      LOG_EVERY_N(WARNING, 100)
          << "event=renewal_refused target=" << link->state.target
          << " shard=" << link->shard << " epoch=" << link->epoch
          << " status=" << response->status;
    }
    const Time now = SteadyNow();
    Deliver(*link, OnRenewFailed(link->state, options.unreachable_after, now));
    if (!link->probing) {
      link->probing = true;
      ScheduleRenewal(link, now + kMinRenewalInterval);
      return;
    }
    ScheduleRenewal(link, now + link->retry_delay);
    link->retry_delay = std::min(link->retry_delay * 2, kMaxRetryDelay);
  }

  void ScheduleRenewal(const LinkPtr& link, Time at) {
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
      Deliver(shard, owned->second.alive,
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
                  sched::StartAnswered answer = ParseStartAnswer(outcome);
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
      OnStartUncertain(link->state, start_by);
    }
    Deliver(*link, {answer});
  }

  /// Sends a stop repeatedly until it is answered, the task has ended or the
  /// link ends, because this owner's renewals would otherwise keep the task
  /// running.
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
            self->ScheduleStopRetry(link, stop);
          }
        });
  }

  void ScheduleStopRetry(const LinkPtr& link, const sched::Stop& stop) {
    auto timer = std::make_shared<asio::steady_timer>(strand, kStopRetryDelay);
    timer->async_wait([self = shared_from_this(), link, stop,
                       timer](boost::system::error_code) {
      const auto running = link->state.running.find(stop.task_id);
      const bool may_run =
          !link->state.reachable || (running != link->state.running.end() &&
                                     running->second.attempt == stop.attempt);
      if (link->IsActive() && may_run) {
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
  std::map<ShardId, std::pair<Epoch, AliveFlag>> tokens;
  std::map<ShardId, ShardLinks> shards;
};

TargetLinks::TargetLinks(asio::io_context& io, net::HttpClient& client,
                         TargetLinkOptions options, LinkEvent on_event)
    : m_impl(std::make_shared<Impl>(io, client, options, std::move(on_event))) {
}

TargetLinks::~TargetLinks() { m_impl->EndAll(); }

void TargetLinks::SetShard(const ShardId& shard, Epoch epoch,
                           std::span<const TargetSpec> targets) {
  const AliveFlag alive = m_impl->NewToken(shard, epoch);
  asio::post(m_impl->strand,
             [impl = m_impl, shard, epoch, alive,
              specs = std::vector(targets.begin(), targets.end())] {
               impl->SetShard(shard, epoch, alive, specs);
             });
}

void TargetLinks::DropShard(const ShardId& shard) {
  const AliveFlag alive = m_impl->EndToken(shard);
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
