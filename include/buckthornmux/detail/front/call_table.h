/// Open calls of callers, and where each has been sent.
/// Pure: (state, event, now) -> actions.
///
/// A call goes to the owner of its request's partition. When that owner
/// changes, or its link breaks, the call is sent again to the owner that is
/// known then: the home recognises a repeated request id, so that this is safe
/// for every kind of work.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/home/home.h"
#include "buckthornmux/detail/runtime/routes.h"

namespace buckthornmux::front {

/// What a call asks of the home.
using CallWork =
    std::variant<home::JobRequest, home::CancelJob, home::QueryJob>;

/// One open call.
struct OpenCall {
  CallWork work;
  Partition partition = 0;
  Time opened;
  Time deadline;   ///< Answered by then at the latest.
  HostId sent_to;  ///< Empty: not sent, or to be sent again.
  Epoch epoch = 0;
  int sends = 0;           ///< That may have reached an owner.
  bool copy_lost = false;  ///< An owner may apply it, or have, without a reply.
  Time next_try;
};

/// Every open call of one front.
struct CallTable {
  HostId self;
  std::uint64_t next_call = 1;
  std::map<std::uint64_t, OpenCall> calls;
};

/// Send a call to an owner; `host` may be the front's own.
struct SendCall {
  std::uint64_t call = 0;
  HostId host;
  CallWork work;
};
/// Answer the caller with an error of the front's own.
struct GiveUp {
  std::uint64_t call = 0;
  ErrorKind error = ErrorKind::kInternal;
  Ran ran = Ran::kNo;
};
using CallAction = std::variant<SendCall, GiveUp>;

/// @brief Opens a call.
/// @return its number, by which the answer is matched
std::uint64_t OpenNewCall(CallTable& table, CallWork work, Time now,
                          Time deadline);

/// @brief Sends what is due and gives up what is past its deadline.
/// @param routes who owns what
/// Complexity: linear in the open calls.
[[nodiscard]] std::vector<CallAction> Advance(CallTable& table,
                                              const runtime::Routes& routes,
                                              Time now);

/// @brief A message could surely not be sent to the owner.
void NotSent(CallTable& table, std::uint64_t call, Time now);

/// @brief A link broke: calls sent over it are to be sent again.
void LinkBroke(CallTable& table, const HostId& host, Time now);

/// @brief What a home's answer tells the caller. A refusal doesn't tell what
///   has become of a copy that was lost before.
[[nodiscard]] home::Reply AnswerForCaller(const CallTable& table,
                                          home::Reply reply);

/// @brief Whether a home's answer is final for the caller.
/// @return true where the call is closed now and the answer is the caller's;
///   false where the call is unknown, or goes to another owner
[[nodiscard]] bool TakeAnswer(CallTable& table, const home::Reply& reply,
                              Time now);

}  // namespace buckthornmux::front
