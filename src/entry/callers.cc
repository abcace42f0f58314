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
constexpr Millis kLongestWait{2500};
/// A call waits so long for an owner: a lost one is replaced within its lease.
constexpr Millis kOwnerWait{1500};
/// A call that an owner has not taken is handed on again after this.
constexpr Millis kHandAgain{100};
constexpr Millis kAnswerMargin{150};  ///< For the answer's way back...
constexpr int kMostMarginPart = 4;    ///< ...and no more than a fourth.
/// The way to the owner and back, a write, and the rounds that both wait for.
constexpr Millis kLeastTime{20};
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

/// How long a caller still waits, as its header says.
Millis TimeLeft(std::string_view text) {
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  return error == std::errc() && end != text.data() ? Millis(millis)
                                                    : kDefaultPatience;
}

/// How long a call may wait here: a caller's last try has little time, and its
/// answer is there within some milliseconds.
Millis PatienceOf(Millis left) {
  const Millis margin = std::min(kAnswerMargin, left / kMostMarginPart);
  return std::clamp(left - margin, Millis(1), kLongestWait);
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
                 runtime::Metrics& metrics, CallerLinks links)
    : m_codec(std::move(codec)),
      m_rules(rules),
      m_key_trust(key_trust * kTrustPercent / 100),
      m_metrics(metrics),
      m_links(std::move(links)) {
  net::HttpServerOptions options;
  options.address = address;
  options.kept_headers = {"Host", m_codec.key_header, m_codec.deadline_header};
  m_server = std::make_unique<net::HttpServer>(
      io, options,
      [this](const net::HttpRequest& request, const net::Responder& respond) {
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
  response.body = R"({"error":")" + std::string(answer.name) + R"(","ran":")" +
                  std::string(status == kGatewayTimeout ? "unknown" : "no") +
                  R"("})";
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
  if (request.body.size() > rules.max_body_bytes) {
    return refuse(ErrorKind::kTooLarge, 413);
  }
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
  const Millis left = TimeLeft(request.HeaderValue(m_codec.deadline_header));
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
  if (left < kLeastTime) {
    return refuse(ErrorKind::kDeadlineUnmeetable, kUnavailable);
  }
  Hand(std::move(call), PatienceOf(left), respond);
}

void Callers::Hand(CellCall call, Millis patience,
                   const net::Responder& respond) {
  const Time now = Now();
  const std::uint64_t number = m_next++;
  call.call = number;
  const Millis wait = m_links.owner_expected() ? kOwnerWait : Millis(0);
  OpenCall open;
  open.call = std::move(call);
  open.began = now;
  open.deadline = now + patience;
  open.owner_by = now + std::min(wait, patience);
  open.respond = respond;
  m_open.emplace(number, std::move(open));
  TryHand(number, now);
}

/// Hands a call on; where nobody takes it, it waits until `owner_by`.
void Callers::TryHand(std::uint64_t number, Time now) {
  OpenCall& open = m_open.at(number);
  ++open.call.attempt;
  open.call.patience = open.deadline - now;
  HostId to;
  const Handed handed = m_links.forward(open.call, to);
  // The answer may come, and end the call, before the hand-over returns.
  const auto found = m_open.find(number);
  if (found == m_open.end()) {
    return;
  }
  if (handed != Handed::kSent) {
    found->second.waits_for = handed == Handed::kNoOwner
                                  ? ErrorKind::kOwnerUnknown
                                  : ErrorKind::kPeerUnreachable;
    if (now >= found->second.owner_by) {
      GiveUp(number);
    }
  } else if (found->second.hand_at <= now) {  // Else refused meanwhile.
    found->second.sent_to = to;
    found->second.sent_at = now;
  }
}

/// Ends a call that nobody has taken by its time.
void Callers::GiveUp(std::uint64_t number) {
  const auto found = m_open.find(number);
  const OpenCall open = std::move(found->second);
  m_open.erase(found);
  const bool unanswered = !open.sent_to.empty();
  // A submit or cancel that was handed on may have been taken: "not run" would
  // be untrue.
  const bool changes = open.call.kind == CallKind::kSubmit ||
                       open.call.kind == CallKind::kCancel;
  const bool unknown = changes && (open.doubtful || unanswered);
  const ErrorKind kind =
      unanswered ? ErrorKind::kOutcomeUnknown : open.waits_for;
  Answer(open, Refusal(kind, unknown ? kGatewayTimeout : kUnavailable),
         unanswered ? "owner silent" : AnswerFor(kind).name);
}

void Callers::Answer(const OpenCall& open, net::HttpResponse response,
                     std::string_view why) {
  const Time now = Now();
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
        .With("call", KindName(kind))
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
  const bool not_owner = reply.error == ErrorKind::kOwnerStale ||
                         reply.error == ErrorKind::kOwnerUnknown ||
                         reply.error == ErrorKind::kNotReady;
  const bool unanswered =
      reply.end == CallEnd::kRefused || reply.end == CallEnd::kUnknown;
  // A former owner's no says nothing about what the next one has taken.
  const bool negative = unanswered || reply.end == CallEnd::kNoSuchJob;
  if (negative && reply.attempt != found->second.call.attempt) {
    return;
  }
  // An owner that can't store is about to be replaced, if anybody can.
  const bool to_be_replaced =
      reply.error == ErrorKind::kStoreUnavailable && m_links.owner_expected();
  if (unanswered && (not_owner || to_be_replaced)) {
    WaitForOwner(found->second, reply);
    return;
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
      response = Refusal(reply.error, kGatewayTimeout);
      why = reply.message;
      break;
  }
  Answer(open, std::move(response), why);
}

/// The next owner is to take the call.
void Callers::WaitForOwner(OpenCall& open, const CellReply& reply) {
  const Time now = Now();
  open.sent_to.clear();
  open.hand_at = now + kHandAgain;
  open.waits_for = reply.error;
  if (reply.end == CallEnd::kUnknown) {  // Its owner let go of it.
    open.doubtful = true;
    open.owner_by = std::min(open.deadline, now + kOwnerWait);
  }
}

void Callers::HostLost(const HostId& host) {
  const Time now = Now();
  for (auto& [number, open] : m_open) {
    if (open.sent_to == host) {
      open.sent_to.clear();
      open.doubtful = true;
      open.owner_by = std::min(open.deadline, now + kOwnerWait);
    }
  }
}

void Callers::Tick(Time now) {
  std::vector<std::uint64_t> overdue;
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, open] : m_open) {
    const bool waits = open.sent_to.empty();
    if (now >= open.deadline || (waits && now >= open.owner_by)) {
      overdue.push_back(number);
    } else if (waits && now >= open.hand_at) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : overdue) {
    GiveUp(number);
  }
  for (const std::uint64_t number : waiting) {
    TryHand(number, now);
  }
}

std::optional<Time> Callers::WaitingSince(const HostId& host) const {
  std::optional<Time> since;
  for (const auto& [number, open] : m_open) {
    if (open.sent_to == host && !host.empty()) {
      since = std::min(since.value_or(open.sent_at), open.sent_at);
    }
  }
  return since;
}

void Callers::Leave() { m_server->CloseAfterAnswers(); }

void Callers::Stop() { m_server->Drain(); }

}  // namespace buckthornmux::entry
