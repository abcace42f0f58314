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

}  // namespace buckthornmux::member
