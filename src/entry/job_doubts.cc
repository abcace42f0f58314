#include "buckthornmux/detail/entry/job_doubts.h"

#include <algorithm>

namespace buckthornmux::entry {
namespace {

/// Forgets the oldest entry, unless its job was noted again later.
void ForgetOldest(JobDoubts& doubts) {
  const auto& [since, job] = doubts.order.front();
  const auto found = doubts.jobs.find(job);
  if (found != doubts.jobs.end() && found->second.since == since) {
    doubts.jobs.erase(found);
  }
  doubts.order.pop_front();
}

}  // namespace

void NoteDoubt(JobDoubts& doubts, const std::string& job, Epoch epoch,
               Time now) {
  while (!doubts.order.empty() &&
         (doubts.order.size() >= kMaxDoubts ||
          doubts.order.front().first + kDoubtMemory < now)) {
    ForgetOldest(doubts);
  }
  JobDoubt& doubt = doubts.jobs[job];
  doubt = {std::max(doubt.epoch, epoch), now};
  doubts.order.emplace_back(now, job);
}

std::optional<JobDoubt> DoubtOf(const JobDoubts& doubts, std::string_view job,
                                Time now) {
  const auto found = doubts.jobs.find(job);
  const bool known =
      found != doubts.jobs.end() && now - found->second.since <= kDoubtMemory;
  return known ? std::optional(found->second) : std::nullopt;
}

bool Settles(const JobDoubt& doubt, Epoch refused_by, Time asked_at) {
  // A later owner has read all that former ones have stored. An owner of the
  // same epoch drops copies that were sent before its refusal.
  return refused_by > doubt.epoch ||
         (refused_by > 0 && refused_by == doubt.epoch &&
          asked_at >= doubt.since);
}

void ApplyToDoubt(JobDoubts& doubts, const OpenCall& open,
                  const CellReply& reply, Time now) {
  if (open.call.kind != CallKind::kSubmit) {
    return;
  }
  const auto found = doubts.jobs.find(open.call.job);
  if (reply.end == CallResult::kAccepted) {
    // Callers may repeat a submit whose answer was lost.
    NoteDoubt(doubts, open.call.job, reply.epoch, now);
  } else if (found != doubts.jobs.end() && reply.end == CallResult::kRefused &&
             Settles(found->second, reply.epoch, open.sent_at)) {
    doubts.jobs.erase(found);
  }
}

CallFailure TruthfulFailure(const JobDoubts& doubts, const OpenCall& open,
                            CallFailure failure, Time now) {
  if (open.call.kind != CallKind::kSubmit || failure.unknown ||
      !DoubtOf(doubts, open.call.job, now)) {
    return failure;
  }
  return {true,
          ErrorKind::kOutcomeUnknown,
          "an earlier try may have been accepted",
          {}};
}

std::optional<JobInDoubt> NewDoubt(JobDoubts& doubts, const OpenCall& open,
                                   Time now) {
  const Epoch epoch = std::max(open.call.epoch, open.in_doubt.value_or(0));
  const auto known = DoubtOf(doubts, open.call.job, now);
  if (open.call.kind != CallKind::kSubmit || (known && known->epoch >= epoch)) {
    return std::nullopt;
  }
  NoteDoubt(doubts, open.call.job, epoch, now);
  return JobInDoubt{open.call.job, epoch};
}

}  // namespace buckthornmux::entry
