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
  }
  return "unknown";
}

Time ExpiryOf(const CellCall& call) {
  return Time(call.sent_at + std::min(call.patience, kMaxCallTimeout));
}

std::optional<StaleReason> ReasonStale(const CellCall& call, Epoch epoch,
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
  return std::nullopt;
}

}  // namespace buckthornmux::entry
