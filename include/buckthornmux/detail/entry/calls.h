/// Messages about a cell between entry hosts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/state.h"
#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::entry {

enum class CallKind : std::uint8_t { kSubmit, kCancel, kQuery, kPending };

/// A caller's call on its way to the cell's owner.
struct CellCall {
  std::uint64_t call = 0;     ///< Names it at the sender.
  std::uint32_t attempt = 0;  ///< Of handing it on; echoed.
  CallKind kind = CallKind::kQuery;
  cell::QueueName queue;
  TeamName team;
  std::string job;
  cell::JobSpec spec;  ///< Of a submit.
  Millis patience{0};  ///< The sender gives up after this.
};

enum class CallEnd : std::uint8_t {
  kAccepted,   ///< Stored.
  kRefused,    ///< Not taken, and never will be by this call.
  kUnknown,    ///< It can't be told.
  kPhase,      ///< `phase` holds.
  kCancelled,  ///< Cancelled, or had ended before.
  kNoSuchJob,
  kPending,  ///< `pending` holds.
};

/// The owner's answer.
struct CellReply {
  std::uint64_t call = 0;
  std::uint32_t attempt = 0;
  CallEnd end = CallEnd::kUnknown;
  cell::JobPhase phase = cell::JobPhase::kQueued;
  std::uint32_t pending = 0;
  ErrorKind error = ErrorKind::kInternal;
  std::string message;
};

/// The owner asks the adviser through another host.
struct AdviceAsk {
  std::uint64_t ask = 0;
  Epoch epoch = 0;  ///< Of the asking owner; echoed.
  cell::StepRef step;
  std::vector<TargetId> targets;
  Millis timeout{0};
};

/// A host that the store rejects asks another one what it has read there.
struct StoreQuery {
  std::uint64_t ask = 0;
  Revision rules_known = 0;  ///< Revision of the configuration that it has.
};

struct StoreStatus {
  std::uint64_t ask = 0;
  Millis served_age{0};   ///< Since the start of the last call answered well.
  Millis answer_time{0};  ///< That call took.
  bool may_own = false;   ///< Would take the cell over.
  Revision rules_revision = 0;
  Millis rules_age{0};        ///< Since this revision was surely the newest.
  std::string rules_text;     ///< Where the asking host has an older one.
  member::OwnerRecord owner;  ///< Without a range where none is registered.
};

/// The range is abandoned, by the sender or by an owner that nobody hears of;
/// the receiver is asked to claim it.
struct RangeOffer {
  std::string range;
  Epoch epoch = 0;
  /// The owner has not let go of it: it is only suspected to be gone.
  bool suspected = false;
};

/// The former owner, which acts no more, tells the next one where something may
/// still run.
struct CellLeft {
  std::string range;
  Epoch epoch = 0;      ///< Of the former owner.
  std::string targets;  ///< As cell::EncodeLeft gives them.
  Millis age{0};        ///< Since the former owner last acted.
};

/// Asks whether a host that leaves the sender's pings unanswered answers those
/// of the receiver.
struct LivenessQuery {
  std::uint64_t ask = 0;
  HostId host;
};

struct LivenessReply {
  std::uint64_t ask = 0;
  bool alive = false;
};

struct AdviceReply {
  std::uint64_t ask = 0;
  Epoch epoch = 0;
  bool answered = false;
  std::vector<cell::Ticket> tickets;
};

}  // namespace buckthornmux::entry
