/// Who owns which shard and partition: records in the store, taken by
/// compare-and-swap, lost when the owner's member lease is gone.
/// Pure: (state, event, now) -> actions.
#pragma once

#include <string>
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
  bool leaving = false;  ///< Claims nothing, hands over what it owns.
};

/// Record of an owned range: a shard of targets or a request partition.
struct OwnerRecord {
  std::string range;  ///< "shard/<id>" or "partition/<n>".
  HostId owner;       ///< Empty: released.
  std::string incarnation;
  Epoch epoch = 0;
  Revision revision = 0;  ///< Of the store key; 0: never written.
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
struct StoreView {
  Time read_at;
  std::vector<Member> members;
  std::vector<OwnerRecord> owners;
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
};
/// The caller of this module has let go of a range it was told to release.
struct Released {
  std::string range;
};
/// This process shuts down: hand over everything.
struct Leave {};
/// Time passed.
struct Tick {};

using Event = std::variant<RangesWanted, StoreView, LeaseRenewed, ClaimAnswered,
                           Released, Leave, Tick>;

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

}  // namespace buckthornmux::member
