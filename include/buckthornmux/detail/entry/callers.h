/// Callers' HTTP: which queue, which team, and the one answer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/runtime/metrics.h"

namespace buckthornmux::entry {

/// How callers' bodies are read and written; bound by the platform's adapter.
struct CallerCodec {
  std::string key_header;
  std::string deadline_header;
  std::function<Result<cell::JobSpec>(std::string_view body)> parse_job;
  std::function<bool(std::string_view text)> is_job_id;
  std::function<std::string(cell::JobPhase phase)> format_phase;
  std::function<std::string(std::uint32_t pending)> format_pending;
};

/// Where the queue lies that a request names, and what remains of the path.
struct RouteMatch {
  const cell::Queue* queue = nullptr;
  std::string_view rest;  ///< Of the path behind the queue's prefix.
};

/// @brief Finds the queue of a request: same host name, longest prefix.
/// @return nothing where there is none
[[nodiscard]] std::optional<RouteMatch> FindRoute(const cell::Rules& rules,
                                                  std::string_view host,
                                                  std::string_view path);

/// @brief Finds the team that holds a key; null where there is none.
[[nodiscard]] const cell::Team* FindTeam(const cell::Rules& rules,
                                         std::string_view key);

/// What became of handing a call on.
enum class Handed : std::uint8_t { kSent, kNoOwner, kUnreachable };

/// What callers' calls need of the process around them.
struct CallerLinks {
  /// Hands a call to the owner of the cell.
  std::function<Handed(const CellCall& call, HostId& to)> forward;
  /// Whether a lost owner is about to be replaced.
  std::function<bool()> owner_expected;
  /// Whether the store rejects this host and serves others: answers then close
  /// their connections, so that callers move there.
  std::function<bool()> store_serves_others;
};

/// @brief Serves callers. Each request gets one answer, at its deadline at the
///   latest; what surely has not been taken is refused at once.
class Callers {
 public:
  Callers(boost::asio::io_context& io, const std::string& address,
          CallerCodec codec, const RulesReader& rules, Millis key_trust,
          runtime::Metrics& metrics, CallerLinks links);

  /// @brief Takes an owner's answer.
  void Reply(const CellReply& reply);

  /// @brief A host is lost: what was sent there waits for the next owner. Jobs
  ///   are known by their ids, so a submit that did arrive is met again.
  void HostLost(const HostId& host);

  /// @brief Hands on what waits for an owner, ends what is past its deadline.
  void Tick(Time now);

  /// @brief When the oldest call that a host has not answered was handed to it.
  [[nodiscard]] std::optional<Time> WaitingSince(const HostId& host) const;

  /// @brief Whether keys may be trusted now.
  [[nodiscard]] bool RulesTrusted(Time now) const;

  /// @brief From now on each answer closes its connection.
  void Leave();
  void Stop();
  [[nodiscard]] std::size_t Open() const { return m_open.size(); }
  /// @brief Port in use.
  [[nodiscard]] std::uint16_t Port() const { return m_server->Port(); }

 private:
  struct OpenCall {
    CellCall call;
    HostId sent_to;         ///< Empty: waits for an owner.
    bool doubtful = false;  ///< Some hand-over has no sure word.
    Time began;
    Time deadline;
    Time owner_by;  ///< Refused where no owner took it by then.
    Time hand_at;   ///< Not handed on again before.
    Time sent_at;   ///< To `sent_to`.
    ErrorKind waits_for = ErrorKind::kOwnerUnknown;  ///< Why nobody took it.
    net::Responder respond;
  };

  void Take(const net::HttpRequest& request, const net::Responder& respond);
  void Hand(CellCall call, Millis patience, const net::Responder& respond);
  void TryHand(std::uint64_t number, Time now);
  void GiveUp(std::uint64_t number);
  static void WaitForOwner(OpenCall& open, const CellReply& reply);
  void Answer(const OpenCall& open, net::HttpResponse response,
              std::string_view why);
  [[nodiscard]] net::HttpResponse Refusal(ErrorKind kind, int status) const;

  CallerCodec m_codec;
  const RulesReader& m_rules;
  Millis m_key_trust;
  runtime::Metrics& m_metrics;
  CallerLinks m_links;
  std::uint64_t m_next = 1;
  std::map<std::uint64_t, OpenCall> m_open;
  std::unique_ptr<net::HttpServer> m_server;
};

}  // namespace buckthornmux::entry
