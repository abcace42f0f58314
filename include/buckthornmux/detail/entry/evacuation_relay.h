/// Lets an owner that the store rejects get the evacuation requests from other
/// hosts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/entry/evacuation_reader.h"

namespace buckthornmux::entry {

/// Functions of the surrounding process that EvacuationRelay uses.
struct EvacuationRelayLinks {
  std::function<std::vector<HostId>()> peers;  ///< Reachable hosts.
  std::function<void(const HostId& to, const EvacuationQuery& query)>
      send_query;
  std::function<void(const HostId& to, const EvacuationStatus& status)>
      send_status;
};

/// @brief Queries other hosts while the store doesn't serve this one, and
///   answers their queries.
///
/// A host that doesn't own the cell reads the requests only after a query, so
/// the first reply to a query may lack the list. The age of a list is counted
/// back from the time when the query was sent, as in StoreRelay.
class EvacuationRelay {
 public:
  EvacuationRelay(EvacuationReader& reader, EvacuationRelayLinks links);

  /// @param store_fails whether the store doesn't serve this host
  void Tick(bool store_fails, Time now);
  void HandleQuery(const HostId& from, const EvacuationQuery& query, Time now);
  void HandleStatus(const EvacuationStatus& status);

 private:
  EvacuationReader& m_reader;
  EvacuationRelayLinks m_links;
  std::map<std::uint64_t, Time> m_asks;  ///< Open queries and their send times.
  std::uint64_t m_next_ask = 1;
  std::size_t m_next_peer = 0;
  Time m_ask_at;  ///< When the next round of queries is sent.
};

}  // namespace buckthornmux::entry
