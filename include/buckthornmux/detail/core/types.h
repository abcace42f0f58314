/// Types used by all parts: teams, targets, tasks and resources.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux {

using TeamName = std::string;
using KindName = std::string;  ///< Kind of work, declared in the rules.
using TargetId = std::string;
using HostId = std::string;  ///< An entry host of this system.
using DataCentre = std::string;
using ShardId = std::string;      ///< Group of targets in one data centre.
using Partition = std::uint32_t;  ///< Range of request ids that share a home.
using Epoch = std::uint64_t;  ///< Increases by one with each change of owner.
using Revision = std::uint64_t;  ///< Configuration or store key revision.

/// Capacity of a target or demand of a task. A task fits on a target only if
/// it fits in every field.
struct Resources {
  std::int64_t slots = 0;
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const Resources&) const = default;

  Resources& operator+=(const Resources& other) {
    slots += other.slots;
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    slots -= other.slots;
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  /// @brief Whether this demand fits into the free capacity `room`.
  [[nodiscard]] bool FitsIn(const Resources& room) const {
    return slots <= room.slots && cpu_milli <= room.cpu_milli &&
           memory_mb <= room.memory_mb && accelerators <= room.accelerators;
  }
};

/// Scheduling class of a kind of work.
enum class WorkClass : std::uint8_t {
  kUrgent,   ///< Answered while the caller waits.
  kPatient,  ///< Finished by its deadline.
  kService,  ///< Runs until it is cancelled.
};

/// One task of a job, as sent to a shard.
struct TaskSpec {
  std::string job;            ///< Request id of the job, unique in its team.
  std::uint32_t index = 0;    ///< Index of the task within its job.
  std::uint32_t attempt = 1;  ///< Increases with each attempt; sent in answers.
  TeamName team;
  KindName kind;
  WorkClass work_class = WorkClass::kUrgent;
  bool idempotent = false;
  bool open_to_all = false;  ///< Its queue needs no team key.
  Resources demand;
  Millis expected_run{0};
  WallMillis deadline = 0;  ///< 0: none.
  /// If above 1, this many tasks of the job start together or not at all.
  std::uint32_t gang_size = 1;
  std::vector<std::string> labels;  ///< A target must have all of them.
  std::string payload;

  /// @brief Name of the task at targets: team, job and index.
  [[nodiscard]] std::string Id() const {
    return team + "/" + job + "/" + std::to_string(index);
  }
};

/// How a task ended.
enum class TaskEnd : std::uint8_t {
  kDone,       ///< Ran to completion; the result is complete.
  kFailed,     ///< Ran and failed.
  kNotRun,     ///< Was never sent to a target.
  kUnknown,    ///< May have run.
  kCancelled,  ///< Stopped or withdrawn at the caller's request.
};

/// Declaration of a target in the inventory.
struct TargetSpec {
  TargetId id;
  std::string address;  ///< IP:port.
  DataCentre data_centre;
  std::string rack;
  std::string host;
  ShardId shard;  ///< Assigned by `apply`, fixed for the target's life.
  Resources capacity;
  std::int64_t connections = 64;  ///< Maximum number of connections it accepts.
  std::vector<std::string> labels;
};

}  // namespace buckthornmux
