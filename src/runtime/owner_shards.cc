// The owner duty's part for shards of targets.
#include <algorithm>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"
#include "buckthornmux/detail/runtime/owner_duty.h"

namespace buckthornmux::runtime {

namespace {

sched::Policy PolicyOf(const config::Settings& settings) {
  sched::Policy policy;
  if (settings.policy == "first_fit") {
    policy.choice = sched::PolicyChoice::kFirstFit;
  } else if (settings.policy == "strict_priority") {
    policy.choice = sched::PolicyChoice::kStrictPriority;
  }
  return policy;
}

}  // namespace

bool OwnerDuty::MayStart(const OwnedShard& shard) const {
  // Targets fence by epoch, so an owner whose lease lapsed can do no harm; a
  // fleet whose targets don't must stop with the lease.
  return !shard.releasing &&
         (m_lease_held || m_wiring.settings.target_guard == "epoch");
}

void OwnerDuty::ApplyShard(const ShardId& id, const sched::Event& event,
                           Time now) {
  const auto found = m_shards.find(id);
  if (found == m_shards.end()) {
    return;  // Lost meanwhile.
  }
  OwnedShard& shard = found->second;
  if (std::holds_alternative<sched::StartAnswered>(event)) {
    --shard.starts_open;
  }
  if (std::holds_alternative<sched::TaskEnded>(event)) {
    m_wiring.metrics.Count(Counter::kTasksEnded);
  }
  for (sched::Action& action : sched::Apply(shard.state, event, now)) {
    std::visit([&](auto& one) { Perform(id, std::move(one)); }, action);
  }
}

void OwnerDuty::GainShard(const ShardId& id, const RangeGained& gained,
                          Time now) {
  const Epoch epoch = gained.epoch;
  auto [entry, fresh] = m_shards.insert_or_assign(
      id, OwnedShard{sched::MakeShard(id, PolicyOf(m_wiring.settings),
                                      m_wiring.anchor),
                     epoch});
  entry->second.gained_at = gained.at;
  m_wiring.ledger.Post(LedgerShardGained{id});
  ApplyShard(id, sched::ConfigInForce{m_config.get()}, now);
  ApplyShard(id, sched::OwnershipChanged{epoch, MayStart(entry->second)}, now);
  FenceGainedShards(now);
  TellHosts(id, now);
  LinkTargets(id);
  RefreshShardViews(now);
}

/// What the former owner had heard of homes is lost with it. Until the homes'
/// epochs are known from a read of the store that began after this shard was
/// claimed, nothing is taken from any home: an older home's work could come
/// after the newer one was told that nothing is known (spec/at_most_once.pml,
/// NO_GUARD_VIEW). Every home is also told what runs here.
void OwnerDuty::FenceGainedShards(Time now) {
  std::vector<ShardId> ready;
  for (const auto& [id, shard] : m_shards) {
    if (!shard.fenced && m_routes_read_at >= shard.gained_at) {
      ready.push_back(id);
    }
  }
  for (const ShardId& id : ready) {
    m_shards.at(id).fenced = true;
    for (const auto& [range, record] : m_routes->owners) {
      const RangeName name = ParseRange(range);
      if (name.is_partition && record.epoch > 0) {
        ApplyShard(id, sched::Inquire{{name.partition, record.epoch}}, now);
      }
    }
  }
}

void OwnerDuty::LinkTargets(const ShardId& id) {
  std::vector<TargetSpec> targets;
  for (const TargetSpec& target : m_config->targets) {
    if (target.shard == id) {
      targets.push_back(target);
    }
  }
  m_wiring.targets->SetShard(id, m_shards.at(id).epoch, targets);
}

void OwnerDuty::TellHosts(const ShardId& id, Time now) {
  if (!m_hosts_known) {
    return;
  }
  for (const TargetSpec& target : m_config->targets) {
    if (target.shard != id) {
      continue;
    }
    const auto host = m_hosts_leaving.find(target.host);
    sched::TargetHealth health;
    health.target = target.id;
    // A host that the list does not show may be new: the list lags. Its links
    // tell whether it is reachable.
    health.leaving = host != m_hosts_leaving.end() && host->second;
    const auto condition = m_shards.at(id).state.target_index.find(target.id);
    if (condition == m_shards.at(id).state.target_index.end()) {
      continue;
    }
    const auto& known = m_shards.at(id).state.targets[condition->second];
    health.reachable = known.reachable;
    if (known.leaving != health.leaving) {
      LogLine("target_leaving")
          .With("target", target.id)
          .With("leaving", std::string_view(health.leaving ? "yes" : "no"));
      ApplyShard(id, health, now);
    }
  }
}

void OwnerDuty::DropShard(const ShardId& id) {
  m_wiring.targets->DropShard(id);
  m_wiring.ledger.Post(LedgerShardLost{id});
  m_shards.erase(id);
}

void OwnerDuty::FinishReleases(Time now) {
  std::vector<ShardId> done;
  for (const auto& [id, shard] : m_shards) {
    if (shard.releasing &&
        (shard.starts_open <= 0 || now >= shard.release_by)) {
      done.push_back(id);
    }
  }
  for (const ShardId& id : done) {
    DropShard(id);
    m_wiring.member.Post(RangeLetGo{ShardRange(id)});
  }
}

// ---- Actions ----------------------------------------------------------------

void OwnerDuty::Perform(const ShardId& shard, const sched::Start& action) {
  m_wiring.metrics.Count(Counter::kTasksStarted);
  LogLine("task_start")
      .With("task", action.task.Id())
      .With("attempt", std::uint64_t{action.task.attempt})
      .With("target", action.target)
      .With("epoch", action.epoch);
  ++m_shards.at(shard).starts_open;
  m_wiring.targets->Send(shard, action);
}

void OwnerDuty::Perform(const ShardId& shard, const sched::Stop& action) {
  m_wiring.metrics.Count(Counter::kTasksStopped);
  LogLine("task_stop")
      .With("task", action.task_id)
      .With("target", action.target);
  m_wiring.targets->Send(shard, action);
}

void OwnerDuty::SendHome(home::FromShard message, Partition partition) {
  if (m_home.partitions.contains(partition)) {
    m_local.emplace_back(HomeEvent{std::move(message)});
    return;
  }
  const auto* owner = m_routes->OwnerOf(PartitionRange(partition));
  if (owner != nullptr) {
    // Not sent: the home asks when it has an owner that can be reached.
    m_wiring.peers->Send(owner->owner, message);
  }
}

void OwnerDuty::Perform(const ShardId& shard, sched::Started action) {
  const Partition partition = action.home.partition;
  SendHome({shard, m_shards.at(shard).epoch, std::move(action)}, partition);
}

void OwnerDuty::Perform(const ShardId& shard, sched::Ended action) {
  const Partition partition = action.home.partition;
  SendHome({shard, m_shards.at(shard).epoch, std::move(action)}, partition);
}

void OwnerDuty::Perform(const ShardId& shard, sched::Known action) {
  const Partition partition = action.home.partition;
  SendHome({shard, m_shards.at(shard).epoch, std::move(action)}, partition);
}

void OwnerDuty::Perform(const ShardId& shard,
                        const sched::RequestGrant& action) {
  m_shards.at(shard).wanted[action.team] = action.slots;
  m_wiring.ledger.Post(GrantWanted{shard, action.team});
}

void OwnerDuty::Perform(const ShardId& shard, const sched::Wake& action) {
  Time& wake = m_shards.at(shard).wake;
  wake = std::min(wake, action.at);
}

}  // namespace buckthornmux::runtime
