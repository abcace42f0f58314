/// Tells that the cell's owner is gone before its registration ends.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "buckthornmux/detail/entry/calls.h"

namespace buckthornmux::entry {

/// What the watch needs of the process around it.
struct OwnerWatchLinks {
  /// Hosts with a link that is up.
  std::function<std::vector<HostId>()> peers;
  /// Pings a host; its answer comes through OwnerWatch::Alive.
  std::function<void(const HostId& host)> probe;
  std::function<void(const HostId& to, const LivenessQuery& ask)> ask;
  std::function<void(const HostId& to, const LivenessReply& reply)> tell;
  /// Nobody who was asked hears of the owner.
  std::function<void(const HostId& owner)> gone;
  /// Others hear of the owner: it is this host's connection that is dead.
  std::function<void(const HostId& owner)> reconnect;
};

/// @brief Suspects an owner that leaves a call unanswered, and asks others.
///
/// A dead owner's cell is claimed at once instead of after its registration has
/// run out. To be wrong costs a takeover and no more: epochs fence the former
/// owner at targets and at the store. One host that lost its own link to the
/// owner changes nothing: as long as another hears of it, it stays.
class OwnerWatch {
 public:
  explicit OwnerWatch(OwnerWatchLinks links) : m_links(std::move(links)) {}

  /// @brief Time passed.
  /// @param owner of the cell; empty where there is none or it is this host
  /// @param waiting_since when the oldest unanswered call was handed to it
  void Tick(const HostId& owner, std::optional<Time> waiting_since, Time now);

  /// @brief A host has answered a ping.
  void Alive(const HostId& host, Time now);

  /// @brief A host has answered a call. An owner that does so from the cell's
  ///   state has read it.
  void Answered(const HostId& host, const CellReply& reply);

  void Take(const HostId& from, const LivenessQuery& ask, Time now);
  void Take(const LivenessReply& reply, Time now);

 private:
  enum class Stage : std::uint8_t { kCalm, kProbing, kAsking };
  /// A query of another host that waits for a ping to be answered.
  struct Asked {
    HostId from;
    LivenessQuery ask;
    Time since;
  };
  [[nodiscard]] bool AliveSince(const HostId& host, Time since) const;
  void AskOthers(Time now);
  void AnswerAsked(Time now);
  void Calm(Time quiet_until);
  /// A bound on an owner's silence: longer while it reads the cell, since to be
  /// wrong then costs the reading once more.
  [[nodiscard]] Millis Allowed(Millis bound, Time now) const;

  OwnerWatchLinks m_links;
  std::map<HostId, Time> m_last_alive;
  HostId m_owner;
  /// Until when an owner that has answered no call counts as reading the cell.
  Time m_recovers_until;
  std::optional<Time> m_unlinked_since;  ///< Of the owner.
  Stage m_stage = Stage::kCalm;
  Time m_since;  ///< Of the stage.
  Time m_quiet_until;
  std::uint64_t m_next_ask = 1;
  std::set<std::uint64_t> m_open;  ///< Questions that have no answer yet.
  bool m_answered = false;         ///< Somebody hears nothing of it either.
  std::vector<Asked> m_asked;
};

}  // namespace buckthornmux::entry
