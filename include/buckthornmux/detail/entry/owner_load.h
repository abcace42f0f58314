/// Measures what the cell needs of its owner, and detects an owner that is
/// overloaded. Pure: samples and times are passed in.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/entry/fitness.h"

namespace buckthornmux::entry {

/// Interval between samples.
inline constexpr Millis kOwnerSampleInterval{250};
/// How much more than the need at its recent peak a fit host carries.
inline constexpr double kNeedMargin = 1.5;
/// Minimum time that an overloaded owner keeps the cell, since its reading of
/// the records is a load as well.
inline constexpr Millis kMinOverloadedOwnership{3000};
/// Minimum time between two hand-overs because of overload.
inline constexpr Millis kOverloadHandoverInterval{10'000};
/// How long a host that was overloaded does not get the cell for that reason.
inline constexpr Millis kOverloadedHostPause{30'000};

/// Resource that limits an owner.
enum class OwnerResource : std::uint8_t { kProcessor, kLink };

[[nodiscard]] std::string_view NameOf(OwnerResource resource);

/// Measurements of an owner over one interval.
struct OwnerSample {
  Millis span{0};
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  std::chrono::microseconds busy{0};  ///< Processor time of the process.
  Millis peer_delay{0};   ///< FastestQuarter of the delays of its links.
  Millis start_delay{0};  ///< CallDelays::Typical of starts at targets.
};

/// @brief Returns the delay that a quarter of the links do not exceed. A host
///   that is slow itself delays its own link only, a full link of the owner
///   delays all of them. 0 if there are no links.
[[nodiscard]] Millis FastestQuarter(std::vector<Millis> delays);

/// @brief Durations of recent calls, including those that are unanswered.
class CallDelays {
 public:
  void Began(Time began) { m_open.insert(began); }
  void Ended(Time began, Time now);
  /// @brief Median over open calls and those that ended lately; 0 if there are
  ///   too few.
  [[nodiscard]] Millis Typical(Time now);

 private:
  struct EndedCall {
    Time at;
    Millis took;
  };
  std::multiset<Time> m_open;
  std::deque<EndedCall> m_ended;
};

/// @brief Keeps the need of the cell's traffic at its recent peak, and decides
///   whether the owner is overloaded.
class OwnerLoadGauge {
 public:
  /// @brief Adds one sample, which need not be of the exact interval.
  void Add(const OwnerSample& sample);
  /// @brief Discards everything measured, when this host becomes the owner.
  void Restart() { *this = {}; }
  /// @brief Need during the last second.
  [[nodiscard]] HostNeed Current() const;
  /// @brief Need at the peak of the last minute; nothing before enough has been
  ///   measured.
  [[nodiscard]] std::optional<HostNeed> Peak() const;
  /// @brief Returns the limiting resource of an owner that is overloaded: its
  ///   messages or starts are delayed, and it uses the resource. Without use, a
  ///   delay is caused by others.
  [[nodiscard]] std::optional<OwnerResource> Overloaded(
      const HostCapacity& capacity) const;

 private:
  OwnerSample m_sum;               ///< Of the second that is being measured.
  std::deque<HostNeed> m_seconds;  ///< Oldest first.
  std::deque<bool> m_delayed;      ///< Whether recent samples had a delay.
};

/// @brief Whether a host carries a need with a margin. A resource that is not
///   configured counts as sufficient.
[[nodiscard]] bool Carries(const HostCapacity& capacity, const HostNeed& need);

/// @brief Returns members with the weights that the need gives them. Members
///   whose capacity is unknown keep their registered weight.
[[nodiscard]] std::vector<member::Member> Weighed(
    std::span<const member::Member> members, const HostNeed& need);

[[nodiscard]] HostCapacity CapacityOf(const member::Member& member);

/// @brief Whether two members have unlike links or processors. Owners hand over
///   because of overload only among such hosts. Members of earlier builds,
///   whose capacity is unknown, are not compared.
[[nodiscard]] bool HasUnlikeHosts(std::span<const member::Member> members);

/// @brief Whether an owner hands the cell over to a host with enough capacity:
///   it doesn't carry the need itself, or that is not measured yet, and its
///   weight is less than half of the other one's.
/// @param best_weight weight of the best successor for the same need
[[nodiscard]] bool ShouldCede(const HostCapacity& own,
                              const std::optional<HostNeed>& peak,
                              std::uint32_t best_weight);

/// Hosts that handed the cell over because they were overloaded or did not
/// carry the measured need. The next owner, which has not measured the need
/// yet, would hand the cell back by the default need.
using OverloadedHosts = std::map<HostId, Time>;

/// @brief Whether the host was overloaded within kOverloadedHostPause.
[[nodiscard]] bool OverloadedLately(const OverloadedHosts& overloaded,
                                    const HostId& host, Time now);

/// An owner that is overloaded.
struct OverloadedOwner {
  HostCapacity capacity;
  OwnerResource limiting = OwnerResource::kLink;
  HostNeed need;
  Time gained_at;
};

/// @brief Chooses the host to which an overloaded owner hands over.
/// @param candidates reachable hosts that may own the cell; the first of equal
///   ones is taken
/// @return the host with the most capacity for the need among those that have
///   twice the owner's capacity of the limiting resource and more capacity
///   altogether, and were not overloaded lately; nothing if there is none, or
///   if it is too early for another hand-over
[[nodiscard]] std::optional<HostId> ChooseSuccessor(
    const OverloadedOwner& owner, std::span<const member::Member> candidates,
    const OverloadedHosts& overloaded, Time now);

}  // namespace buckthornmux::entry
