#include "buckthornmux/detail/entry/call_guard.h"

#include <algorithm>

namespace buckthornmux::entry {

std::string_view NameOf(CallKind kind) {
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

std::string_view NameOf(StaleReason reason) {
  switch (reason) {
    case StaleReason::kOtherEpoch:
      return "other epoch";
    case StaleReason::kOtherClock:
      return "other clock";
    case StaleReason::kExpired:
      return "expired";
    case StaleReason::kOvertaken:
      return "overtaken";
  }
  return "unknown";
}

Time ExpiryOf(const CellCall& call) {
  return Time(call.sent_at + std::min(call.patience, kMaxCallTimeout));
}

void NoteRefusal(RefusedCalls& refused, CallKind kind, const std::string& job,
                 Time now) {
  const auto forget = [&refused] {
    const auto& [at, key] = refused.order.front();
    const auto found = refused.last.find(key);
    if (found != refused.last.end() && found->second == at) {
      refused.last.erase(found);
    }
    refused.order.pop_front();
  };
  // A call that was sent before has expired by then.
  while (!refused.order.empty() &&
         refused.order.front().first + kMaxCallTimeout < now) {
    forget();
  }
  if (kind != CallKind::kSubmit && kind != CallKind::kCancel) {
    return;
  }
  if (refused.order.size() >= kMaxRefusedCalls) {
    refused.forgotten_until = refused.order.front().first;
    forget();
  }
  RefusedCalls::Key key{kind, job};
  refused.last[key] = now;
  refused.order.emplace_back(now, std::move(key));
}

std::optional<StaleReason> ReasonStale(const RefusedCalls& refused,
                                       const CellCall& call, Epoch epoch,
                                       Time now) {
  if (call.epoch != epoch) {
    return StaleReason::kOtherEpoch;
  }
  if (Time(call.sent_at) > now) {
    return StaleReason::kOtherClock;
  }
  if (now >= ExpiryOf(call)) {
    return StaleReason::kExpired;
  }
  const auto last = refused.last.find({call.kind, call.job});
  const Time until = last == refused.last.end()
                         ? refused.forgotten_until
                         : std::max(last->second, refused.forgotten_until);
  return Time(call.sent_at) <= until ? std::optional(StaleReason::kOvertaken)
                                     : std::nullopt;
}

}  // namespace buckthornmux::entry
