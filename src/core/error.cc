#include "buckthornmux/detail/core/error.h"

#include <algorithm>
#include <array>

#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux {
namespace {

using enum ErrorKind;
constexpr Millis kNoRetry{0};
constexpr Millis kSoonRetryDelay{200};
constexpr Millis kShortRetryDelay{1000};
constexpr Millis kLongRetryDelay{10'000};

// An entry host that refuses valid work by itself answers "unknown", because
// the request may have been sent before through another host and have run; only
// the request's home knows. A request that is always refused, such as one with
// a malformed body, has not run.
constexpr auto kTable = std::to_array<ErrorAnswer>({
    {kMalformed, "malformed", 400, Ran::kNo, kNoRetry, 2,
     "the request is not in the expected form; mend it"},
    {kTooLarge, "too_large", 413, Ran::kNo, kNoRetry, 2,
     "the request is larger than allowed; make it smaller"},
    {kTooSlow, "too_slow", 408, Ran::kUnknown, kShortRetryDelay, 2,
     "the request did not arrive in time; send it faster"},
    {kUnknownField, "unknown_field", 400, Ran::kNo, kNoRetry, 2,
     "the document has a field that does not exist; remove it"},
    {kNotFound, "not_found", 404, Ran::kNo, kNoRetry, 3,
     "there is no such thing; check its name"},
    {kUsage, "usage", 400, Ran::kNo, kNoRetry, 2,
     "the command line is not understood; see --help"},
    {kFileUnreadable, "file_unreadable", 400, Ran::kNo, kNoRetry, 2,
     "the file cannot be read; check its path"},
    {kKeyRefused, "key_refused", 401, Ran::kUnknown, kNoRetry, 4,
     "the key is missing, unknown or withdrawn; ask an operator"},
    {kKindRefused, "kind_refused", 403, Ran::kUnknown, kNoRetry, 4,
     "the team may not use this kind of work; ask an operator"},
    {kNotPermitted, "not_permitted", 403, Ran::kUnknown, kNoRetry, 4,
     "the job belongs to another team; use a key of that team"},
    {kNeverFits, "never_fits", 422, Ran::kNo, kNoRetry, 5,
     "no target could ever hold this work; ask for less"},
    {kCellFull, "cell_full", 503, Ran::kNo, kShortRetryDelay, 6,
     "there is no room in time; come back later"},
    {kTeamLimit, "team_limit", 429, Ran::kNo, kShortRetryDelay, 6,
     "the team is at its upper limit; come back later"},
    {kDeadlineUnmeetable, "deadline_unmeetable", 422, Ran::kNo, kNoRetry, 5,
     "the work cannot end by its deadline; allow more time"},
    {kDeadlinePassed, "deadline_passed", 504, Ran::kNo, kNoRetry, 6,
     "the deadline passed before the work started"},
    {kQueueFull, "queue_full", 503, Ran::kUnknown, kShortRetryDelay, 6,
     "the queue is full; come back later"},
    {kJobRefused, "job_refused", 422, Ran::kYes, kNoRetry, 5,
     "the job failed on several targets; mend it"},
    {kDuplicateRequest, "duplicate_request", 409, Ran::kNo, kNoRetry, 5,
     "this id was used for other work; take a new id"},
    {kOwnerUnknown, "owner_unknown", 503, Ran::kUnknown, kShortRetryDelay, 6,
     "the owner of this request is being replaced; come back"},
    {kOwnerStale, "owner_stale", 503, Ran::kUnknown, kSoonRetryDelay, 6,
     "the owner of this request has changed; come back"},
    {kPeerUnreachable, "peer_unreachable", 503, Ran::kNo, kShortRetryDelay, 6,
     "another host cannot be reached; come back"},
    {kShuttingDown, "shutting_down", 503, Ran::kUnknown, kSoonRetryDelay, 6,
     "this host is leaving; ask another one"},
    {kNotReady, "not_ready", 503, Ran::kUnknown, kShortRetryDelay, 6,
     "this host is starting; ask another one"},
    {kStoreUnavailable, "store_unavailable", 503, Ran::kNo, kLongRetryDelay, 6,
     "the platform service is away; come back later"},
    {kStoreUnknown, "store_unknown", 503, Ran::kUnknown, kLongRetryDelay, 7,
     "a write was not answered; read before you repeat it"},
    {kStoreConflict, "store_conflict", 409, Ran::kNo, kSoonRetryDelay, 8,
     "somebody else was first; read and try again"},
    {kTaskFailed, "task_failed", 500, Ran::kYes, kNoRetry, 9,
     "the work ran and failed; see its result"},
    {kOutcomeUnknown, "outcome_unknown", 500, Ran::kUnknown, kNoRetry, 7,
     "the work may have run; ask for its status"},
    {kCancelled, "cancelled", 410, Ran::kUnknown, kNoRetry, 9,
     "the work was cancelled"},
    {kTargetUnreachable, "target_unreachable", 503, Ran::kNo, kShortRetryDelay,
     6, "a target cannot be reached; come back"},
    {kTargetRefused, "target_refused", 503, Ran::kNo, kShortRetryDelay, 6,
     "a target refused the work; come back"},
    {kConfigInvalid, "config_invalid", 400, Ran::kNo, kNoRetry, 2,
     "the declaration has errors; mend them"},
    {kConfigConflict, "config_conflict", 409, Ran::kNo, kNoRetry, 8,
     "another operator changed it first; read the difference"},
    {kConfigStale, "config_stale", 503, Ran::kUnknown, kLongRetryDelay, 6,
     "the configuration cannot be confirmed; come back later"},
    {kInternal, "internal", 500, Ran::kUnknown, kNoRetry, 1,
     "an error of our own; report it with its log lines"},
});

}  // namespace

std::span<const ErrorAnswer> ErrorTable() { return kTable; }

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  const auto* row = std::ranges::find(kTable, kind, &ErrorAnswer::kind);
  Invariant(row != kTable.end(), "error_kind_listed");
  return *row;
}

ErrorKind KindFromName(std::string_view name) {
  const auto* row = std::ranges::find(kTable, name, &ErrorAnswer::name);
  return row == kTable.end() ? kInternal : row->kind;
}

std::string_view RanName(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kUnknown:
      return "unknown";
    case Ran::kYes:
      return "yes";
  }
  return "unknown";
}

}  // namespace buckthornmux
