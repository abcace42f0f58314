#include "buckthornmux/detail/entry/pending_replies.h"

#include <iterator>
#include <utility>

#include "buckthornmux/detail/entry/call_guard.h"

namespace buckthornmux::entry {
namespace {

void Expire(std::deque<PendingReply>& replies, Time now) {
  while (!replies.empty() && replies.front().since + kMaxCallTimeout <= now) {
    replies.pop_front();
  }
}

}  // namespace

bool KeepReply(PendingReplies& pending, const HostId& to,
               const CellReply& reply, Time now) {
  for (auto& [host, replies] : pending.by_host) {
    Expire(replies, now);
  }
  std::erase_if(pending.by_host,
                [](const auto& entry) { return entry.second.empty(); });
  std::deque<PendingReply>& replies = pending.by_host[to];
  if (replies.size() >= kMaxPendingReplies) {
    return false;
  }
  replies.push_back({now, reply});
  return true;
}

std::vector<PendingReply> TakeReplies(PendingReplies& pending, const HostId& to,
                                      Time now) {
  const auto found = pending.by_host.find(to);
  if (found == pending.by_host.end()) {
    return {};
  }
  std::deque<PendingReply> replies = std::move(found->second);
  pending.by_host.erase(found);
  Expire(replies, now);
  return {std::make_move_iterator(replies.begin()),
          std::make_move_iterator(replies.end())};
}

}  // namespace buckthornmux::entry
