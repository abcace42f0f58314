#include "buckthornmux/detail/entry/open_call.h"

#include <algorithm>
#include <utility>

namespace buckthornmux::entry {
namespace {

/// A call waits this long for an owner. A lost owner is replaced within its
/// lease.
constexpr Millis kOwnerWaitTimeout{1500};
/// Delay before a call that no owner accepted is forwarded again.
constexpr Millis kForwardRetryDelay{100};

/// Whether a call of this kind changes what the cell does.
bool Changes(CallKind kind) {
  return kind == CallKind::kSubmit || kind == CallKind::kCancel;
}

/// The copy that was sent last may have had an effect. The call waits for the
/// next owner, which knows.
void WaitInDoubt(OpenCall& open, Time now) {
  open.in_doubt = std::max(open.in_doubt.value_or(0), open.call.epoch);
  open.owner_deadline = std::min(open.deadline, now + kOwnerWaitTimeout);
}

}  // namespace

OpenCall BeginCall(CellCall call, Millis patience, bool owner_expected,
                   Time now) {
  const Millis wait = owner_expected ? kOwnerWaitTimeout : Millis(0);
  OpenCall open;
  open.call = std::move(call);
  open.began = now;
  open.deadline = now + patience;
  open.owner_deadline = now + std::min(wait, patience);
  return open;
}

void BeginAttempt(OpenCall& open, Time now) {
  ++open.call.attempt;
  open.sent_at = now;
  open.call.patience = open.deadline - now;
}

void EndAttempt(OpenCall& open, ForwardResult result, const HostId& to,
                Time now) {
  if (result != ForwardResult::kSent) {
    open.no_owner_reason = result == ForwardResult::kNoOwner
                               ? ErrorKind::kOwnerUnknown
                               : ErrorKind::kPeerUnreachable;
  } else if (open.forward_at <= now) {
    // If `forward_at` is later, the owner has already refused the call.
    open.sent_to = to;
  }
}

void NoteHostLost(OpenCall& open, const HostId& host, Time now) {
  if (open.sent_to == host) {
    open.sent_to.clear();
    WaitInDoubt(open, now);
  }
}

ReplyUse ApplyReply(OpenCall& open, const CellReply& reply, bool owner_expected,
                    Time now) {
  const bool not_owner = reply.error == ErrorKind::kOwnerStale ||
                         reply.error == ErrorKind::kOwnerUnknown ||
                         reply.error == ErrorKind::kNotReady;
  const bool unanswered =
      reply.end == CallResult::kRefused || reply.end == CallResult::kUnknown;
  // A negative reply of a former owner does not tell what the next owner has
  // accepted.
  const bool negative = unanswered || reply.end == CallResult::kNoSuchJob;
  if (negative && reply.attempt != open.call.attempt) {
    return ReplyUse::kIgnored;
  }
  // An owner has read all that former owners have stored, and drops copies that
  // arrive after its refusal; the store rejects writes of former owners.
  if (reply.end == CallResult::kRefused && reply.epoch > 0 &&
      reply.epoch >= open.in_doubt.value_or(0)) {
    open.in_doubt.reset();
  }
  // An owner that can't reach the store is replaced soon if another host can.
  const bool to_be_replaced =
      reply.error == ErrorKind::kStoreUnavailable && owner_expected;
  if (!unanswered || !(not_owner || to_be_replaced)) {
    return ReplyUse::kEnds;
  }
  open.sent_to.clear();
  open.forward_at = now + kForwardRetryDelay;
  open.no_owner_reason = reply.error;
  if (reply.end == CallResult::kUnknown) {
    WaitInDoubt(open, now);  // The owner dropped the call without a result.
  }
  return ReplyUse::kWaits;
}

CallStep NextStep(const OpenCall& open, Time now) {
  const bool waits = open.sent_to.empty();
  if (now >= open.deadline || (waits && now >= open.owner_deadline)) {
    return CallStep::kEnd;
  }
  return waits && now >= open.forward_at ? CallStep::kForward : CallStep::kWait;
}

CallFailure OverdueFailure(const OpenCall& open) {
  const bool unanswered = !open.sent_to.empty();
  // A submit or cancel that was forwarded may have been accepted, so the
  // response must not claim that it was not.
  const bool unknown = Changes(open.call.kind) && (open.in_doubt || unanswered);
  if (unanswered) {
    return {unknown, ErrorKind::kOutcomeUnknown, "owner did not reply", {}};
  }
  return {unknown,
          open.no_owner_reason,
          std::string(AnswerFor(open.no_owner_reason).name),
          {}};
}

CallFailure FailureOf(const OpenCall& open, const CellReply& reply) {
  const bool in_doubt = Changes(open.call.kind) && open.in_doubt;
  return {reply.end == CallResult::kUnknown || in_doubt, reply.error,
          reply.message, Millis(reply.pending)};
}

}  // namespace buckthornmux::entry
