/// The journal duty: group commit of records into the platform's service.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "buckthornmux/detail/home/journal.h"
#include "buckthornmux/detail/runtime/wiring.h"

namespace buckthornmux::runtime {

/// @brief State and step of the journal duty; used by its thread alone.
///
/// This process writes at most once in a flush interval, the partition that has
/// waited longest first, with all of its records: so the write rate depends on
/// the number of entry hosts and not on the load.
class JournalDuty {
 public:
  explicit JournalDuty(Wiring& wiring);

  /// @brief Takes messages, writes what is due.
  /// @return when to be called again at the latest
  Time Step(std::vector<JournalMessage> messages, Time now);

 private:
  struct Waiting {
    std::uint64_t sequence = 0;
    home::JournalRecord record;
  };
  struct Partition {
    home::Chain chain;
    std::deque<Waiting> waiting;
    bool taken = false;   ///< The chain is this process's.
    bool fenced = false;  ///< Another epoch has the chain.
    bool down = false;
    bool dropping = false;
    bool released = false;
    Epoch epoch = 0;
    Time next_try;
    Time waiting_since;
  };
  using PartitionId = buckthornmux::Partition;

  void Take(const TakePartition& message, Time now);
  void Take(const DropPartition& message, Time now);
  void Take(home::Append message, Time now);

  void TryTake(PartitionId id, Partition& partition, Time now);
  void FlushNext(Time now);
  void Flush(PartitionId id, Partition& partition, Time now);
  [[nodiscard]] Time NextStep(Time now) const;
  void SetDown(PartitionId id, Partition& partition, bool down);
  void Acknowledge(PartitionId id, Partition& partition, std::size_t count);
  void CompactIfLong(PartitionId id, Partition& partition);
  bool EndIfDropped(PartitionId id, const Partition& partition);
  [[nodiscard]] WallMillis Wall() const;

  Wiring& m_wiring;
  std::map<PartitionId, Partition> m_partitions;
  Time m_next_write;
};

}  // namespace buckthornmux::runtime
