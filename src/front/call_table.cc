#include "buckthornmux/detail/front/call_table.h"

#include <utility>

namespace buckthornmux::front {
namespace {

/// Pause before an owner is looked up again.
constexpr Millis kRetryPause{50};

Partition PartitionOfWork(const CallWork& work) {
  if (const auto* request = std::get_if<home::JobRequest>(&work)) {
    return home::PartitionOf(request->team, request->id);
  }
  if (const auto* cancel = std::get_if<home::CancelJob>(&work)) {
    return home::PartitionOf(cancel->team, cancel->job);
  }
  const auto& query = std::get<home::QueryJob>(work);
  return home::PartitionOf(query.team, query.job);
}

/// A call that was not sent from here may repeat one that was sent through
/// another host: only the home could say that it did not run.
GiveUp Expired(std::uint64_t id, const OpenCall& call) {
  const bool sent = call.sends > 0;
  return {id, sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kOwnerUnknown,
          Ran::kUnknown};
}

/// Sends the call where its owner is known and another than before.
void SendIfDue(std::uint64_t id, OpenCall& call, const runtime::Routes& routes,
               Time now, std::vector<CallAction>& actions) {
  if (now < call.next_try) {
    return;
  }
  const auto* owner = routes.OwnerOf(runtime::PartitionRange(call.partition));
  if (owner == nullptr) {
    return;
  }
  if (owner->owner == call.sent_to && owner->epoch == call.epoch) {
    return;
  }
  call.copy_lost = call.copy_lost || !call.sent_to.empty();
  call.sent_to = owner->owner;
  call.epoch = owner->epoch;
  ++call.sends;
  actions.emplace_back(SendCall{id, owner->owner, call.work});
}

}  // namespace

std::uint64_t OpenNewCall(CallTable& table, CallWork work, Time now,
                          Time deadline) {
  const std::uint64_t id = table.next_call++;
  OpenCall call;
  call.partition = PartitionOfWork(work);
  call.work = std::move(work);
  call.opened = now;
  call.deadline = deadline;
  table.calls.emplace(id, std::move(call));
  return id;
}

std::vector<CallAction> Advance(CallTable& table, const runtime::Routes& routes,
                                Time now) {
  std::vector<CallAction> actions;
  for (auto entry = table.calls.begin(); entry != table.calls.end();) {
    auto& [id, call] = *entry;
    if (now >= call.deadline) {
      actions.emplace_back(Expired(id, call));
      entry = table.calls.erase(entry);
      continue;
    }
    SendIfDue(id, call, routes, now, actions);
    ++entry;
  }
  return actions;
}

void NotSent(CallTable& table, std::uint64_t call, Time now) {
  const auto found = table.calls.find(call);
  if (found != table.calls.end()) {
    found->second.sent_to.clear();
    --found->second.sends;
    found->second.next_try = now + kRetryPause;
  }
}

void LinkBroke(CallTable& table, const HostId& host, Time now) {
  for (auto& [id, call] : table.calls) {
    if (call.sent_to == host) {
      call.sent_to.clear();
      call.copy_lost = true;
      call.next_try = now + kRetryPause;
    }
  }
}

home::Reply AnswerForCaller(const CallTable& table, home::Reply reply) {
  const auto found = table.calls.find(reply.token);
  const bool refused = !reply.accepted &&
                       reply.status.phase == home::JobPhase::kFailed &&
                       reply.status.ran == Ran::kNo;
  if (found != table.calls.end() && found->second.copy_lost && refused &&
      !std::holds_alternative<home::QueryJob>(found->second.work)) {
    reply.status.error = ErrorKind::kOutcomeUnknown;
    reply.status.ran = Ran::kUnknown;
    reply.status.retry_after = Millis(0);
  }
  return reply;
}

bool TakeAnswer(CallTable& table, const home::Reply& reply, Time now) {
  const auto found = table.calls.find(reply.token);
  if (found == table.calls.end()) {
    return false;
  }
  OpenCall& call = found->second;
  const bool moved = !reply.accepted &&
                     reply.status.phase == home::JobPhase::kFailed &&
                     reply.status.error == ErrorKind::kOwnerStale;
  if (moved) {
    call.sent_to.clear();
    call.next_try = now + kRetryPause;
    return false;
  }
  table.calls.erase(found);
  return true;
}

}  // namespace buckthornmux::front
