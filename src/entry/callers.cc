#include "buckthornmux/detail/entry/callers.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <random>
#include <utility>

#include "buckthornmux/detail/entry/call_guard.h"
#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::Counter;
using runtime::LogLine;

/// Share of Bounds::key_trust during which a configuration counts as current
/// after it was last confirmed. The rest covers the time of the request itself.
constexpr int kKeyTrustPercent = 70;
/// Used if the request has no deadline.
constexpr Millis kDefaultCallTimeout{3000};
/// Time reserved for returning the response, at most a fourth of the time left.
constexpr Millis kMaxResponseMargin{150};
constexpr int kResponseMarginDivisor = 4;
/// Calls with less time left are refused. Covers the round trip to the owner, a
/// store write, and the time that both wait for their next batch.
constexpr Millis kMinCallTime{20};
/// Values of the Retry-After header. A new owner serves within about
/// kOwnerRetryAfter.
constexpr Millis kOwnerRetryAfter{1000};
constexpr Millis kStoreRetryAfter{2000};
constexpr Millis kBusyRetryAfter{1000};
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kConflict = 409;
constexpr int kGone = 410;

/// Returns a number from which a process can count its calls without wrapping.
std::uint64_t RandomCallNumber() {
  std::random_device random;
  return std::uniform_int_distribution<std::uint64_t>(
      1, std::numeric_limits<std::uint64_t>::max() / 2)(random);
}

Millis RetryAfterFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kConfigStale:
      return kStoreRetryAfter;
    case ErrorKind::kTeamLimit:
    case ErrorKind::kCellFull:
    case ErrorKind::kQueueFull:
      return kBusyRetryAfter;
    default:
      return kOwnerRetryAfter;
  }
}

/// Parses the caller's remaining time from the deadline header.
Millis ParseTimeLeft(std::string_view text) {
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  return error == std::errc() && end != text.data() ? Millis(millis)
                                                    : kDefaultCallTimeout;
}

/// Returns how long a call may wait on this host. For short deadlines the
/// margin is a share of the time left: a caller's last try has little time, and
/// its response needs only some milliseconds.
Millis CallTimeout(Millis left) {
  const Millis margin =
      std::min(kMaxResponseMargin, left / kResponseMarginDivisor);
  return std::clamp(left - margin, Millis(1), kMaxCallTimeout);
}

/// Path of a request without its query.
std::string_view PathOf(const net::HttpRequest& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

/// Id of the job that a path names; meaningless if it names none.
std::string_view JobOf(const net::HttpRequest& request) {
  const std::string_view path = PathOf(request);
  return path.substr(path.rfind('/') + 1);
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

std::optional<RouteMatch> FindRoute(const cell::Rules& rules,
                                    std::string_view host,
                                    std::string_view path) {
  std::optional<RouteMatch> best;
  for (const cell::Queue& queue : rules.queues) {
    if (queue.host_name == host && path.starts_with(queue.prefix) &&
        (!best || queue.prefix.size() > best->queue->prefix.size())) {
      best = RouteMatch{&queue, path.substr(queue.prefix.size())};
    }
  }
  return best;
}

const cell::Team* FindTeam(const cell::Rules& rules, std::string_view key) {
  if (key.empty()) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(rules.teams, [&](const auto& team) {
    return std::ranges::count(team.keys, key) > 0;
  });
  return found == rules.teams.end() ? nullptr : &*found;
}

Callers::Callers(boost::asio::io_context& io, const std::string& address,
                 CallerCodec codec, const RulesReader& rules, Millis key_trust,
                 runtime::Metrics& metrics, CallerLinks links,
                 ClientLimits* limits)
    : m_codec(std::move(codec)),
      m_rules(rules),
      m_key_trust(key_trust * kKeyTrustPercent / 100),
      m_metrics(metrics),
      m_links(std::move(links)),
      m_next(RandomCallNumber()) {
  net::HttpServerOptions options;
  options.address = address;
  options.kept_headers = {"Host", m_codec.key_header, m_codec.deadline_header};
  options.decide_head = [this](const net::HttpRequest& head) {
    return DecideHead(head);
  };
  if (limits != nullptr) {
    limits->Apply("callers", options);
  }
  m_server = std::make_unique<net::HttpServer>(
      io, options,
      [this](const net::HttpRequest& request, const net::Responder& respond) {
        HandleRequest(request, respond);
      });
}

bool Callers::RulesTrusted(Time now) const {
  return m_rules.Current() && now - m_rules.ConfirmedAt() <= m_key_trust;
}

net::HttpResponse Callers::Refusal(ErrorKind kind, int status) const {
  const ErrorAnswer& answer = AnswerFor(kind);
  net::HttpResponse response;
  response.status = status;
  // A call about a job of which nothing is known, or not to this caller,
  // doesn't tell that the job has not run.
  const bool unknown = status == kGatewayTimeout || status == kGone ||
                       status == kForbidden || status == kConflict;
  response.body = R"({"error":")" + std::string(answer.name) + R"(","ran":")" +
                  std::string(unknown ? "unknown" : "no") + R"("})";
  if (status == kUnavailable || status == kTooManyRequests) {
    response.retry_after = RetryAfterFor(kind);
    // Closes the connection, so that the caller's next try reaches another
    // host.
    response.close = true;
  }
  return response;
}

std::variant<Callers::Denial, Callers::HeadMatch> Callers::CheckHead(
    const net::HttpRequest& request, Time now) const {
  if (m_stopped || !m_rules.Current()) {
    return Denial{ErrorKind::kNotReady, kUnavailable};
  }
  if (!RulesTrusted(now)) {
    return Denial{ErrorKind::kConfigStale, kUnavailable};
  }
  const cell::Rules& rules = *m_rules.Current();
  const auto route = FindRoute(rules, WithoutPort(request.HeaderValue("Host")),
                               PathOf(request));
  if (!route) {
    return Denial{ErrorKind::kNotFound, kNotFound};
  }
  const cell::Team* team =
      FindTeam(rules, request.HeaderValue(m_codec.key_header));
  if (team == nullptr && !route->queue->open_to_all) {
    return Denial{ErrorKind::kKeyRefused, kUnauthorized};
  }
  return HeadMatch{&rules, *route, team};
}

Callers::Denial Callers::TruthfulDenial(const net::HttpRequest& request,
                                        const Denial& denial, Time now) const {
  const std::string_view job = JobOf(request);
  const bool claims =
      request.method == "POST" &&
      (denial.status == kUnavailable || denial.status == kTooManyRequests);
  return claims && DoubtOf(m_doubts, job, now)
             ? Denial{ErrorKind::kOutcomeUnknown, kGatewayTimeout}
             : denial;
}

net::HttpResponse Callers::Deny(const net::HttpRequest& request,
                                const Denial& refused, Time now) const {
  const Denial denial = TruthfulDenial(request, refused, now);
  LogLine("call_refused")
      .With("method", request.method)
      .With("path", PathOf(request))
      .With("job", JobOf(request))
      .With("status", static_cast<std::int64_t>(denial.status))
      .With("reason", AnswerFor(refused.kind).name)
      .With("error", AnswerFor(denial.kind).name)
      .With("rules", m_rules.Current() ? m_rules.Current()->version : 0)
      .With("rules_age_ms", (now - m_rules.ConfirmedAt()).count());
  m_metrics.Count(denial.kind == ErrorKind::kKeyRefused
                      ? Counter::kKeysRefused
                      : Counter::kJobsRefused);
  return Refusal(denial.kind, denial.status);
}

net::HeadDecision Callers::DecideHead(const net::HttpRequest& head) {
  const Time now = Now();
  const auto checked = CheckHead(head, now);
  net::HeadDecision decision;
  if (const auto* denial = std::get_if<Denial>(&checked)) {
    m_metrics.Count(Counter::kRequests);
    decision.refusal = Deny(head, *denial, now);
    return decision;
  }
  const auto& match = std::get<HeadMatch>(checked);
  decision.max_body_bytes = match.rules->max_body_bytes;
  decision.known_caller = match.team != nullptr;
  return decision;
}

void Callers::HandleRequest(const net::HttpRequest& request,
                            const net::Responder& respond) {
  m_metrics.Count(Counter::kRequests);
  const Time now = Now();
  const auto refuse = [&](ErrorKind kind, int status) {
    respond(Deny(request, {kind, status}, now));
  };
  // The configuration may have changed since the head was decided on.
  const auto checked = CheckHead(request, now);
  if (const auto* denial = std::get_if<Denial>(&checked)) {
    return refuse(denial->kind, denial->status);
  }
  const auto& [rules, route, team] = std::get<HeadMatch>(checked);
  if (request.body.size() > rules->max_body_bytes) {
    return refuse(ErrorKind::kTooLarge, kTooLarge);
  }
  CellCall call;
  call.queue = route.queue->name;
  call.team = team == nullptr ? TeamName() : team->name;
  call.job = std::string(route.rest);
  const Millis left =
      ParseTimeLeft(request.HeaderValue(m_codec.deadline_header));
  if (call.job.empty() && request.method == "GET") {
    call.kind = CallKind::kPending;
  } else if (!m_codec.is_job_id(call.job)) {
    return refuse(ErrorKind::kNotFound, 404);
  } else if (request.method == "GET") {
    call.kind = CallKind::kQuery;
  } else if (request.method == "DELETE") {
    call.kind = CallKind::kCancel;
  } else if (request.method == "POST") {
    call.kind = CallKind::kSubmit;
    m_metrics.Count(Counter::kJobsSubmitted);
    auto spec = Capture([&] { return m_codec.parse_job(request.body); });
    if (const auto* error = std::get_if<Error>(&spec)) {
      LogLine("job_unreadable")
          .With("job", call.job)
          .With("reason", error->message);
      return refuse(ErrorKind::kMalformed, 400);
    }
    call.spec = std::move(std::get<cell::JobSpec>(spec));
    call.spec.id = call.job;
    call.spec.queue = call.queue;
    call.spec.team = call.team;
  } else {
    return refuse(ErrorKind::kNotFound, 405);
  }
  if (left < kMinCallTime) {
    return refuse(ErrorKind::kDeadlineUnmeetable, kUnavailable);
  }
  Forward(std::move(call), CallTimeout(left), respond);
}

void Callers::Forward(CellCall call, Millis patience,
                      const net::Responder& respond) {
  const Time now = Now();
  const std::uint64_t number = m_next++;
  call.call = number;
  m_open.emplace(number, Request{BeginCall(std::move(call), patience,
                                           m_links.owner_expected(), now),
                                 respond});
  TryForward(number, now);
}

/// Forwards a call. If that fails, the call waits until `owner_deadline`.
void Callers::TryForward(std::uint64_t number, Time now) {
  OpenCall& open = m_open.at(number).open;
  BeginAttempt(open, now);
  HostId to;
  const ForwardResult result = m_links.forward(open.call, to);
  // The reply may arrive, and end the call, before `forward` returns.
  const auto found = m_open.find(number);
  if (found == m_open.end()) {
    return;
  }
  EndAttempt(found->second.open, result, to, now);
  if (result != ForwardResult::kSent &&
      NextStep(found->second.open, now) == CallStep::kEnd) {
    EndOverdue(number);
  }
}

/// Ends a call that got no owner or no reply in time.
void Callers::EndOverdue(std::uint64_t number) {
  const auto found = m_open.find(number);
  const Request request = std::move(found->second);
  m_open.erase(found);
  Fail(request, OverdueFailure(request.open), kUnavailable);
}

/// Responds to a call that failed.
/// @param status if it had no effect
void Callers::Fail(const Request& request, CallFailure failure, int status) {
  const Time now = Now();
  if (failure.unknown) {
    if (const auto doubt = NewDoubt(m_doubts, request.open, now)) {
      TellDoubts({{*doubt}});
    }
  }
  failure = TruthfulFailure(m_doubts, request.open, std::move(failure), now);
  net::HttpResponse response =
      Refusal(failure.error, failure.unknown ? kGatewayTimeout : status);
  if (response.retry_after > Millis(0) && failure.retry_after > Millis(0)) {
    response.retry_after = failure.retry_after;
  }
  Respond(request, std::move(response), failure.reason);
}

void Callers::Respond(const Request& request, net::HttpResponse response,
                      std::string_view why) {
  const Time now = Now();
  const OpenCall& open = request.open;
  response.close = response.close || m_links.store_serves_others();
  const bool good = response.status / 100 == 2;
  const CallKind kind = open.call.kind;
  if (kind == CallKind::kSubmit) {
    m_metrics.Count(good ? Counter::kJobsAnswered : Counter::kJobsRefused);
    m_metrics.Record(runtime::Timing::kPatientAccept, now - open.began);
  }
  if (!good || kind == CallKind::kSubmit || kind == CallKind::kCancel) {
    LogLine("call_answered")
        .With("job", open.call.job)
        .With("call", NameOf(kind))
        .With("owner", open.sent_to)
        .With("status", static_cast<std::int64_t>(response.status))
        .With("reason", why)
        .With("attempts", std::uint64_t{open.call.attempt})
        .With("epoch", open.call.epoch)
        .With("epoch_in_doubt", open.in_doubt.value_or(0))
        .With("took_ms", (now - open.began).count());
  }
  request.respond(std::move(response));
}

void Callers::HandleReply(const CellReply& reply) {
  const auto found = m_open.find(reply.call);
  if (found == m_open.end()) {
    return;  // The deadline has passed, and the caller has a response.
  }
  const Time now = Now();
  OpenCall& open = found->second.open;
  const ReplyUse use = ApplyReply(open, reply, m_links.owner_expected(), now);
  if (use != ReplyUse::kIgnored) {
    ApplyToDoubt(m_doubts, open, reply, now);
  }
  if (use != ReplyUse::kEnds) {
    return;
  }
  const Request request = std::move(found->second);
  m_open.erase(found);
  net::HttpResponse response;
  switch (reply.end) {
    case CallResult::kAccepted:
    case CallResult::kCancelled:
      response.body = "{}";
      break;
    case CallResult::kPhase:
      response.body = m_codec.format_phase(reply.phase);
      break;
    case CallResult::kPending:
      response.body = m_codec.format_pending(reply.pending);
      break;
    case CallResult::kNoSuchJob:
      Respond(request, Refusal(ErrorKind::kNotFound, kGone), "no such job");
      return;
    case CallResult::kRefused:
    case CallResult::kUnknown:
      if (reply.error == ErrorKind::kCellFull) {
        m_metrics.Count(Counter::kJobsRefusedLate);
      }
      Fail(request, FailureOf(request.open, reply),
           AnswerFor(reply.error).http_status);
      return;
  }
  Respond(request, std::move(response), "done");
}

void Callers::HostLost(const HostId& host) {
  const Time now = Now();
  JobsInDoubt lost;
  for (auto& [number, request] : m_open) {
    OpenCall& open = request.open;
    if (open.sent_to != host) {
      continue;
    }
    NoteHostLost(open, host, now);
    if (auto doubt = NewDoubt(m_doubts, open, now)) {
      lost.jobs.push_back(std::move(*doubt));
    }
  }
  TellDoubts(lost);
}

void Callers::TellDoubts(const JobsInDoubt& jobs) const {
  if (!jobs.jobs.empty() && m_links.tell_doubts) {
    m_links.tell_doubts(jobs);
  }
}

void Callers::HandleDoubts(const JobsInDoubt& jobs) {
  const Time now = Now();
  for (const JobInDoubt& each : jobs.jobs) {
    NoteDoubt(m_doubts, each.job, each.epoch, now);
  }
}

void Callers::Tick(Time now) {
  std::vector<std::uint64_t> overdue;
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, request] : m_open) {
    const CallStep step = NextStep(request.open, now);
    if (step == CallStep::kEnd) {
      overdue.push_back(number);
    } else if (step == CallStep::kForward) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : overdue) {
    EndOverdue(number);
  }
  for (const std::uint64_t number : waiting) {
    TryForward(number, now);
  }
}

std::optional<Time> Callers::WaitingSince(const HostId& host) const {
  std::optional<Time> since;
  for (const auto& [number, request] : m_open) {
    const OpenCall& open = request.open;
    if (open.sent_to == host && !host.empty()) {
      since = std::min(since.value_or(open.sent_at), open.sent_at);
    }
  }
  return since;
}

void Callers::Leave() { m_server->CloseAfterAnswers(); }

void Callers::Stop() {
  m_stopped = true;
  m_server->Drain();
  while (!m_open.empty()) {
    EndOverdue(m_open.begin()->first);
  }
}

}  // namespace buckthornmux::entry
