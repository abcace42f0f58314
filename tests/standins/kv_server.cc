#include "standins/kv_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <list>
#include <utility>

#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/net/url.h"
#include "standins/json_http.h"

namespace buckthornmux::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using net::HttpRequest;
using net::HttpResponse;
using net::RequestTarget;
using net::Responder;

constexpr Millis kSweepEvery{20};
constexpr std::size_t kMaxPageBytes = std::size_t{4} << 20;
constexpr std::uint64_t kMaxBodyBytes = 4 << 20;
constexpr std::string_view kLeasesPath = "/v1/leases";

/// A watch that waits for a change.
struct Waiting {
  std::string prefix;
  Revision after = 0;
  Time until;
  Responder respond;
};

struct KvFaults {
  bool away = false;
  bool busy = false;
  Millis slow{0};
  std::int64_t lose_answer_every = 0;
  std::int64_t fail_write_every = 0;
};

json::array EntriesJson(const std::vector<store::Entry>& entries,
                        bool with_value) {
  json::array items;
  for (const store::Entry& entry : entries) {
    json::object item{{"key", entry.key}, {"revision", entry.revision}};
    if (with_value) {
      item["value"] = entry.value;
    }
    items.push_back(std::move(item));
  }
  return items;
}

HttpResponse BatchAnswer(const store::WatchBatch& batch) {
  return JsonAnswer(
      200, json::object{{"revision", batch.revision},
                        {"compacted", batch.compacted},
                        {"puts", EntriesJson(batch.puts, true)},
                        {"deletes", EntriesJson(batch.deletes, false)}});
}

HttpResponse WriteAnswer(WriteEnd end, Revision revision) {
  switch (end) {
    case WriteEnd::kDone:
      return JsonAnswer(200, json::object{{"revision", revision}});
    case WriteEnd::kConflict:
      return ErrorAnswerOf(409, "conflict");
    case WriteEnd::kNoLease:
      return ErrorAnswerOf(404, "no_lease");
    case WriteEnd::kTooLarge:
      return ErrorAnswerOf(413, "too_large");
  }
  return ErrorAnswerOf(500, "internal");
}

HttpResponse Closed() { return {.status = 0}; }

bool IsWrite(const HttpRequest& request) { return request.method != "GET"; }

}  // namespace

struct KvServer::Impl : std::enable_shared_from_this<KvServer::Impl> {
  Impl(asio::io_context& context, const KvOptions& options)
      : io(context), timer(context) {
    state.limits = options.limits;
  }

  void Handle(const HttpRequest& request, const Responder& respond) {
    auto outcome = Capture([&] { return net::ParseTarget(request.target); });
    auto* target = std::get_if<RequestTarget>(&outcome);
    if (target == nullptr) {
      respond(ErrorAnswerOf(400, "malformed"));
    } else if (target->path.starts_with("/standin/")) {
      respond(HandleControl(request, target->path));
    } else {
      HandleCall(request, *target, Delayed(respond));
    }
  }

  /// Delays the answer by the time that `slow_ms` asks for.
  Responder Delayed(const Responder& respond) {
    if (faults.slow <= Millis(0)) {
      return respond;
    }
    return [self = shared_from_this(), respond](HttpResponse response) {
      auto pause =
          std::make_shared<asio::steady_timer>(self->io, self->faults.slow);
      pause->async_wait(
          [pause, respond, response = std::move(response)](
              boost::system::error_code) mutable { respond(response); });
    };
  }

  HttpResponse HandleControl(const HttpRequest& request,
                             std::string_view path) {
    if (path == "/standin/counts") {
      json::object answer;
      for (const auto& [type, count] : counts) {
        answer[type] = count;
      }
      return JsonAnswer(200, answer);
    }
    const auto body = ParseObject(request.body);
    if (path != "/standin/faults" || !body) {
      return ErrorAnswerOf(404, "not_found");
    }
    faults.away = BoolAt(*body, "away", faults.away);
    faults.busy = BoolAt(*body, "busy", faults.busy);
    faults.slow = Millis(IntegerAt(*body, "slow_ms", faults.slow.count()));
    faults.lose_answer_every =
        IntegerAt(*body, "lose_answer_every", faults.lose_answer_every);
    faults.fail_write_every =
        IntegerAt(*body, "fail_write_every", faults.fail_write_every);
    if (faults.away) {
      CloseWaiting();
    }
    return JsonAnswer(200, json::object{{"ok", true}});
  }

  void CloseWaiting() {
    for (const Waiting& watch : std::exchange(waiting, {})) {
      watch.respond(Closed());
    }
  }

  void HandleCall(const HttpRequest& request, const RequestTarget& target,
                  const Responder& respond) {
    const Time now = SteadyNow();
    ExpireLeases(state, now);
    const bool write = IsWrite(request);
    if (faults.away) {
      ++counts["away"];
      respond(Closed());
      return;
    }
    auto& bucket = write ? state.writes : state.reads;
    const double rate =
        write ? state.limits.writes_per_second : state.limits.reads_per_second;
    if (faults.busy || !TakePermit(bucket, rate, now)) {
      ++counts["refused"];
      respond(ErrorAnswerOf(faults.busy ? 503 : 429, "over_rate"));
      return;
    }
    ++counts[write ? "writes" : "reads"];
    if (target.path == "/v1/watch") {
      HandleWatch(target, now, respond);
    } else if (write) {
      HandleWrite(request, target, now, respond);
    } else {
      respond(HandleRead(target));
    }
  }

  void HandleWrite(const HttpRequest& request, const RequestTarget& target,
                   Time now, const Responder& respond) {
    ++writes;
    const auto every = [this](std::int64_t n) {
      return n > 0 && writes % n == 0;
    };
    if (every(faults.fail_write_every)) {
      respond(Closed());
      return;
    }
    HttpResponse response = Write(request, target, now);
    AnswerWatches(now);
    respond(every(faults.lose_answer_every) ? Closed() : std::move(response));
  }

  HttpResponse Write(const HttpRequest& request, const RequestTarget& target,
                     Time now) {
    if (target.path.starts_with(kLeasesPath)) {
      return WriteLease(request, target.path, now);
    }
    if (target.path != "/v1/kv") {
      return ErrorAnswerOf(404, "not_found");
    }
    if (request.method == "DELETE") {
      ++counts["erase"];
      const auto end = Erase(state, target.Param("key"),
                             target.Number("expected_revision", 0));
      return WriteAnswer(end, state.revision);
    }
    const auto body = ParseObject(request.body);
    if (request.method != "PUT" || !body || !body->contains("value") ||
        !body->contains("expected_revision")) {
      return ErrorAnswerOf(400, "malformed");
    }
    ++counts["put"];
    const auto number = [&](std::string_view name) {
      return static_cast<std::uint64_t>(IntegerAt(*body, name, 0));
    };
    const auto end =
        Put(state, StringAt(*body, "key"), StringAt(*body, "value"),
            number("expected_revision"), number("lease"));
    return WriteAnswer(end, state.revision);
  }

  HttpResponse WriteLease(const HttpRequest& request, std::string_view path,
                          Time now) {
    if (path == kLeasesPath) {
      ++counts["grant_lease"];
      const auto body = ParseObject(request.body);
      const auto ttl = body ? IntegerAt(*body, "ttl_ms", 0) : 0;
      return ttl <= 0 ? ErrorAnswerOf(400, "malformed")
                      : LeaseAnswer(true, Grant(state, Millis(ttl), now));
    }
    path.remove_prefix(kLeasesPath.size() + 1);
    store::LeaseId lease = 0;
    std::from_chars(path.data(), path.data() + path.size(), lease);
    if (request.method == "DELETE") {
      ++counts["revoke_lease"];
      return LeaseAnswer(Revoke(state, lease), lease);
    }
    ++counts["keep_alive"];
    return LeaseAnswer(KeepAlive(state, lease, now), lease);
  }

  static HttpResponse LeaseAnswer(bool stands, store::LeaseId lease) {
    return stands ? JsonAnswer(200, json::object{{"lease", lease}})
                  : ErrorAnswerOf(404, "no_lease");
  }

  HttpResponse HandleRead(const RequestTarget& target) {
    if (target.path != "/v1/kv") {
      return ErrorAnswerOf(404, "not_found");
    }
    if (target.query.contains("prefix")) {
      ++counts["list"];
      return ListAnswer(target);
    }
    ++counts["get"];
    const auto found = state.keys.find(target.Param("key"));
    if (found == state.keys.end()) {
      return ErrorAnswerOf(404, "not_found");
    }
    return JsonAnswer(200, json::object{{"key", found->first},
                                        {"value", found->second.value},
                                        {"revision", found->second.revision}});
  }

  HttpResponse ListAnswer(const RequestTarget& target) {
    const KvPage page =
        List(state, target.Param("prefix"), target.Param("start_after"),
             target.Number("unchanged_since", 0), kMaxPageBytes);
    if (page.changed) {
      return ErrorAnswerOf(409, "changed");
    }
    return JsonAnswer(
        200, json::object{{"revision", state.revision},
                          {"more", page.more},
                          {"entries", EntriesJson(page.entries, true)}});
  }

  void HandleWatch(const RequestTarget& target, Time now,
                   const Responder& respond) {
    ++counts["watch"];
    Waiting watch{std::string(target.Param("prefix")),
                  target.Number("after", 0),
                  now + Millis(target.Number("wait_ms", 0)), respond};
    if (!TryAnswer(watch, now)) {
      waiting.push_back(std::move(watch));
    }
  }

  bool TryAnswer(const Waiting& watch, Time now) {
    const auto batch = ChangesAfter(state, watch.prefix, watch.after);
    const bool changed =
        batch.compacted || !batch.puts.empty() || !batch.deletes.empty();
    if (changed || watch.until <= now) {
      watch.respond(BatchAnswer(batch));
      return true;
    }
    return false;
  }

  void AnswerWatches(Time now) {
    std::erase_if(waiting,
                  [&](const Waiting& watch) { return TryAnswer(watch, now); });
  }

  /// Ends leases and watches whose time is over.
  void Sweep() {
    timer.expires_after(kSweepEvery);
    timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (error || !self) {
            return;
          }
          const Time now = SteadyNow();
          ExpireLeases(self->state, now);
          self->AnswerWatches(now);
          self->Sweep();
        });
  }

  asio::io_context& io;
  asio::steady_timer timer;
  KvState state;
  KvFaults faults;
  std::int64_t writes = 0;
  std::list<Waiting> waiting;
  std::map<std::string, std::int64_t> counts;
  std::unique_ptr<net::HttpServer> server;
};

KvServer::KvServer(asio::io_context& io, const KvOptions& options)
    : m_impl(std::make_shared<Impl>(io, options)) {
  net::HttpServerOptions server_options;
  server_options.address = options.listen;
  server_options.max_body_bytes = kMaxBodyBytes;
  m_impl->server = std::make_unique<net::HttpServer>(
      io, server_options,
      [weak = std::weak_ptr(m_impl)](const HttpRequest& request,
                                     const Responder& respond) {
        if (const auto impl = weak.lock()) {
          impl->Handle(request, respond);
        } else {
          respond(Closed());
        }
      });
  asio::post(io, [impl = m_impl] { impl->Sweep(); });
}

KvServer::~KvServer() = default;

std::string KvServer::Address() const {
  return "127.0.0.1:" + std::to_string(m_impl->server->Port());
}

}  // namespace buckthornmux::standins
