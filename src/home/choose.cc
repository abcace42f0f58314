#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

bool CanTake(const PartitionState& partition, const ShardView& shard) {
  const auto inquiry = partition.inquiries.find(shard.id);
  const bool open =
      inquiry != partition.inquiries.end() && inquiry->second.open;
  return shard.reachable && !open;
}

/// Whether `one` is the better shard, if both have room or neither has.
bool HasMoreRoom(const ShardView& one, const ShardView& other) {
  if (one.free.slots != other.free.slots) {
    return one.free.slots > other.free.slots;
  }
  if (one.free.cpu_milli != other.free.cpu_milli) {
    return one.free.cpu_milli > other.free.cpu_milli;
  }
  return one.queued < other.queued;
}

const ShardView* BetterOfTwo(Step& step,
                             const std::vector<const ShardView*>& from) {
  const auto draw = [&] {
    std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
    return from[any(step.state.random)];
  };
  const ShardView* const one = draw();
  const ShardView* const other = draw();
  return HasMoreRoom(*other, *one) ? other : one;
}

RetryBudget& Refilled(Step& step, const ShardId& shard) {
  const HomeOptions& options = step.state.options;
  const auto [found, fresh] = step.state.retry_budget.try_emplace(
      shard, RetryBudget{options.max_saved_retries, step.now});
  RetryBudget& budget = found->second;
  const std::chrono::duration<double> passed = step.now - budget.refilled;
  budget.tokens =
      std::min(options.max_saved_retries,
               budget.tokens + passed.count() * options.retries_per_second);
  budget.refilled = step.now;
  return budget;
}

}  // namespace

Resources Multiply(const Resources& demand, std::uint32_t count) {
  return {demand.slots * count, demand.cpu_milli * count,
          demand.memory_mb * count, demand.accelerators * count};
}

std::optional<ShardId> ChooseShard(Step& step, const PartitionState& partition,
                                   const Resources& demand,
                                   const std::vector<ShardId>& refused_by) {
  std::vector<const ShardView*> usable;
  std::vector<const ShardView*> with_room;
  for (const auto& [id, shard] : step.state.shards) {
    if (!CanTake(partition, shard) ||
        std::ranges::find(refused_by, id) != refused_by.end()) {
      continue;
    }
    usable.push_back(&shard);
    if (demand.FitsIn(shard.free)) {
      with_room.push_back(&shard);
    }
  }
  const auto& from = with_room.empty() ? usable : with_room;
  if (from.empty()) {
    return std::nullopt;
  }
  const auto local = std::ranges::find_if(
      from, [](const ShardView* shard) { return shard->local; });
  return local != from.end() ? (*local)->id : BetterOfTwo(step, from)->id;
}

bool ConsumeRetry(Step& step, const ShardId& shard) {
  RetryBudget& budget = Refilled(step, shard);
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}

void AddRetryCredit(Step& step, const ShardId& shard) {
  RetryBudget& budget = Refilled(step, shard);
  budget.tokens = std::min(step.state.options.max_saved_retries,
                           budget.tokens + step.state.options.retry_ratio);
}

}  // namespace buckthornmux::home
