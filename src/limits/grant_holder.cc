#include "buckthornmux/detail/limits/grant_holder.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux::limits {

Result<std::optional<TeamGrants>> PrepareWrite(GrantHolder& holder,
                                               const TeamGrants& record,
                                               Revision revision,
                                               const GrantRequest& request) {
  Invariant(holder.epoch == request.epoch, "grant_asked_under_epoch",
            request.shard);
  BOOST_LEAF_AUTO(next, NextGrants(record, request));
  const auto asked = record.asked.find(request.shard);
  const bool adopted =
      asked != record.asked.end() && asked->second.epoch == holder.epoch;
  // An earlier write may still lower the allowance. Only a write that changes
  // the record's revision prevents it from taking effect.
  const bool settled = holder.unresolved != revision;
  const std::int64_t after = SlotsOf(next, request.shard);
  if (!adopted) {
    holder.usable = 0;
  } else if (settled) {
    holder.unresolved.reset();
    holder.usable = std::min(SlotsOf(record, request.shard), after);
  } else {
    holder.usable = std::min(holder.usable, after);
  }
  if (adopted && settled && next == record) {
    return std::optional<TeamGrants>();
  }
  return std::optional(std::move(next));
}

void WriteEnded(GrantHolder& holder, const TeamGrants& written,
                const ShardId& shard, Revision expected, GrantWrite end) {
  switch (end) {
    case GrantWrite::kWritten:
      holder.usable = SlotsOf(written, shard);
      holder.unresolved.reset();
      break;
    case GrantWrite::kUnknown:
      holder.unresolved = expected;
      break;
    case GrantWrite::kLost:
    case GrantWrite::kUnavailable:
      break;
  }
}

}  // namespace buckthornmux::limits
