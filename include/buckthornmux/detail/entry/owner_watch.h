/// Detects the failure of the cell's owner before its registration expires.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/entry/recent_peak.h"

namespace buckthornmux::entry {

/// Functions of the surrounding process that OwnerWatch uses.
struct OwnerWatchLinks {
  /// Hosts with an established connection.
  std::function<std::vector<HostId>()> peers;
  /// Pings a host; the answer is passed to OwnerWatch::OnPingAnswered.
  std::function<void(const HostId& host)> probe;
  std::function<void(const HostId& to, const LivenessQuery& ask)> send_query;
  std::function<void(const HostId& to, const LivenessReply& reply)> send_reply;
  /// No host that replied can reach the owner.
  std::function<void(const HostId& owner)> owner_failed;
  /// Another host reaches the owner, so only this host's connection is dead.
  std::function<void(const HostId& owner)> reconnect;
};

/// @brief Suspects an owner that does not answer a call, and asks other hosts
///   whether they reach it.
///
/// The cell of a failed owner is claimed immediately instead of after its
/// registration has expired. A false detection costs only a takeover, since
/// epochs fence the former owner at targets and at the store. A host that lost
/// only its own connection does not cause one: the owner stays as long as
/// another host reaches it.
class OwnerWatch {
 public:
  explicit OwnerWatch(OwnerWatchLinks links) : m_links(std::move(links)) {}

  /// @brief Sets how long a connected owner must send no frame before it can
  ///   count as failed. An owner whose link is full answers no ping in time,
  ///   but its frames arrive. 0: frames are not considered.
  void SetSilenceBound(Millis bound) { m_silence_bound = bound; }
  /// @brief Handles the arrival of a frame of any kind.
  void OnFrame(const HostId& host, Time now) { m_last_frame[host] = now; }

  /// @brief Runs the checks that are due.
  /// @param owner of the cell; empty if there is none or it is this host
  /// @param waiting_since when the oldest unanswered call was sent to it
  void Tick(const HostId& owner, std::optional<Time> waiting_since, Time now);

  /// @brief Handles a host's answer to a ping.
  /// @param took time since the oldest ping that had no answer
  void OnPingAnswered(const HostId& host, Millis took, Time now);

  /// @brief Handles a host's reply to a call. An owner that replies from the
  ///   cell's state has finished reading it.
  void OnCallReply(const HostId& host, const CellReply& reply);

  void HandleQuery(const HostId& from, const LivenessQuery& ask, Time now);
  void HandleReply(const LivenessReply& reply, Time now);

 private:
  enum class Stage : std::uint8_t { kIdle, kProbing, kQuerying };
  /// Query of another host that waits for the answer to a ping.
  struct PendingQuery {
    HostId from;
    LivenessQuery ask;
    Time since;
  };
  [[nodiscard]] bool AliveSince(const HostId& host, Time since) const;
  /// Whether a frame of the host has arrived since then; false without a
  /// silence bound.
  [[nodiscard]] bool FrameSince(const HostId& host, Time since) const;
  void QueryOtherHosts(Time now);
  void ReplyToQueries(Time now);
  void Reset(Time suspect_after);
  /// Returns the time-out to use for the owner: `timeout`, or longer while the
  /// owner reads the cell or if owners have answered slowly. A false detection
  /// would repeat the reading, and the next owner has the same load.
  [[nodiscard]] Millis TimeoutFor(Millis timeout, Time now) const;

  OwnerWatchLinks m_links;
  std::map<HostId, Time> m_last_alive;
  std::map<HostId, Time> m_last_frame;
  Millis m_silence_bound{0};
  HostId m_owner;
  HostId m_former_owner;
  /// Longest times that owners took to answer a ping.
  RecentPeak m_answer_time;
  /// Until this time an owner that has not replied to a call counts as reading
  /// the cell.
  Time m_recovering_until;
  /// Since when this host has no connection to the owner.
  std::optional<Time> m_disconnected_since;
  Stage m_stage = Stage::kIdle;
  Time m_since;       ///< Start of the stage.
  Time m_queried_at;  ///< Start of the last queries.
  Time m_suspect_after;
  std::uint64_t m_next_ask = 1;
  /// Unanswered queries to other hosts.
  std::set<std::uint64_t> m_open_queries;
  /// Another host has confirmed that it does not reach the owner.
  bool m_peer_confirmed = false;
  std::vector<PendingQuery> m_pending_queries;
};

}  // namespace buckthornmux::entry
