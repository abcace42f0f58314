/// A caller's request between its arrival at a host and its response: to which
/// owner it is forwarded, how long it waits, and how it ends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "buckthornmux/detail/entry/calls.h"

namespace buckthornmux::entry {

/// Result of forwarding a call to the owner of the cell.
enum class ForwardResult : std::uint8_t { kSent, kNoOwner, kUnreachable };

/// A request without a response.
struct OpenCall {
  CellCall call;
  HostId sent_to;  ///< Empty while the call waits for an owner.
  /// Epoch of the last owner that may have applied a copy of the call without a
  /// reply.
  std::optional<Epoch> in_doubt;
  Time began;
  Time deadline;
  /// When the call ends if it still waits for an owner.
  Time owner_deadline;
  Time forward_at;  ///< Earliest time to forward it again.
  Time sent_at;     ///< Start of the last attempt.
  /// Why no owner has accepted the call.
  ErrorKind no_owner_reason = ErrorKind::kOwnerUnknown;
};

/// What a reply means for an open call.
enum class ReplyUse : std::uint8_t {
  kIgnored,  ///< The call goes on as if there were no reply.
  kWaits,    ///< The call waits for the next owner.
  kEnds,     ///< The call ends with the reply.
};

/// What a call that must not wait any longer does.
enum class CallStep : std::uint8_t { kWait, kForward, kEnd };

/// How a call ends without a positive reply.
struct CallFailure {
  bool unknown = false;  ///< The call may have had an effect, or may yet.
  ErrorKind error = ErrorKind::kInternal;
  std::string reason;
  Millis retry_after{0};  ///< 0: as usual for the error.
};

/// @brief Opens a call.
/// @param patience time until the response is due
/// @param owner_expected whether a new owner replaces a lost one soon
[[nodiscard]] OpenCall BeginCall(CellCall call, Millis patience,
                                 bool owner_expected, Time now);

/// @brief Prepares the next attempt.
void BeginAttempt(OpenCall& open, Time now);

/// @brief Records the result of an attempt. The owner may already have replied
///   to it.
/// @param to host that the call was sent to
void EndAttempt(OpenCall& open, ForwardResult result, const HostId& to,
                Time now);

/// @brief Makes the call wait for the next owner if it was sent to a lost host.
void NoteHostLost(OpenCall& open, const HostId& host, Time now);

/// @brief Applies a reply of an owner.
[[nodiscard]] ReplyUse ApplyReply(OpenCall& open, const CellReply& reply,
                                  bool owner_expected, Time now);

/// @brief What is due for the call.
[[nodiscard]] CallStep NextStep(const OpenCall& open, Time now);

/// @brief How a call ends that got no owner or no reply in time.
[[nodiscard]] CallFailure OverdueFailure(const OpenCall& open);

/// @brief How a call ends whose reply is kRefused or kUnknown.
[[nodiscard]] CallFailure FailureOf(const OpenCall& open,
                                    const CellReply& reply);

}  // namespace buckthornmux::entry
