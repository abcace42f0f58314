/// A cell, its targets and its store, step by step, for tests of what one owner
/// leaves to the next.
#pragma once

#include <cppunit/TestAssert.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"
#include "plain_cell.h"

namespace buckthornmux::tests {

/// Records by key, as the store holds them.
using Records = std::map<std::string, cell::RecordWrite>;

/// A target with room for one task of PlainJob.
inline cell::TargetEntry Entry(const std::string& id,
                               const std::string& address) {
  cell::TargetEntry entry;
  entry.id = id;
  entry.service = "service";
  entry.address = address;
  entry.life = 1;
  entry.capacity = {0, 1000, 32'768, 0};
  return entry;
}

/// @brief Opens a cell on the records of former owners.
/// @param former_lease_left how long the former owner may renew leases yet
inline cell::Cell Open(Epoch epoch, const Records& stored,
                       const std::vector<cell::TargetEntry>& entries, Time now,
                       Millis former_lease_left = Millis(0)) {
  std::vector<cell::RecordWrite> records;
  records.reserve(stored.size());
  for (const auto& [key, write] : stored) {
    records.push_back(write);
  }
  cell::Cell owned;
  cell::Actions actions;
  owned.epoch = epoch;
  owned.claimed_at = now;
  owned.former_renewals_until = now + former_lease_left;
  cell::Rules rules;
  rules.queues = {PlainQueue("plain")};
  cell::SetRules(owned, actions, rules, now);
  CPPUNIT_ASSERT(!std::holds_alternative<Error>(
      Capture([&] { return cell::LoadRecords(owned, records, now); })));
  cell::SetTargets(owned, actions, entries, now, now);
  cell::StartService(owned, actions, now);
  return owned;
}

/// @brief Has a target answer a report call at once, in life 1.
inline void Report(cell::Cell& owned, const std::string& id, Time now,
                   std::vector<cell::RunningReport> running = {},
                   std::vector<cell::EndReport> ended = {}) {
  cell::Actions actions;
  cell::OnReportSent(owned, id, {}, now);
  cell::Reported(owned, actions, id,
                 {.life = 1,
                  .clock_ms = 5,
                  .running = std::move(running),
                  .ended = std::move(ended)},
                 now, now);
}

/// @brief Stores everything that the cell has to write.
inline void Store(cell::Cell& owned, Records& stored, Time now) {
  constexpr std::size_t kMaxBatchWrites = 29;
  while (auto batch = cell::TakeBatch(owned, kMaxBatchWrites, now)) {
    for (const auto& write : batch->writes) {
      if (write.erase) {
        stored.erase(write.key);
      } else {
        stored[write.key] = write;
      }
    }
    cell::Actions actions;
    cell::OnBatchStored(owned, actions, *batch, now);
  }
}

}  // namespace buckthornmux::tests
