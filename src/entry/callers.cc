#include "buckthornmux/detail/entry/callers.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::Counter;
using runtime::LogLine;

/// Part of the bound on withdrawn keys within which a configuration that was
/// not confirmed again is trusted; the rest covers the request's own way.
constexpr int kTrustPercent = 70;
constexpr Millis kDefaultPatience{3000};  ///< Where a caller names none.
/// An owner that has not answered by then is about to be replaced.
constexpr Millis kLongestWait{2000};
constexpr Millis kAnswerMargin{150};  ///< For the answer's way back.
/// When to come back: a new owner serves within about this time.
constexpr Millis kOwnerReturn{1000};
constexpr Millis kStoreReturn{2000};
constexpr Millis kBusyReturn{1000};
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

Millis ReturnAfter(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kConfigStale:
      return kStoreReturn;
    case ErrorKind::kTeamLimit:
    case ErrorKind::kCellFull:
    case ErrorKind::kQueueFull:
      return kBusyReturn;
    default:
      return kOwnerReturn;
  }
}

std::string_view KindName(CallKind kind) {
  switch (kind) {
    case CallKind::kSubmit:
      return "submit";
    case CallKind::kCancel:
      return "cancel";
    case CallKind::kQuery:
      return "query";
    case CallKind::kPending:
      return "pending";
  }
  return "unknown";
}

Millis PatienceOf(std::string_view text) {
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  const Millis given = error == std::errc() && end != text.data()
                           ? Millis(millis)
                           : kDefaultPatience;
  return std::clamp(given - kAnswerMargin, Millis(1), kLongestWait);
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
                 runtime::Metrics& metrics, Forward forward)
    : m_codec(std::move(codec)),
      m_rules(rules),
      m_key_trust(key_trust * kTrustPercent / 100),
      m_metrics(metrics),
      m_forward(std::move(forward)) {
  net::HttpServerOptions options;
  options.address = address;
  options.kept_headers = {"Host", m_codec.key_header, m_codec.deadline_header};
  m_server = std::make_unique<net::HttpServer>(
      io, options, [this](const net::HttpRequest& request,
                          const net::Responder& respond) {
        Take(request, respond);
      });
}

bool Callers::RulesTrusted(Time now) const {
  return m_rules.Current() && now - m_rules.ConfirmedAt() <= m_key_trust;
}

net::HttpResponse Callers::Refusal(ErrorKind kind, int status) const {
  const ErrorAnswer& answer = AnswerFor(kind);
  net::HttpResponse response;
  response.status = status;
  response.body =
      R"({"error":")" + std::string(answer.name) + R"(","ran":")" +
      std::string(status == kGatewayTimeout ? "unknown" : "no") + R"("})";
  if (status == kUnavailable || status == 429) {
    response.retry_after = ReturnAfter(kind);
    // This host can't help: let the caller's next try reach another one.
    response.close = true;
  }
  return response;
}

void Callers::Take(const net::HttpRequest& request,
                   const net::Responder& respond) {
  m_metrics.Count(Counter::kRequests);
  const Time now = Now();
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  const auto refuse = [&](ErrorKind kind, int status) {
    LogLine("call_refused")
        .With("method", request.method)
        .With("path", path)
        .With("error", AnswerFor(kind).name)
        .With("rules", m_rules.Current() ? m_rules.Current()->version : 0)
        .With("rules_age_ms", (now - m_rules.ConfirmedAt()).count());
    m_metrics.Count(kind == ErrorKind::kKeyRefused ? Counter::kKeysRefused
                                                   : Counter::kJobsRefused);
    respond(Refusal(kind, status));
  };
  if (!m_rules.Current()) {
    return refuse(ErrorKind::kNotReady, kUnavailable);
  }
  if (!RulesTrusted(now)) {
    return refuse(ErrorKind::kConfigStale, kUnavailable);
  }
  const cell::Rules& rules = *m_rules.Current();
  const auto route =
      FindRoute(rules, WithoutPort(request.HeaderValue("Host")), path);
  if (!route) {
    return refuse(ErrorKind::kNotFound, 404);
  }
  const cell::Team* team =
      FindTeam(rules, request.HeaderValue(m_codec.key_header));
  if (team == nullptr && !route->queue->open_to_all) {
    return refuse(ErrorKind::kKeyRefused, 401);
  }
  CellCall call;
  call.queue = route->queue->name;
  call.team = team == nullptr ? TeamName() : team->name;
  call.job = std::string(route->rest);
  const Millis patience =
      PatienceOf(request.HeaderValue(m_codec.deadline_header));
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
      LogLine("job_unreadable").With("job", call.job).With("reason",
                                                           error->message);
      return refuse(ErrorKind::kMalformed, 400);
    }
    call.spec = std::move(std::get<cell::JobSpec>(spec));
    call.spec.id = call.job;
    call.spec.queue = call.queue;
    call.spec.team = call.team;
  } else {
    return refuse(ErrorKind::kNotFound, 405);
  }
  Hand(std::move(call), patience, respond);
}

void Callers::Hand(CellCall call, Millis patience,
                   const net::Responder& respond) {
  const Time now = Now();
  call.call = m_next++;
  OpenCall open{call.kind, call.job, {}, now, now + patience, respond};
  // The answer may come before the hand-over returns.
  OpenCall& kept = m_open.emplace(call.call, std::move(open)).first->second;
  HostId to;
  const Handed handed = m_forward(call, to);
  const auto found = m_open.find(call.call);
  if (handed == Handed::kSent) {
    if (found != m_open.end()) {
      kept.sent_to = to;
    }
    return;
  }
  const OpenCall ended = std::move(found->second);
  m_open.erase(found);
  const ErrorKind kind = handed == Handed::kNoOwner
                             ? ErrorKind::kOwnerUnknown
                             : ErrorKind::kPeerUnreachable;
  Answer(ended, Refusal(kind, kUnavailable), AnswerFor(kind).name);
}

int Callers::LostStatus(CallKind kind) {
  // A submit or cancel may have been taken: only that makes "not run" untrue.
  return kind == CallKind::kSubmit || kind == CallKind::kCancel
             ? kGatewayTimeout
             : kUnavailable;
}

void Callers::Answer(const OpenCall& open, net::HttpResponse response,
                     std::string_view why) {
  const Time now = Now();
  const bool good = response.status / 100 == 2;
  if (open.kind == CallKind::kSubmit) {
    m_metrics.Count(good ? Counter::kJobsAnswered : Counter::kJobsRefused);
    m_metrics.Record(runtime::Timing::kPatientAccept, now - open.began);
  }
  if (!good || open.kind == CallKind::kSubmit ||
      open.kind == CallKind::kCancel) {
    LogLine("call_answered")
        .With("job", open.job)
        .With("call", KindName(open.kind))
        .With("owner", open.sent_to)
        .With("status", static_cast<std::int64_t>(response.status))
        .With("reason", why)
        .With("took_ms", (now - open.began).count());
  }
  open.respond(std::move(response));
}

void Callers::Reply(const CellReply& reply) {
  const auto found = m_open.find(reply.call);
  if (found == m_open.end()) {
    return;  // Its deadline has passed, and its caller has an answer.
  }
  const OpenCall open = std::move(found->second);
  m_open.erase(found);
  net::HttpResponse response;
  std::string_view why = "done";
  constexpr int kGone = 410;
  switch (reply.end) {
    case CallEnd::kAccepted:
    case CallEnd::kCancelled:
      response.body = "{}";
      break;
    case CallEnd::kPhase:
      response.body = m_codec.format_phase(reply.phase);
      break;
    case CallEnd::kPending:
      response.body = m_codec.format_pending(reply.pending);
      break;
    case CallEnd::kNoSuchJob:
      response = Refusal(ErrorKind::kNotFound, kGone);
      why = "no such job";
      break;
    case CallEnd::kRefused: {
      const int status = AnswerFor(reply.error).http_status;
      response = Refusal(reply.error, status);
      why = reply.message;
      break;
    }
    case CallEnd::kUnknown:
      response = Refusal(reply.error, LostStatus(open.kind));
      why = reply.message;
      break;
  }
  Answer(open, std::move(response), why);
}

void Callers::HostLost(const HostId& host) {
  std::vector<OpenCall> lost;
  std::erase_if(m_open, [&](auto& entry) {
    if (entry.second.sent_to != host) {
      return false;
    }
    lost.push_back(std::move(entry.second));
    return true;
  });
  for (const OpenCall& open : lost) {
    Answer(open, Refusal(ErrorKind::kPeerUnreachable, LostStatus(open.kind)),
           "owner unreachable");
  }
}

void Callers::Tick(Time now) {
  std::vector<OpenCall> overdue;
  std::erase_if(m_open, [&](auto& entry) {
    if (now < entry.second.deadline) {
      return false;
    }
    overdue.push_back(std::move(entry.second));
    return true;
  });
  for (const OpenCall& open : overdue) {
    Answer(open, Refusal(ErrorKind::kOutcomeUnknown, LostStatus(open.kind)),
           "owner silent");
  }
}

void Callers::Leave() { m_server->CloseAfterAnswers(); }

void Callers::Stop() { m_server->Drain(); }

}  // namespace buckthornmux::entry
