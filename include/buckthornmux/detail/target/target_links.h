/// Links to the targets of the shards that this process owns: starts, stops,
/// lease renewal, reports, health. The users' own target protocol would be put
/// in place here and in target_codec.h.
#pragma once

#include <functional>
#include <memory>
#include <span>

#include "buckthornmux/detail/core/types.h"
#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::target {

/// Timing of links.
struct TargetLinkOptions {
  Millis call_timeout{1000};  ///< For starts and stops.
  Millis renew_every{2000};   ///< Longest wait of one renewal call.
  Millis task_lease{10'000};  ///< A task ends itself unless renewed for this
                              ///< long.
  Millis unreachable_after{3000};  ///< Without an answer.
};

/// Takes what the links learn, from an I/O thread: StartAnswered, TaskEnded,
/// TargetReport or TargetHealth for a shard.
using LinkEvent = std::function<void(const ShardId&, sched::Event)>;

/// @brief One renewal loop for each target of the owned shards.
///
/// A renewal carries the shard's epoch (which fences older ones at the
/// target), renews the leases of the tasks, and waits at the target for ends of
/// tasks, so that they are known within milliseconds.
class TargetLinks {
 public:
  TargetLinks(boost::asio::io_context& io, net::HttpClient& client,
              TargetLinkOptions options, LinkEvent on_event);
  ~TargetLinks();
  TargetLinks(const TargetLinks&) = delete;
  TargetLinks& operator=(const TargetLinks&) = delete;

  /// @brief Starts or changes the links of one owned shard.
  /// @param shard shard
  /// @param epoch this owner's epoch
  /// @param targets its targets; links to others of the shard end
  void SetShard(const ShardId& shard, Epoch epoch,
                std::span<const TargetSpec> targets);

  /// @brief Ends all links of a shard at once: nothing more is sent for it.
  void DropShard(const ShardId& shard);

  /// @brief Sends a start; the answer comes as StartAnswered.
  /// Not sent after `start.start_by`: answered as not accepted, not run.
  void Send(const ShardId& shard, const sched::Start& start);

  /// @brief Sends a stop; its effect shows in the next report.
  void Send(const ShardId& shard, const sched::Stop& stop);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::target
