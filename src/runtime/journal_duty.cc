#include "buckthornmux/detail/runtime/journal_duty.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::runtime {
namespace {

constexpr Millis kRetryPause{200};
constexpr std::size_t kRecordsPerFlush = 2000;

/// A chain longer than this is replaced by a snapshot.
constexpr std::uint64_t kLongChain = 64;

}  // namespace

JournalDuty::JournalDuty(Wiring& wiring) : m_wiring(wiring) {}

WallMillis JournalDuty::Wall() const {
  return m_wiring.anchor.ToWall(m_wiring.Now());
}

Time JournalDuty::Step(std::vector<JournalMessage> messages, Time now) {
  for (JournalMessage& message : messages) {
    std::visit([&](auto& one) { Take(std::move(one), now); }, message);
  }
  for (auto& [id, partition] : m_partitions) {
    if (!partition.taken && !partition.dropping && now >= partition.next_try) {
      TryTake(id, partition, now);
    }
  }
  if (now >= m_next_write) {
    FlushNext(now);
  }
  std::erase_if(m_partitions, [&](const auto& entry) {
    return EndIfDropped(entry.first, entry.second);
  });
  return NextStep(now);
}

Time JournalDuty::NextStep(Time now) const {
  Time next = Time::max();
  for (const auto& [id, partition] : m_partitions) {
    if (!partition.taken) {
      next = std::min(next, partition.next_try);
    } else if (!partition.waiting.empty() && !partition.fenced) {
      next = std::min(next, std::max(partition.next_try, m_next_write));
    }
  }
  return std::max(next, now);
}

void JournalDuty::FlushNext(Time now) {
  PartitionId longest = 0;
  Partition* chosen = nullptr;
  for (auto& [id, partition] : m_partitions) {
    const bool due = partition.taken && !partition.fenced &&
                     !partition.waiting.empty() && now >= partition.next_try;
    if (due && (chosen == nullptr ||
                partition.waiting_since < chosen->waiting_since)) {
      longest = id;
      chosen = &partition;
    }
  }
  if (chosen != nullptr) {
    m_next_write = now + m_wiring.settings.journal_flush_every;
    Flush(longest, *chosen, now);
  }
}

void JournalDuty::Take(const TakePartition& message, Time now) {
  Partition& partition = m_partitions[message.partition];
  partition = Partition{};
  partition.epoch = message.epoch;
  partition.next_try = now;
}

void JournalDuty::Take(const DropPartition& message, Time /*now*/) {
  const auto found = m_partitions.find(message.partition);
  if (found == m_partitions.end()) {
    if (message.released) {
      m_wiring.member.Post(RangeLetGo{PartitionRange(message.partition)});
    }
    return;
  }
  found->second.dropping = true;
  found->second.released = message.released;
  found->second.next_try = Time{};
}

void JournalDuty::Take(home::Append message, Time now) {
  const auto found = m_partitions.find(message.partition);
  if (found == m_partitions.end()) {
    return;  // Dropped: the record's caller was told so.
  }
  Partition& partition = found->second;
  if (partition.waiting.empty()) {
    partition.waiting_since = now;
  }
  partition.waiting.push_back({message.sequence, std::move(message.record)});
}

void JournalDuty::TryTake(PartitionId id, Partition& partition, Time now) {
  const auto outcome = Capture([&] {
    return home::ClaimChain(m_wiring.store, id, partition.epoch, Wall());
  });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    m_wiring.metrics.Count(Counter::kStoreErrors);
    LogLine("journal_take_failed", LogLine::Level::kWarning)
        .With("partition", std::uint64_t{id})
        .With("epoch", partition.epoch)
        .With("error", AnswerFor(error->kind).name)
        .With("message", error->message);
    partition.next_try = now + kRetryPause;
    return;
  }
  const auto& taken = std::get<home::ClaimedChain>(outcome);
  partition.chain = taken.chain;
  partition.taken = true;
  LogLine("journal_taken")
      .With("partition", std::uint64_t{id})
      .With("epoch", partition.epoch)
      .With("records", std::uint64_t{taken.records.size()});
  m_wiring.owner.Post(
      HomeEvent{home::PartitionGained{{id, partition.epoch}, taken.records}});
}

void JournalDuty::SetDown(PartitionId id, Partition& partition, bool down) {
  if (partition.down != down) {
    partition.down = down;
    m_wiring.owner.Post(HomeEvent{home::JournalDown{id, down}});
  }
}

void JournalDuty::Acknowledge(PartitionId id, Partition& partition,
                              std::size_t count) {
  if (count == 0) {
    return;
  }
  const std::uint64_t sequence = partition.waiting[count - 1].sequence;
  partition.waiting.erase(
      partition.waiting.begin(),
      partition.waiting.begin() + static_cast<std::ptrdiff_t>(count));
  m_wiring.metrics.Count(Counter::kJournalRecords, count);
  m_wiring.owner.Post(HomeEvent{home::Journaled{id, sequence}});
}

void JournalDuty::Flush(PartitionId id, Partition& partition, Time now) {
  std::vector<home::JournalRecord> records;
  for (const Waiting& waiting : partition.waiting) {
    records.push_back(waiting.record);
    if (records.size() == kRecordsPerFlush) {
      break;
    }
  }
  const auto began = std::chrono::steady_clock::now();
  const auto outcome = Capture([&] {
    return home::AppendRecords(m_wiring.store, partition.chain, records);
  });
  m_wiring.metrics.Count(Counter::kJournalWrites);
  m_wiring.metrics.Record(Timing::kJournalWrite,
                          std::chrono::steady_clock::now() - began);
  if (const auto* error = std::get_if<Error>(&outcome)) {
    m_wiring.metrics.Count(Counter::kStoreErrors);
    LogLine("journal_write_failed", LogLine::Level::kWarning)
        .With("partition", std::uint64_t{id})
        .With("error", AnswerFor(error->kind).name)
        .With("message", error->message);
    partition.next_try = now + kRetryPause;
    if (error->kind == ErrorKind::kOwnerStale) {
      // A successor has the journal: this home must not answer any more.
      partition.fenced = true;
      m_wiring.owner.Post(HomeEvent{home::PartitionLost{id}});
    } else {
      SetDown(id, partition, true);
    }
    return;
  }
  Acknowledge(id, partition, std::get<std::size_t>(outcome));
  SetDown(id, partition, false);
  partition.waiting_since = now;
  CompactIfLong(id, partition);
}

void JournalDuty::CompactIfLong(PartitionId id, Partition& partition) {
  if (partition.chain.next - partition.chain.first < kLongChain) {
    return;
  }
  const auto outcome = Capture(
      [&] { return home::Compact(m_wiring.store, partition.chain, Wall()); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    m_wiring.metrics.Count(Counter::kStoreErrors);
    LogLine("journal_compact_failed", LogLine::Level::kWarning)
        .With("partition", std::uint64_t{id})
        .With("error", AnswerFor(error->kind).name);
  }
}

bool JournalDuty::EndIfDropped(PartitionId id, const Partition& partition) {
  if (!partition.dropping) {
    return false;
  }
  const bool written =
      partition.waiting.empty() || partition.fenced || !partition.taken;
  if (partition.released && !written) {
    return false;
  }
  if (partition.released) {
    m_wiring.member.Post(RangeLetGo{PartitionRange(id)});
  }
  return true;
}

}  // namespace buckthornmux::runtime
