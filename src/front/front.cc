#include "buckthornmux/detail/front/front.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <unordered_map>
#include <utility>

#include "buckthornmux/detail/config/keys.h"
#include "buckthornmux/detail/front/error_response.h"
#include "buckthornmux/detail/front/job_codec.h"
#include "buckthornmux/detail/net/url.h"
#include "fleet.h"

namespace buckthornmux::front {
namespace {

namespace asio = boost::asio;
using runtime::Counter;
using runtime::Timing;

/// Between two looks at open calls.
constexpr Millis kAdvanceEvery{20};

/// Longest wait of a call that has no deadline of its own.
constexpr Millis kCallTimeout{15'000};

/// The front's own limit lies behind the home's, so that the home's truthful
/// answer at the deadline comes first.
constexpr Millis kBehindDeadline{500};

constexpr std::string_view kJobsPath = "/v1/jobs";

/// How a caller's open call is answered over HTTP.
struct Caller {
  enum class Wants : std::uint8_t { kSubmit, kStatus, kCancel };
  net::Responder respond;
  Wants wants = Wants::kSubmit;
  WorkClass work_class = WorkClass::kUrgent;
  Time opened;
};

net::HttpResponse ToResponse(const Caller& caller, const home::Reply& reply) {
  const home::JobStatus& status = reply.status;
  if (reply.accepted && caller.wants == Caller::Wants::kSubmit) {
    return {.status = 202, .body = StatusJson(status)};
  }
  const bool ended_badly = status.phase == home::JobPhase::kFailed ||
                           status.phase == home::JobPhase::kCancelled;
  const bool about_the_call = status.error == ErrorKind::kNotFound;
  const bool is_error =
      ended_badly && (caller.wants == Caller::Wants::kSubmit || about_the_call);
  if (!is_error) {
    return {.status = 200, .body = StatusJson(status)};
  }
  std::string message(AnswerFor(status.error).advice);
  if (!status.results.empty() && !status.results.front().empty()) {
    message += ": " + status.results.front();
  }
  return ErrorResponse(status.error, message, status.ran, status.retry_after);
}

}  // namespace

struct Front::Impl : std::enable_shared_from_this<Front::Impl> {
  Impl(runtime::Wiring& process, asio::io_context& context,
       net::HttpClient& http_client, std::function<void()> on_drain)
      : wiring(process),
        io(context),
        client(http_client),
        drain(std::move(on_drain)),
        timer(context) {
    table.self = process.settings.host_id;
  }

  void Start() {
    net::HttpServerOptions options;
    const config::Settings& settings = wiring.settings;
    options.address = settings.http_address;
    options.max_body_bytes =
        static_cast<std::uint64_t>(settings.max_body_bytes);
    options.read_timeout = settings.read_timeout;
    options.idle_timeout = settings.idle_timeout;
    options.write_timeout = settings.write_timeout;
    options.max_connections =
        static_cast<std::size_t>(settings.max_connections);
    options.over_limit = [weak = weak_from_this()](std::string_view) {
      if (const auto self = weak.lock()) {
        self->wiring.metrics.Count(Counter::kRequestsOverLimit);
      }
    };
    server = std::make_unique<net::HttpServer>(
        io, options,
        [weak = weak_from_this()](net::HttpRequest request,
                                  net::Responder respond) {
          if (const auto self = weak.lock()) {
            self->Handle(std::move(request), std::move(respond));
          }
        });
    ScheduleAdvance();
  }

  void ScheduleAdvance() {
    timer.expires_after(kAdvanceEvery);
    timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (error || !self) {
            return;
          }
          self->AdvanceNow();
          self->ScheduleAdvance();
        });
  }

  // ---- Requests -------------------------------------------------------------

  void Handle(net::HttpRequest request, net::Responder respond) {
    wiring.metrics.Count(Counter::kRequests);
    auto parsed = Capture([&] { return net::ParseTarget(request.target); });
    if (const auto* error = std::get_if<Error>(&parsed)) {
      respond(ErrorResponse(*error));
      return;
    }
    const auto& target = std::get<net::RequestTarget>(parsed);
    if (target.path == "/healthz") {
      respond({.body = R"({"alive":true})"});
    } else if (target.path == "/readyz") {
      respond({.status = ready ? 200 : 503,
               .body = ready ? R"({"ready":true})" : R"({"ready":false})"});
    } else if (target.path == "/metrics") {
      respond({.body = wiring.metrics.Text(), .content_type = "text/plain"});
    } else if (target.path.starts_with(kJobsPath)) {
      HandleJobs(target, request, std::move(respond));
    } else {
      HandleOperator(target, std::move(request), std::move(respond));
    }
  }

  void HandleJobs(const net::RequestTarget& target,
                  const net::HttpRequest& request, net::Responder respond) {
    if (table.calls.size() >=
        static_cast<std::size_t>(wiring.settings.max_open_requests)) {
      respond(ErrorResponse(ErrorKind::kQueueFull));
      return;
    }
    const auto view = wiring.config_view.Load();
    const std::string_view presented = config::BearerKey(request.authorization);
    const bool trusted = wiring.Now() <= view->trusted_until;
    if (!presented.empty() && !trusted) {
      respond(ErrorResponse(ErrorKind::kConfigStale));
      return;
    }
    const config::TeamKey* key =
        presented.empty() ? nullptr
                          : config::MatchKey(*view->config, presented);
    if (!presented.empty() && key == nullptr) {
      wiring.metrics.Count(Counter::kKeysRefused);
      respond(ErrorResponse(ErrorKind::kKeyRefused));
      return;
    }
    if (target.path == kJobsPath && request.method == "POST") {
      Submit(*view->config, key, request, std::move(respond));
    } else {
      AboutJob(*view->config, key, target, request, std::move(respond));
    }
  }

  void Submit(const config::Config& config, const config::TeamKey* key,
              const net::HttpRequest& request, net::Responder respond) {
    const Time now = wiring.Now();
    auto parsed = Capture([&]() -> Result<home::JobRequest> {
      BOOST_LEAF_AUTO(
          job, ParseJob(request.body, config, wiring.anchor.ToWall(now)));
      BOOST_LEAF_ASSIGN(job.team, TeamFor(*FindKind(config, job.kind), key));
      return job;
    });
    if (const auto* error = std::get_if<Error>(&parsed)) {
      respond(ErrorResponse(*error));
      return;
    }
    wiring.metrics.Count(Counter::kJobsSubmitted);
    auto job = std::get<home::JobRequest>(std::move(parsed));
    const bool urgent = job.work_class == WorkClass::kUrgent;
    const Time deadline =
        urgent ? wiring.anchor.ToSteady(job.deadline) + kBehindDeadline
               : now + kCallTimeout;
    Caller caller{std::move(respond), Caller::Wants::kSubmit, job.work_class,
                  now};
    Open(std::move(job), std::move(caller), now, deadline);
  }

  void AboutJob(const config::Config& config, const config::TeamKey* key,
                const net::RequestTarget& target,
                const net::HttpRequest& request, net::Responder respond) {
    const bool named = target.path.size() > kJobsPath.size() + 1 &&
                       target.path[kJobsPath.size()] == '/';
    if (!named || (request.method != "GET" && request.method != "DELETE")) {
      respond(ErrorResponse(ErrorKind::kNotFound));
      return;
    }
    const std::string id = target.path.substr(kJobsPath.size() + 1);
    TeamName team;
    const config::WorkKind* kind = FindKind(config, target.Param("kind"));
    if (key != nullptr) {
      team = key->team;
    } else if (kind != nullptr && kind->open_to_all) {
      team = kind->teams.front();
    } else {
      wiring.metrics.Count(Counter::kKeysRefused);
      respond(ErrorResponse(ErrorKind::kKeyRefused));
      return;
    }
    const Time now = wiring.Now();
    const bool cancel = request.method == "DELETE";
    Caller caller{std::move(respond),
                  cancel ? Caller::Wants::kCancel : Caller::Wants::kStatus,
                  WorkClass::kPatient, now};
    if (cancel) {
      Open(home::CancelJob{0, team, id}, std::move(caller), now,
           now + kCallTimeout);
      return;
    }
    const Millis wait(std::min<std::uint64_t>(
        target.Number("wait_ms", 0),
        static_cast<std::uint64_t>(kCallTimeout.count())));
    if (wait == Millis(0)) {
      Open(home::QueryJob{0, team, id, false}, std::move(caller), now,
           now + kCallTimeout);
      return;
    }
    // The wait is over with the job's end; the status as it is by then is
    // asked for in a second call.
    const std::uint64_t call = Open(home::QueryJob{0, team, id, true},
                                    std::move(caller), now, now + wait);
    waits.emplace(call, home::QueryJob{0, team, id, false});
  }

  std::uint64_t Open(CallWork work, Caller caller, Time now, Time deadline) {
    const std::uint64_t call =
        OpenNewCall(table, std::move(work), now, deadline);
    callers.emplace(call, std::move(caller));
    AdvanceNow();
    return call;
  }

  // ---- Operators ------------------------------------------------------------

  void HandleOperator(const net::RequestTarget& target,
                      net::HttpRequest request, net::Responder respond) {
    if (!config::IsOperatorKey(wiring.settings.operator_key_sha256,
                               config::BearerKey(request.authorization))) {
      wiring.metrics.Count(Counter::kKeysRefused);
      respond(ErrorResponse(ErrorKind::kKeyRefused,
                            "send the operators' key: "
                            "Authorization: Bearer <key>",
                            Ran::kNo, Millis(0)));
      return;
    }
    if (target.path == "/v1/local") {
      Local(std::move(respond));
    } else if (target.path == "/v1/fleet") {
      AnswerFleet(wiring, client, request.authorization, std::move(respond));
    } else if (target.path == "/v1/drain" && request.method == "POST") {
      respond({.status = 202, .body = R"({"draining":true})"});
      drain();
    } else if (!wiring.operators.PostEdge(
                   runtime::OperatorCall{std::move(request), respond})) {
      respond(ErrorResponse(ErrorKind::kQueueFull));
    }
  }

  void Local(net::Responder respond) {
    const bool posted = wiring.owner.PostEdge(
        runtime::StatusWanted{[respond](std::string status) {
          respond({.body = std::move(status)});
        }});
    if (!posted) {
      respond(ErrorResponse(ErrorKind::kQueueFull));
    }
  }

  // ---- Calls ----------------------------------------------------------------

  void AdvanceNow() {
    const auto routes = wiring.routes.Load();
    const Time now = wiring.Now();
    for (CallAction& action : Advance(table, *routes, now)) {
      if (auto* send = std::get_if<SendCall>(&action)) {
        Send(std::move(*send), now);
      } else {
        Finish(std::get<GiveUp>(action), now);
      }
    }
  }

  void Send(SendCall send, Time now) {
    if (send.host == table.self) {
      SendHere(std::move(send));
      return;
    }
    peer::Message message;
    if (auto* submit = std::get_if<home::JobRequest>(&send.work)) {
      message = peer::CallSubmit{send.call, std::move(*submit)};
    } else if (auto* cancel = std::get_if<home::CancelJob>(&send.work)) {
      message = peer::CallCancel{send.call, cancel->team, cancel->job};
    } else {
      const auto& query = std::get<home::QueryJob>(send.work);
      message = peer::CallQuery{send.call, query.team, query.job, query.wait};
    }
    if (!wiring.peers->Send(send.host, message)) {
      NotSent(table, send.call, now);
    }
  }

  void SendHere(SendCall send) {
    runtime::HomeEvent event{home::Tick{}};
    if (auto* submit = std::get_if<home::JobRequest>(&send.work)) {
      event.event = home::Submit{send.call, std::move(*submit)};
    } else if (auto* cancel = std::get_if<home::CancelJob>(&send.work)) {
      cancel->token = send.call;
      event.event = std::move(*cancel);
    } else {
      auto& query = std::get<home::QueryJob>(send.work);
      query.token = send.call;
      event.event = std::move(query);
    }
    if (!wiring.owner.PostEdge(std::move(event))) {
      wiring.metrics.Count(Counter::kRingsFull);
      table.calls.erase(send.call);
      Respond(send.call, ErrorResponse(ErrorKind::kQueueFull));
    }
  }

  void Finish(const GiveUp& give_up, Time now) {
    const auto wait = waits.extract(give_up.call);
    if (!wait.empty()) {
      AskAgain(give_up.call, wait.mapped(), now);
      return;
    }
    wiring.metrics.Count(Counter::kJobsRefused);
    const ErrorAnswer& answer = AnswerFor(give_up.error);
    Respond(give_up.call, ErrorResponse(give_up.error, answer.advice,
                                        give_up.ran, answer.retry_after));
  }

  void AskAgain(std::uint64_t call, const home::QueryJob& query, Time now) {
    auto caller = callers.extract(call);
    if (!caller.empty()) {
      Open(query, std::move(caller.mapped()), now, now + kCallTimeout);
    }
  }

  void Answer(const home::Reply& reply) {
    const Time now = wiring.Now();
    const home::Reply answer = AnswerForCaller(table, reply);
    if (!TakeAnswer(table, reply, now)) {
      if (table.calls.contains(reply.token)) {
        wiring.metrics.Count(Counter::kCallsRerouted);
      }
      return;
    }
    waits.erase(reply.token);
    const auto caller = callers.find(reply.token);
    if (caller == callers.end()) {
      return;
    }
    net::HttpResponse response = ToResponse(caller->second, answer);
    const bool good = response.status < 400;
    wiring.metrics.Count(good ? Counter::kJobsAnswered : Counter::kJobsRefused);
    if (good && caller->second.wants == Caller::Wants::kSubmit) {
      const bool urgent = caller->second.work_class == WorkClass::kUrgent;
      wiring.metrics.Record(
          urgent ? Timing::kUrgentAnswer : Timing::kPatientAccept,
          now - caller->second.opened);
    }
    Respond(reply.token, std::move(response));
  }

  void Respond(std::uint64_t call, net::HttpResponse response) {
    auto caller = callers.extract(call);
    if (!caller.empty()) {
      caller.mapped().respond(std::move(response));
    }
  }

  runtime::Wiring& wiring;
  asio::io_context& io;
  net::HttpClient& client;
  std::function<void()> drain;
  asio::steady_timer timer;
  std::unique_ptr<net::HttpServer> server;
  std::atomic<bool> ready = false;
  CallTable table;
  std::unordered_map<std::uint64_t, Caller> callers;
  std::unordered_map<std::uint64_t, home::QueryJob> waits;
};

Front::Front(runtime::Wiring& wiring, asio::io_context& io,
             net::HttpClient& client, std::function<void()> drain)
    : m_impl(std::make_shared<Impl>(wiring, io, client, std::move(drain))) {
  wiring.answer_front = [weak = std::weak_ptr<Impl>(m_impl), &io](
                            std::uint64_t call, home::Reply reply) {
    reply.token = call;
    asio::post(io, [weak, reply = std::move(reply)] {
      if (const auto impl = weak.lock()) {
        impl->Answer(reply);
      }
    });
  };
  wiring.front_link = [weak = std::weak_ptr<Impl>(m_impl), &io](
                          const HostId& host, bool up) {
    if (up) {
      return;
    }
    asio::post(io, [weak, host] {
      if (const auto impl = weak.lock()) {
        LinkBroke(impl->table, host, impl->wiring.Now());
      }
    });
  };
  m_impl->Start();
}

Front::~Front() = default;

void Front::SetReady(bool ready) { m_impl->ready = ready; }

void Front::Retire() {
  m_impl->ready = false;
  m_impl->server->CloseAfterAnswers();
}

void Front::Drain() { m_impl->server->Drain(); }

std::size_t Front::OpenRequests() const {
  return m_impl->server->OpenRequests();
}

}  // namespace buckthornmux::front
