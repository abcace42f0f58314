#include "buckthornmux/detail/core/error.h"

#include <algorithm>
#include <array>

#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux {
namespace {

using enum ErrorKind;
constexpr Millis kNever{0};
constexpr Millis kSoon{200};
constexpr Millis kShort{1000};
constexpr Millis kLong{10'000};

constexpr auto kTable = std::to_array<ErrorAnswer>({
    {kMalformed, "malformed", 400, Ran::kNo, kNever, 2},
    {kTooLarge, "too_large", 413, Ran::kNo, kNever, 2},
    {kTooSlow, "too_slow", 408, Ran::kNo, kShort, 2},
    {kUnknownField, "unknown_field", 400, Ran::kNo, kNever, 2},
    {kNotFound, "not_found", 404, Ran::kNo, kNever, 3},
    {kUsage, "usage", 400, Ran::kNo, kNever, 2},
    {kFileUnreadable, "file_unreadable", 400, Ran::kNo, kNever, 2},
    {kKeyRefused, "key_refused", 401, Ran::kNo, kNever, 4},
    {kKindRefused, "kind_refused", 403, Ran::kNo, kNever, 4},
    {kNeverFits, "never_fits", 422, Ran::kNo, kNever, 5},
    {kCellFull, "cell_full", 503, Ran::kNo, kShort, 6},
    {kTeamLimit, "team_limit", 429, Ran::kNo, kShort, 6},
    {kDeadlineUnmeetable, "deadline_unmeetable", 422, Ran::kNo, kNever, 5},
    {kDeadlinePassed, "deadline_passed", 504, Ran::kNo, kNever, 6},
    {kQueueFull, "queue_full", 503, Ran::kNo, kShort, 6},
    {kJobRefused, "job_refused", 422, Ran::kYes, kNever, 5},
    {kDuplicateRequest, "duplicate_request", 409, Ran::kNo, kNever, 5},
    {kOwnerUnknown, "owner_unknown", 503, Ran::kNo, kShort, 6},
    {kOwnerStale, "owner_stale", 503, Ran::kNo, kSoon, 6},
    {kPeerUnreachable, "peer_unreachable", 503, Ran::kNo, kShort, 6},
    {kShuttingDown, "shutting_down", 503, Ran::kNo, kSoon, 6},
    {kNotReady, "not_ready", 503, Ran::kNo, kShort, 6},
    {kStoreUnavailable, "store_unavailable", 503, Ran::kNo, kLong, 6},
    {kStoreUnknown, "store_unknown", 503, Ran::kUnknown, kLong, 7},
    {kStoreConflict, "store_conflict", 409, Ran::kNo, kSoon, 8},
    {kTaskFailed, "task_failed", 500, Ran::kYes, kNever, 9},
    {kOutcomeUnknown, "outcome_unknown", 500, Ran::kUnknown, kNever, 7},
    {kCancelled, "cancelled", 410, Ran::kUnknown, kNever, 9},
    {kTargetUnreachable, "target_unreachable", 503, Ran::kNo, kShort, 6},
    {kTargetRefused, "target_refused", 503, Ran::kNo, kShort, 6},
    {kConfigInvalid, "config_invalid", 400, Ran::kNo, kNever, 2},
    {kConfigConflict, "config_conflict", 409, Ran::kNo, kNever, 8},
    {kConfigStale, "config_stale", 503, Ran::kNo, kLong, 6},
    {kInternal, "internal", 500, Ran::kUnknown, kNever, 1},
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
