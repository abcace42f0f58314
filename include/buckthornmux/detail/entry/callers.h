/// HTTP front end for callers: routing, API keys and responses.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "buckthornmux/detail/entry/client_limits.h"
#include "buckthornmux/detail/entry/job_doubts.h"
#include "buckthornmux/detail/entry/open_call.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/runtime/metrics.h"

namespace buckthornmux::entry {

/// Parses request bodies and formats response bodies. Supplied by the
/// platform's adapter.
struct CallerCodec {
  std::string key_header;
  std::string deadline_header;
  std::function<Result<cell::JobSpec>(std::string_view body)> parse_job;
  std::function<bool(std::string_view text)> is_job_id;
  std::function<std::string(cell::JobPhase phase)> format_phase;
  std::function<std::string(std::uint32_t pending)> format_pending;
};

/// Queue that a request addresses, and the rest of the request's path.
struct RouteMatch {
  const cell::Queue* queue = nullptr;
  std::string_view rest;  ///< Path after the queue's prefix.
};

/// @brief Finds the queue with the request's host name and the longest
///   matching path prefix.
/// @return nothing if no queue matches
[[nodiscard]] std::optional<RouteMatch> FindRoute(const cell::Rules& rules,
                                                  std::string_view host,
                                                  std::string_view path);

/// @brief Finds the team that an API key belongs to; null if there is none.
[[nodiscard]] const cell::Team* FindTeam(const cell::Rules& rules,
                                         std::string_view key);

/// Functions of the surrounding process that Callers uses.
struct CallerLinks {
  /// Forwards a call to the owner of the cell; sets `to` to that host, and the
  /// call's epoch and time of sending.
  std::function<ForwardResult(CellCall& call, HostId& to)> forward;
  /// Whether a new owner is expected to replace a lost one soon.
  std::function<bool()> owner_expected;
  /// Whether the store rejects this host and serves others. Responses then
  /// close their connections, so that callers reconnect to another host.
  std::function<bool()> store_serves_others;
  /// Tells all hosts of jobs that may have been accepted; may be left out.
  std::function<void(const JobsInDoubt& jobs)> tell_doubts;
};

/// @brief Serves callers. Each request gets exactly one response, no later than
///   its deadline. A request that certainly was not accepted is refused
///   immediately.
class Callers {
 public:
  /// @param limits shared by the servers of the process; null: the server's own
  Callers(boost::asio::io_context& io, const std::string& address,
          CallerCodec codec, const RulesReader& rules, Millis key_trust,
          runtime::Metrics& metrics, CallerLinks links,
          ClientLimits* limits = nullptr);

  /// @brief Handles a reply of the owner.
  void HandleReply(const CellReply& reply);

  /// @brief Handles the loss of a host: calls sent to it wait for the next
  ///   owner. Job ids make a submit idempotent, so one that did arrive may be
  ///   sent again.
  void HostLost(const HostId& host);

  /// @brief Handles another host's notice of jobs that may have been accepted:
  ///   their next tries are not refused without a look at the cell.
  void HandleDoubts(const JobsInDoubt& jobs);

  /// @brief Forwards calls that wait for an owner and ends overdue calls.
  void Tick(Time now);

  /// @brief When the oldest call that a host has not answered was sent to it;
  ///   nothing if it has answered all.
  [[nodiscard]] std::optional<Time> WaitingSince(const HostId& host) const;

  /// @brief Whether the configuration is recent enough to check API keys with.
  [[nodiscard]] bool RulesTrusted(Time now) const;

  /// @brief Makes each response from now on close its connection.
  void Leave();
  /// @brief Ends all open calls; further requests are refused immediately.
  void Stop();
  /// @brief Number of calls without a response.
  [[nodiscard]] std::size_t Open() const { return m_open.size(); }
  /// @brief Number of requests whose response isn't completely written.
  [[nodiscard]] std::size_t OpenResponses() const {
    return m_server->OpenRequests();
  }
  [[nodiscard]] std::uint16_t Port() const { return m_server->Port(); }

 private:
  struct Request {
    OpenCall open;
    net::Responder respond;
  };

  /// Why a request is refused.
  struct Denial {
    ErrorKind kind;
    int status;
  };
  /// What the head of a request is for.
  struct HeadMatch {
    const cell::Rules* rules;
    RouteMatch route;
    const cell::Team* team;  ///< Null: no key, and the queue is open to all.
  };

  /// Checks what doesn't depend on the body.
  [[nodiscard]] std::variant<Denial, HeadMatch> CheckHead(
      const net::HttpRequest& request, Time now) const;
  /// Decides on a request whose body isn't read yet.
  [[nodiscard]] net::HeadDecision DecideHead(const net::HttpRequest& head);
  /// Logs and counts a refusal, and returns its response.
  [[nodiscard]] net::HttpResponse Deny(const net::HttpRequest& request,
                                       const Denial& refused, Time now) const;
  void HandleRequest(const net::HttpRequest& request,
                     const net::Responder& respond);
  void Forward(CellCall call, Millis patience, const net::Responder& respond);
  void TryForward(std::uint64_t number, Time now);
  void EndOverdue(std::uint64_t number);
  void Respond(const Request& request, net::HttpResponse response,
               std::string_view why);
  void Fail(const Request& request, CallFailure failure, int status);
  [[nodiscard]] net::HttpResponse Refusal(ErrorKind kind, int status) const;
  /// Returns the denial, or an unknown outcome if it would say that a job was
  /// not accepted which may have been.
  [[nodiscard]] Denial TruthfulDenial(const net::HttpRequest& request,
                                      const Denial& denial, Time now) const;
  void TellDoubts(const JobsInDoubt& jobs) const;

  CallerCodec m_codec;
  const RulesReader& m_rules;
  Millis m_key_trust;
  runtime::Metrics& m_metrics;
  CallerLinks m_links;
  /// Number of the next call. The first is random, since the owner may still
  /// reply to calls of this host's former process.
  std::uint64_t m_next;
  std::map<std::uint64_t, Request> m_open;
  JobDoubts m_doubts;
  bool m_stopped = false;
  std::unique_ptr<net::HttpServer> m_server;
};

}  // namespace buckthornmux::entry
