/// Links to the targets of the shards that this process owns: starts, stops,
/// lease renewals, reports and health. Replace this file and target_codec.h to
/// use another target protocol.
#pragma once

#include <functional>
#include <memory>
#include <span>

#include "buckthornmux/detail/core/types.h"
#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::target {

/// Time-outs and intervals of links.
struct TargetLinkOptions {
  /// Time-out of a start or stop. A renewal gets its wait and half of this.
  Millis call_timeout{1000};
  Millis renewal_interval{2000};  ///< Longest wait of one renewal call.
  /// A task ends itself if it is not renewed within this time.
  Millis task_lease{10'000};
  /// A target that has not answered for this time is reported unreachable.
  Millis unreachable_after{3000};
};

/// Called on an I/O thread with a StartAnswered, TaskEnded, TargetReport or
/// TargetHealth event for a shard.
using LinkEvent = std::function<void(const ShardId&, sched::Event)>;

/// @brief Runs one renewal loop for each target of the owned shards.
///
/// A renewal contains the shard's epoch, which fences older epochs at the
/// target. It renews the leases of the tasks and waits at the target for tasks
/// to end, so that an end is known within milliseconds.
class TargetLinks {
 public:
  TargetLinks(boost::asio::io_context& io, net::HttpClient& client,
              TargetLinkOptions options, LinkEvent on_event);
  ~TargetLinks();
  TargetLinks(const TargetLinks&) = delete;
  TargetLinks& operator=(const TargetLinks&) = delete;

  /// @brief Starts or changes the links of one owned shard.
  /// @param epoch this owner's epoch
  /// @param targets targets of the shard; links to its other targets end
  void SetShard(const ShardId& shard, Epoch epoch,
                std::span<const TargetSpec> targets);

  /// @brief Ends all links of a shard at once. No more requests are sent for
  ///   the shard.
  void DropShard(const ShardId& shard);

  /// @brief Sends a start; the answer is delivered as StartAnswered.
  ///
  /// After `start.start_by` the start is not sent. The StartAnswered then says
  /// that it was not accepted and can't have run.
  void Send(const ShardId& shard, const sched::Start& start);

  /// @brief Sends a stop; its effect is visible in the next report.
  void Send(const ShardId& shard, const sched::Stop& stop);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::target
