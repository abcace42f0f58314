/// Replies to calls of hosts to which this host has no connection at present.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "buckthornmux/detail/entry/calls.h"

namespace buckthornmux::entry {

struct PendingReply {
  Time since;
  CellReply reply;
};

/// After a partition the connections of the two directions come back one after
/// the other, so that a host may receive calls that it can't reply to yet.
struct PendingReplies {
  std::map<HostId, std::deque<PendingReply>> by_host;
};

/// Maximum number of replies that wait for one host.
inline constexpr std::size_t kMaxPendingReplies = 1024;

/// @brief Keeps a reply until its host can be reached, or its caller has given
///   up.
/// @return false if too many replies wait for that host already
[[nodiscard]] bool KeepReply(PendingReplies& pending, const HostId& to,
                             const CellReply& reply, Time now);

/// @brief Takes the replies that a host may still wait for, in order.
[[nodiscard]] std::vector<PendingReply> TakeReplies(PendingReplies& pending,
                                                    const HostId& to, Time now);

}  // namespace buckthornmux::entry
