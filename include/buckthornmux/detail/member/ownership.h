/// Ownership of shards and partitions. Owner records in the store are claimed
/// by compare-and-swap and can be taken over once the owner's member lease has
/// expired. Pure: (state, event, now) -> actions.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "buckthornmux/detail/core/types.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::member {

/// An entry host as registered under its lease.
struct Member {
  HostId id;
  std::string incarnation;   ///< Unique for each start of the process.
  std::string peer_address;  ///< IP:port, TCP and UDP.
  std::string http_address;  ///< IP:port.
  DataCentre data_centre;
  bool leaving = false;           ///< Claims no ranges and hands over its own.
  std::uint32_t weight = 0;       ///< Relative capacity; 0: unknown.
  std::uint32_t cores_milli = 0;  ///< Processor share; 0: unknown.
  std::uint32_t link_kbps = 0;    ///< Network link; 0: unknown.
};

/// Owner record of a range, which is a shard of targets or a request partition.
struct OwnerRecord {
  std::string range;  ///< "shard/<id>" or "partition/<n>".
  HostId owner;       ///< Empty: released.
  std::string incarnation;
  Epoch epoch = 0;
  Revision revision = 0;     ///< Revision of the store key; 0: never written.
  std::uint32_t weight = 0;  ///< Weight of the last owner.

  bool operator==(const OwnerRecord&) const = default;
};

/// One member as this process sees it.
struct MemberView {
  Member member;
  bool registered = false;  ///< Its record exists in the store.
  bool heard = false;       ///< Heartbeats arrive.
  Revision config = 0;      ///< Configuration revision in its heartbeats.
};

// ---- Events ---------------------------------------------------------------

/// All shards and partitions of the configuration.
struct RangesWanted {
  struct Range {
    std::string name;        ///< "shard/<id>" or "partition/<n>".
    DataCentre data_centre;  ///< Preferred location of the owner; empty: any.
  };
  std::vector<Range> ranges;
};
/// Members and owner records as read from the store, at `read_at` or later.
/// The owners are read before the members. A process registers before it
/// claims, so an owner that is missing among the members has lost its
/// registration.
struct StoreView {
  Time read_at;
  std::vector<Member> members;
  std::vector<OwnerRecord> owners;
};
/// This process registered under a new lease and a new incarnation, after the
/// former lease had expired; the lease request was sent at `sent_at`.
struct Registered {
  std::string incarnation;
  Time sent_at;
};
/// This process renewed its member lease; the request was sent at `sent_at`.
struct LeaseRenewed {
  Time sent_at;
};
/// A compare-and-swap on an owner record completed.
struct ClaimAnswered {
  OwnerRecord record;  ///< The record that was to be written.
  /// kLost: the key had another revision; kUnavailable: the write had no
  /// effect; kUnknown: it may have had an effect.
  enum class End : std::uint8_t { kWritten, kLost, kUnavailable, kUnknown };
  End end = End::kWritten;
  Revision revision = 0;  ///< New revision of the key, if kWritten.
};
/// The caller has finished releasing a range after a Release action.
struct Released {
  std::string range;
};
/// Another process sent this owner record, which it read from the store.
struct OwnerRecordReceived {
  OwnerRecord record;
};
/// This process can't reach the store while others can. It has stopped serving
/// the range and lets any member claim it, although the record is unchanged.
struct Abandoned {
  std::string range;
};
/// The owner of `epoch` has abandoned the range and asks this process to claim
/// it.
struct Offered {
  std::string range;
  Epoch epoch = 0;
};
/// This process shuts down or is unhealthy and hands over all its ranges.
struct Leave {};
/// This process may claim ranges again after Leave.
struct Return {};
/// Time passed.
struct Tick {};

using Event = std::variant<RangesWanted, StoreView, Registered, LeaseRenewed,
                           ClaimAnswered, Released, OwnerRecordReceived,
                           Abandoned, Offered, Leave, Return, Tick>;

// ---- Actions --------------------------------------------------------------

/// Write the record if the key's revision is still `record.revision`.
struct Claim {
  OwnerRecord record;
};
/// This process became the owner of the range.
struct Gained {
  std::string range;
  Epoch epoch = 0;
};
/// Stop serving the range at once. Emitted for a served range when its record
/// no longer names this process or is missing, when this process abandons the
/// range, and when it registers again after its lease has expired. Expiry
/// of the lease alone does not cause it (see LeaseHeld). If the record names
/// this process with a new epoch, Gained follows.
struct Lost {
  std::string range;
};
/// Finish the work on the range, then send Released. The record is then written
/// without an owner, so that another member can claim it without delay.
struct Release {
  std::string range;
};
/// Whether this process holds its member lease, on its own clock. Starts that
/// need the lease (unfenced targets) wait while it does not.
struct LeaseHeld {
  bool held = false;
};

using Action = std::variant<Claim, Gained, Lost, Release, LeaseHeld>;

// ---- State ----------------------------------------------------------------

/// Limits and delays of ownership.
struct OwnershipOptions {
  Millis lease_ttl{6000};    ///< Time to live of the member lease.
  int drift_per_mille = 10;  ///< Maximum clock drift between two hosts.
  /// Wait before a range without a registered owner is claimed. There is none
  /// if the range was released, was offered to this process or was last owned
  /// by this host.
  Millis takeover_delay{500};
  /// Additional wait for a member with less than half of the last owner's
  /// weight, because a member with more capacity may be about to register. Such
  /// a member waits for both delays unless the range was offered to it.
  Millis stronger_member_delay{0};
  Millis max_view_age{3000};  ///< No claims are based on older views.
  Millis move_interval{500};  ///< Minimum time between rebalancing handovers.
  Millis claim_retry{500};    ///< Wait after a write that ended kUnavailable.
  Millis offer_valid{2000};   ///< Lifetime of an offer that was not accepted.
  bool rebalance = true;  ///< Whether to hand ranges to their wanted owners.
};

/// Ownership phase of a range in this process.
enum class OwnershipPhase : std::uint8_t {
  kNone,       ///< Not owned by this process.
  kOwned,      ///< Owned and served.
  kReleasing,  ///< Release was requested; waits for Released.
  kReleased,   ///< Released, but the record is not written yet.
};

/// Local state of one range.
struct RangeState {
  OwnerRecord record;  ///< Latest known record, by revision.
  Epoch highest = 0;   ///< Highest epoch seen; a claim uses the next one.
  OwnershipPhase ownership_phase = OwnershipPhase::kNone;
  Time known_at;                     ///< When `record` was written or read.
  std::optional<OwnerRecord> claim;  ///< Write in progress.
  Time claim_at;                     ///< Earliest time of the next write.
  std::optional<Time> view_after;    ///< The next write needs a view this new.
  std::optional<Time> ownerless;  ///< Time since which no owner is registered.
  Epoch abandoned = 0;  ///< Epoch whose owner has abandoned the range.
  Epoch offered = 0;    ///< Epoch named in the last offer to this process.
  Time offered_at;      ///< Time of the last offer.
};

/// State of the ownership decisions.
struct OwnershipState {
  Member self;
  OwnershipOptions options;
  std::vector<RangesWanted::Range> wanted;
  std::map<std::string, HostId, std::less<>> wanted_owners;
  std::map<std::string, RangeState, std::less<>> ranges;
  std::vector<Member> members;  ///< Members in the last view.
  std::optional<Time> read_at;  ///< Read time of the last view.
  Time lease_until;
  bool lease_held = false;
  Time next_move;
};

/// @brief Creates a state with no range and no lease.
/// @param self this process, as it registers
/// @param options limits and delays
[[nodiscard]] OwnershipState MakeOwnership(Member self,
                                           OwnershipOptions options);

/// @brief Applies one event.
/// @param state changed in place
/// @param event what happened
/// @param now time of the decision; must not decrease between calls
/// @return actions to perform, in this order
/// Complexity: linear in ranges and members; a new view or range list computes
/// ranges times members hashes.
/// @par Example
/// @code
/// auto state = MakeOwnership(self, {});
/// for (const Action& action : Apply(state, Tick{}, now)) { ... }
/// @endcode
[[nodiscard]] std::vector<Action> Apply(OwnershipState& state,
                                        const Event& event, Time now);

/// @brief Time until which the member lease is guaranteed to be valid. A start
///   sent to an unfenced target must carry a `start_by` no later than this.
[[nodiscard]] Time LeaseExpiry(const OwnershipState& state);

/// @brief Highest epoch of a range, provided that a view has been read since
///   another range was gained.
///
/// A new shard owner accepts work of a partition only from this epoch on. The
/// new owner does not know which epochs of the partition's owners (homes) its
/// predecessor had seen. Work sent by an older home could therefore arrive
/// after a newer home was told that no such work is known.
/// @param state current state
/// @param range for instance "partition/7"
/// @param gained an owned range, for instance "shard/3"
/// @return 0 if the range never had an owner; nothing while `gained` is not
///   owned or no view has been read since it was gained
/// @see spec/at_most_once.pml, NO_GUARD_VIEW
[[nodiscard]] std::optional<Epoch> EpochSince(const OwnershipState& state,
                                              std::string_view range,
                                              std::string_view gained);

/// @brief Whether no range is owned, being released or being claimed.
[[nodiscard]] bool OwnsNothing(const OwnershipState& state);

}  // namespace buckthornmux::member
