/// Who owns which shard and partition: records in the store, taken by
/// compare-and-swap, lost when the owner's member lease is gone.
/// Pure: (state, event, now) -> actions.
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
  std::string incarnation;   ///< New with each start of the process.
  std::string peer_address;  ///< IP:port, TCP and UDP.
  std::string http_address;  ///< IP:port.
  DataCentre data_centre;
  bool leaving = false;      ///< Claims nothing, hands over what it owns.
  std::uint32_t weight = 0;  ///< What it can carry, against others; 0: unknown.
};

/// Record of an owned range: a shard of targets or a request partition.
struct OwnerRecord {
  std::string range;  ///< "shard/<id>" or "partition/<n>".
  HostId owner;       ///< Empty: released.
  std::string incarnation;
  Epoch epoch = 0;
  Revision revision = 0;     ///< Of the store key; 0: never written.
  std::uint32_t weight = 0;  ///< Of the last owner.

  bool operator==(const OwnerRecord&) const = default;
};

/// One member as this process sees it.
struct MemberView {
  Member member;
  bool registered = false;  ///< Its record stands in the store.
  bool heard = false;       ///< Heartbeats arrive.
  Revision config = 0;      ///< Revision in force there, from heartbeats.
};

// ---- Events ---------------------------------------------------------------

/// The wanted ranges, from the configuration: every shard and partition.
struct RangesWanted {
  struct Range {
    std::string name;        ///< "shard/<id>" or "partition/<n>".
    DataCentre data_centre;  ///< Owners there are preferred; empty: anywhere.
  };
  std::vector<Range> ranges;
};
/// Members and owner records as read from the store, at `read_at` or later.
/// The owners are read before the members: an owner that is missing among the
/// members is then surely gone, because it had registered before it claimed.
struct StoreView {
  Time read_at;
  std::vector<Member> members;
  std::vector<OwnerRecord> owners;
};
/// This process registered under a new lease and a new incarnation, after the
/// former lease had lapsed; the lease request left at `sent_at`.
struct Registered {
  std::string incarnation;
  Time sent_at;
};
/// This process renewed its member lease; the request left at `sent_at`.
struct LeaseRenewed {
  Time sent_at;
};
/// A compare-and-swap on an owner record ended.
struct ClaimAnswered {
  OwnerRecord record;  ///< As it was to be written.
  enum class End : std::uint8_t { kWritten, kLost, kUnavailable, kUnknown };
  End end = End::kWritten;
  Revision revision = 0;  ///< Of the key since the write, where kWritten.
};
/// The caller of this module has let go of a range it was told to release.
struct Released {
  std::string range;
};
/// Another process has read this owner record from the store.
struct OwnerHeard {
  OwnerRecord record;
};
/// This process can't reach the store while others can: it has stopped to serve
/// the range and lets anyone claim it, without a word in the record.
struct Abandoned {
  std::string range;
};
/// The owner of that epoch has abandoned the range and asks this process to
/// claim it.
struct Offered {
  std::string range;
  Epoch epoch = 0;
};
/// This process shuts down or is not well: hand over everything.
struct Leave {};
/// This process takes part again after it had left.
struct Return {};
/// Time passed.
struct Tick {};

using Event = std::variant<RangesWanted, StoreView, Registered, LeaseRenewed,
                           ClaimAnswered, Released, OwnerHeard, Abandoned,
                           Offered, Leave, Return, Tick>;

// ---- Actions --------------------------------------------------------------

/// Write the record if the key's revision is still `record.revision`.
struct Claim {
  OwnerRecord record;
};
/// This process owns the range from now on.
struct Gained {
  std::string range;
  Epoch epoch = 0;
};
/// Stop at once: the range is another's, or the lease has run out with no
/// fence to rely on.
struct Lost {
  std::string range;
};
/// Finish and let go of the range; answer with Released, upon which its record
/// is written without an owner, for another to claim at once.
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

/// Bounds and delays of ownership.
struct OwnershipOptions {
  Millis lease_ttl{6000};      ///< Of the member lease in the store.
  int drift_per_mille = 10;    ///< Clocks of two hosts differ by less.
  Millis takeover_delay{500};  ///< Since a range was seen without an owner that
                               ///< is registered; released ranges wait none.
  /// Longer than that, for a member of under half of the last owner's weight:
  /// one that carries more may be about to register.
  Millis fitter_wait{0};
  Millis max_view_age{3000};  ///< Older views are not acted upon.
  Millis move_interval{500};  ///< Between two handovers for balance.
  Millis claim_retry{500};    ///< After a claim without effect.
  Millis offer_valid{2000};   ///< An offer that was not taken is void then.
  bool rebalance = true;      ///< Hand ranges over to their wanted owners.
};

/// Where this process stands with a range.
enum class Standing : std::uint8_t {
  kNone,       ///< Not ours.
  kOwned,      ///< Gained, in service.
  kReleasing,  ///< Release was asked for, Released is awaited.
  kReleased,   ///< Let go of; the record has still to be written.
};

/// One range as this process knows it.
struct RangeState {
  OwnerRecord record;  ///< The latest known, by revision.
  Epoch highest = 0;   ///< Highest epoch ever seen; the next one is above it.
  Standing standing = Standing::kNone;
  Time known_at;                     ///< When `record` was written or read.
  std::optional<OwnerRecord> claim;  ///< Claim sent and not answered yet.
  Time claim_at;                     ///< No further claim before this time,
  std::optional<Time> view_after;    ///< nor before a view read since then.
  std::optional<Time> ownerless;     ///< Since when no registered owner.
  Epoch abandoned = 0;  ///< The owner of this epoch serves the range no more.
  Epoch offered = 0;    ///< ...and this process was asked to claim it...
  Time offered_at;      ///< ...at this time.
};

/// All that ownership decides from.
struct OwnershipState {
  Member self;
  OwnershipOptions options;
  std::vector<RangesWanted::Range> wanted;
  std::map<std::string, HostId, std::less<>> wanted_owners;
  std::map<std::string, RangeState, std::less<>> ranges;
  std::vector<Member> members;  ///< Of the last view.
  std::optional<Time> read_at;  ///< Of the last view.
  Time lease_until;
  bool lease_held = false;
  Time next_move;
};

/// @brief Starts with no range and no lease.
/// @param self this process, as it registers
/// @param options bounds and delays
[[nodiscard]] OwnershipState MakeOwnership(Member self,
                                           OwnershipOptions options);

/// @brief Decides upon one event.
/// @param state changed in place
/// @param event what happened
/// @param now time of the decision, never before that of the last one
/// @return what to do, in this order
/// Complexity: linear in ranges and members; a view that changes members or
/// ranges costs ranges times members hashes.
/// @par Example
/// @code
/// auto state = MakeOwnership(self, {});
/// for (const Action& action : Apply(state, Tick{}, now)) { ... }
/// @endcode
[[nodiscard]] std::vector<Action> Apply(OwnershipState& state,
                                        const Event& event, Time now);

/// @brief Time up to which the member lease surely stands: a start that an
///   unfenced target is sent must carry a `start_by` no later than this.
[[nodiscard]] Time LeaseEnds(const OwnershipState& state);

/// @brief Highest epoch of a range in a view that was read since another range
///   was gained.
///
/// A new shard owner takes work of a partition only from this epoch on: what
/// its predecessor had heard of homes is lost with it, and an older home's work
/// could come after the newer one was told that nothing is known.
/// @param state as it stands
/// @param range for instance "partition/7"
/// @param gained an owned range, for instance "shard/3"
/// @return 0 where the range never had an owner; nothing while `gained` is not
///   owned or no view has been read since it was
/// @see spec/at_most_once.pml, NO_GUARD_VIEW
[[nodiscard]] std::optional<Epoch> EpochSince(const OwnershipState& state,
                                              std::string_view range,
                                              std::string_view gained);

/// @brief Whether nothing is owned nor waits to be released any more.
[[nodiscard]] bool OwnsNothing(const OwnershipState& state);

}  // namespace buckthornmux::member
