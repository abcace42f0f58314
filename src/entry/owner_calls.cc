#include "buckthornmux/detail/entry/owner_calls.h"

#include <algorithm>
#include <utility>

namespace buckthornmux::entry {
namespace {

/// Covers one tick on this host, one at the sender, and the network delay.
constexpr Millis kReplyMargin{110};

/// Returns when a call must be answered at the latest. A refusal has to arrive
/// before the sender gives up, since the caller would otherwise be told that
/// the outcome is unknown.
Time ReplyDeadline(const CellCall& call, Time now) {
  const Millis left = ExpiryOf(call) - now;
  return now + std::max(left / 2, left - kReplyMargin);
}

CellReply ReplyTo(const CellCall& call) {
  CellReply reply;
  reply.call = call.call;
  reply.attempt = call.attempt;
  return reply;
}

void SetError(CellReply& reply, CallResult end, const Error& error) {
  reply.end = end;
  reply.error = error.kind;
  reply.message = error.message;
}

std::optional<AddressedReply> Take(OwnerCalls& calls, cell::CallId id,
                                   CellReply reply, Time now) {
  const auto found = calls.open.find(id);
  if (found == calls.open.end()) {
    return std::nullopt;
  }
  reply.call = found->second.call;
  reply.attempt = found->second.attempt;
  reply.epoch = found->second.epoch;
  if (reply.end == CallResult::kRefused) {
    NoteRefusal(calls.refused, found->second.kind, found->second.job, now);
  }
  HostId to = std::move(found->second.from);
  calls.open.erase(found);
  return AddressedReply{std::move(to), std::move(reply)};
}

void NoteStale(cell::Actions& actions, const HostId& from, const CellCall& call,
               StaleReason reason, Epoch epoch, Time now) {
  const Millis age = now - Time(call.sent_at);
  actions.emplace_back(
      cell::Decision{"call_stale",
                     {{"job", call.job},
                      {"call", std::string(NameOf(call.kind))},
                      {"from", from},
                      {"attempt", std::to_string(call.attempt)},
                      {"reason", std::string(NameOf(reason))},
                      {"age_ms", std::to_string(age.count())},
                      {"call_epoch", std::to_string(call.epoch)},
                      {"epoch", std::to_string(epoch)}}});
}

/// Whether the cell is as a submit or cancel would leave it.
bool HasEffect(const cell::Cell& cell, const CellCall& call) {
  const auto job = cell.jobs.find(call.job);
  return job != cell.jobs.end() &&
         (call.kind == CallKind::kSubmit ||
          (call.kind == CallKind::kCancel && job->second.Ended()));
}

CellReply AnswerQuery(const cell::Cell& cell, const CellCall& call) {
  CellReply reply = ReplyTo(call);
  reply.epoch = cell.epoch;
  if (const auto denied =
          cell::ReasonToDeny(cell, call.job, {call.queue, call.team})) {
    SetError(reply, CallResult::kRefused, *denied);
    return reply;
  }
  const auto phase = cell::PhaseOf(cell, call.job);
  reply.end = phase ? CallResult::kPhase : CallResult::kNoSuchJob;
  reply.phase = phase.value_or(cell::JobPhase::kQueued);
  return reply;
}

}  // namespace

CellReply RefuseCall(OwnerCalls& calls, const cell::Cell* cell,
                     const CellCall& call, ErrorKind error, std::string message,
                     Time now) {
  CellReply reply = ReplyTo(call);
  const bool had_effect = cell != nullptr && HasEffect(*cell, call);
  SetError(reply, had_effect ? CallResult::kUnknown : CallResult::kRefused,
           {error, std::move(message), {}});
  if (!had_effect) {
    NoteRefusal(calls.refused, call.kind, call.job, now);
  }
  return reply;
}

std::optional<CellReply> ApplyCall(OwnerCalls& calls, cell::Cell& cell,
                                   cell::Actions& actions, const HostId& from,
                                   const CellCall& call, Time now) {
  if (const auto stale = ReasonStale(calls.refused, call, cell.epoch, now)) {
    NoteStale(actions, from, call, *stale, cell.epoch, now);
    CellReply reply = ReplyTo(call);
    SetError(reply, CallResult::kRefused,
             {ErrorKind::kOwnerStale, "the call arrived too late", {}});
    return reply;
  }
  if (call.kind == CallKind::kQuery) {
    return AnswerQuery(cell, call);
  }
  if (call.kind == CallKind::kPending) {
    CellReply reply = ReplyTo(call);
    reply.end = CallResult::kPending;
    reply.pending = cell::PendingOf(cell, call.queue);
    return reply;
  }
  const cell::CallId id = calls.next++;
  calls.open.emplace(id, OwnerCall{from, call.call, call.attempt, call.kind,
                                   call.job, cell.epoch});
  if (call.kind == CallKind::kSubmit) {
    cell::Submit(cell, actions, id, call.spec, now, ReplyDeadline(call, now));
  } else {
    cell::Cancel(cell, actions, id, call.job, {call.queue, call.team}, now);
  }
  return std::nullopt;
}

std::optional<AddressedReply> TakeReply(OwnerCalls& calls,
                                        const cell::AnswerSubmit& answer,
                                        Time now) {
  CellReply reply;
  reply.end = CallResult::kAccepted;
  if (answer.error) {
    const bool unclear =
        answer.exists && answer.error->kind == ErrorKind::kNotReady;
    SetError(reply, unclear ? CallResult::kUnknown : CallResult::kRefused,
             *answer.error);
    reply.pending = static_cast<std::uint32_t>(answer.retry_after.count());
  }
  return Take(calls, answer.call, std::move(reply), now);
}

std::optional<AddressedReply> TakeReply(OwnerCalls& calls,
                                        const cell::AnswerCancel& answer,
                                        Time now) {
  CellReply reply;
  reply.end = answer.known ? CallResult::kCancelled : CallResult::kNoSuchJob;
  if (answer.error) {
    SetError(reply, CallResult::kRefused, *answer.error);
  }
  return Take(calls, answer.call, std::move(reply), now);
}

std::vector<AddressedReply> CloseCalls(OwnerCalls& calls) {
  calls.refused = {};
  std::vector<AddressedReply> replies;
  for (auto& [id, open] : std::exchange(calls.open, {})) {
    CellReply reply;
    reply.call = open.call;
    reply.attempt = open.attempt;
    reply.error = ErrorKind::kOwnerStale;
    reply.message = "the owner changed meanwhile";
    replies.push_back({std::move(open.from), std::move(reply)});
  }
  return replies;
}

}  // namespace buckthornmux::entry
