#include "standins/target_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <list>
#include <random>
#include <utility>

#include "buckthornmux/detail/net/http_server.h"
#include "standins/json_http.h"

namespace buckthornmux::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using net::HttpRequest;
using net::HttpResponse;
using net::Responder;
using target::Refusal;

constexpr std::uint64_t kMaxBodyBytes = 4 << 20;

constexpr Millis kSilentFor{60'000};

/// A renewal that waits for a change.
struct WaitingRenewal {
  target::RenewRequest request;
  Time until;
  Responder respond;
};

HttpResponse AnswerTo(const std::optional<Refusal>& refusal) {
  if (refusal) {
    return ErrorAnswerOf(409, target::RefusalName(*refusal));
  }
  return JsonAnswer(200, json::object{{"accepted", true}});
}

std::string NewInstance() {
  std::random_device source;
  return std::to_string((std::uint64_t{source()} << 32U) | source());
}

void ReadFaults(const json::object& body, TargetFaults& faults) {
  const auto flag = [&](std::string_view name, bool& value) {
    value = BoolAt(body, name, value);
  };
  flag("fail_all", faults.fail_all);
  flag("black_hole", faults.black_hole);
  flag("hang", faults.hang);
  flag("refuse", faults.refuse);
  flag("leaving", faults.leaving);
  flag("ignore_epoch", faults.ignore_epoch);
  flag("ignore_start_by", faults.ignore_start_by);
  faults.usage_percent = IntegerAt(body, "usage_percent", faults.usage_percent);
  faults.drop_answer_every =
      IntegerAt(body, "drop_answer_every", faults.drop_answer_every);
  if (body.contains("drop_answers")) {
    faults.drop_answer_every = BoolAt(body, "drop_answers", false) ? 1 : 0;
  }
}

}  // namespace

struct TargetServer::Impl : std::enable_shared_from_this<TargetServer::Impl> {
  Impl(asio::io_context& io, const TargetOptions& options) : timer(io) {
    state.id = options.id;
    state.instance = NewInstance();
    state.capacity = options.capacity;
    state.guard = options.guard;
    if (!options.log_file.empty()) {
      log.open(options.log_file, std::ios::app);
    }
  }

  static Moment Now() { return {SteadyNow(), WallNow()}; }

  void Handle(const HttpRequest& request, const Responder& respond) {
    if (request.target == "/standin/faults") {
      respond(TakeFaults(request));
      return;
    }
    if (request.connection < silent_before || state.faults.hang) {
      Abandon(respond);  // The call has no effect.
      return;
    }
    if (state.faults.refuse) {
      respond(ErrorAnswerOf(503, "refused"));
      return;
    }
    HandleCall(request, respond);
    Settle();
  }

  /// Leaves a call unanswered; its connection is closed long after every
  /// caller's time-out.
  void Abandon(const Responder& respond) {
    auto pause =
        std::make_shared<asio::steady_timer>(timer.get_executor(), kSilentFor);
    pause->async_wait([pause, respond](boost::system::error_code) {
      respond({.status = 0});
    });
  }

  HttpResponse TakeFaults(const HttpRequest& request) {
    const auto body = ParseObject(request.body);
    if (!body) {
      return ErrorAnswerOf(400, "malformed");
    }
    ReadFaults(*body, state.faults);
    if (BoolAt(*body, "silent_connections", false)) {
      silent_before = request.connection;
    }
    if (state.faults.hang || BoolAt(*body, "silent_connections", false)) {
      for (const WaitingRenewal& renewal : std::exchange(waiting, {})) {
        Abandon(renewal.respond);
      }
    }
    return JsonAnswer(200, json::object{{"ok", true}});
  }

  void HandleCall(const HttpRequest& request, const Responder& respond) {
    if (request.target == target::kStartPath) {
      HandleStart(request, respond);
    } else if (request.target == target::kStopPath) {
      HandleStop(request, respond);
    } else if (request.target == target::kRenewPath) {
      HandleRenew(request, respond);
    } else if (request.target == target::kThrottlePath) {
      respond(AnswerTo(std::nullopt));
    } else {
      respond(ErrorAnswerOf(404, "not_found"));
    }
  }

  void HandleStart(const HttpRequest& request, const Responder& respond) {
    const auto outcome =
        Capture([&] { return target::ParseStart(request.body); });
    const auto* start = std::get_if<target::StartRequest>(&outcome);
    if (start == nullptr) {
      respond(ErrorAnswerOf(400, "malformed"));
      return;
    }
    ++starts;
    HttpResponse response = AnswerTo(StartTask(state, *start, Now()));
    const std::int64_t every = state.faults.drop_answer_every;
    if (every > 0 && starts % every == 0) {
      response.status = 0;
    }
    respond(std::move(response));
  }

  void HandleStop(const HttpRequest& request, const Responder& respond) {
    const auto outcome =
        Capture([&] { return target::ParseStop(request.body); });
    const auto* stop = std::get_if<target::StopRequest>(&outcome);
    respond(stop == nullptr ? ErrorAnswerOf(400, "malformed")
                            : AnswerTo(StopTask(state, *stop, Now())));
  }

  void HandleRenew(const HttpRequest& request, const Responder& respond) {
    const auto outcome =
        Capture([&] { return target::ParseRenew(request.body); });
    const auto* renew = std::get_if<target::RenewRequest>(&outcome);
    if (renew == nullptr) {
      respond(ErrorAnswerOf(400, "malformed"));
      return;
    }
    const Moment now = Now();
    if (const auto refusal = RenewLeases(state, *renew, now)) {
      respond(AnswerTo(refusal));
      return;
    }
    waiting.push_back({*renew, now.steady + renew->wait, respond});
  }

  void AnswerRenewals(Time now) {
    std::erase_if(waiting, [&](const WaitingRenewal& renewal) {
      if (renewal.until > now && !HasChanges(state, renewal.request)) {
        return false;
      }
      HttpResponse response;
      response.body = FormatRenewAnswer(ChangesFor(state, renewal.request));
      renewal.respond(std::move(response));
      return true;
    });
  }

  void WriteLog() {
    for (const std::string& line : state.log) {
      log << line << '\n';
    }
    if (!state.log.empty()) {
      log.flush();
    }
    state.log.clear();
  }

  /// Ends what is due, tells it, and sets the timer for what comes next.
  void Settle() {
    const Moment now = Now();
    Advance(state, now);
    WriteLog();
    AnswerRenewals(now.steady);
    auto next = NextDue(state);
    for (const WaitingRenewal& renewal : waiting) {
      next = next ? std::min(*next, renewal.until) : renewal.until;
    }
    timer.cancel();
    if (!next) {
      return;
    }
    timer.expires_at(*next);
    timer.async_wait(
        [weak = weak_from_this()](boost::system::error_code error) {
          const auto self = weak.lock();
          if (!error && self) {
            self->Settle();
          }
        });
  }

  asio::steady_timer timer;
  TargetState state;
  std::uint64_t silent_before = 0;
  std::int64_t starts = 0;
  std::list<WaitingRenewal> waiting;
  std::ofstream log;
  std::unique_ptr<net::HttpServer> server;
};

TargetServer::TargetServer(asio::io_context& io, const TargetOptions& options)
    : m_impl(std::make_shared<Impl>(io, options)) {
  net::HttpServerOptions server_options;
  server_options.address = options.listen;
  server_options.max_body_bytes = kMaxBodyBytes;
  server_options.max_connections = options.connections;
  m_impl->server = std::make_unique<net::HttpServer>(
      io, server_options,
      [weak = std::weak_ptr(m_impl)](const HttpRequest& request,
                                     const Responder& respond) {
        if (const auto impl = weak.lock()) {
          impl->Handle(request, respond);
        } else {
          respond({.status = 0});
        }
      });
}

TargetServer::~TargetServer() = default;

std::string TargetServer::Address() const {
  return "127.0.0.1:" + std::to_string(m_impl->server->Port());
}

}  // namespace buckthornmux::standins
