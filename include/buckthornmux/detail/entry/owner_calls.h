/// Forwarded calls at the owner of the cell, from their arrival to the reply.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"
#include "buckthornmux/detail/entry/call_guard.h"

namespace buckthornmux::entry {

/// A call that waits until its result is stored.
struct OwnerCall {
  HostId from;
  std::uint64_t call = 0;
  std::uint32_t attempt = 0;
  CallKind kind = CallKind::kSubmit;
  std::string job;
  Epoch epoch = 0;
};

struct OwnerCalls {
  std::map<cell::CallId, OwnerCall> open;
  cell::CallId next = 1;
  RefusedCalls refused;
};

struct AddressedReply {
  HostId to;
  CellReply reply;
};

/// @brief Refuses a call that the cell must not see. The outcome is unknown if
///   the cell has what the call asks for, since that may be stored.
/// @param cell null if this host has no cell that is loaded
[[nodiscard]] CellReply RefuseCall(OwnerCalls& calls, const cell::Cell* cell,
                                   const CellCall& call, ErrorKind error,
                                   std::string message, Time now);

/// @brief Applies a call to a cell that is loaded. A stale call is dropped: it
///   is refused with kOwnerStale, so that a sender that still waits sends it
///   anew.
/// @return the reply; nothing if the cell answers later by an action
[[nodiscard]] std::optional<CellReply> ApplyCall(
    OwnerCalls& calls, cell::Cell& cell, cell::Actions& actions,
    const HostId& from, const CellCall& call, Time now);

/// @brief Takes the reply that the cell's answer gives; nothing if the call has
///   a reply already.
[[nodiscard]] std::optional<AddressedReply> TakeReply(
    OwnerCalls& calls, const cell::AnswerSubmit& answer, Time now);
[[nodiscard]] std::optional<AddressedReply> TakeReply(
    OwnerCalls& calls, const cell::AnswerCancel& answer, Time now);

/// @brief Takes the replies to all calls when the cell is closed.
[[nodiscard]] std::vector<AddressedReply> CloseCalls(OwnerCalls& calls);

}  // namespace buckthornmux::entry
