/// Messages that entry hosts exchange about a cell.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/cell/state.h"
#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/member/ownership.h"

namespace buckthornmux::entry {

enum class CallKind : std::uint8_t { kSubmit, kCancel, kQuery, kPending };

[[nodiscard]] std::string_view NameOf(CallKind kind);

/// A caller's request, forwarded to the cell's owner.
struct CellCall {
  std::uint64_t call = 0;     ///< Id of the call at the sender.
  std::uint32_t attempt = 0;  ///< Number of the attempt; echoed in the reply.
  CallKind kind = CallKind::kQuery;
  cell::QueueName queue;
  TeamName team;
  std::string job;
  cell::JobSpec spec;  ///< Set for a submit only.
  Millis patience{0};  ///< Time until the sender gives up.
  Epoch epoch = 0;     ///< Of the owner that the call was sent to.
  /// Lower bound of the time on the owner's clock when the call was sent.
  Millis sent_at{0};
};

enum class CallResult : std::uint8_t {
  kAccepted,   ///< The submit is stored.
  kRefused,    ///< Not accepted; this call has no later effect.
  kUnknown,    ///< The call may or may not have had an effect.
  kPhase,      ///< CellReply::phase is set.
  kCancelled,  ///< The job is cancelled or had already ended.
  kNoSuchJob,
  kPending,  ///< CellReply::pending is set.
};

/// The owner's reply to a CellCall.
struct CellReply {
  std::uint64_t call = 0;
  std::uint32_t attempt = 0;
  CallResult end = CallResult::kUnknown;
  cell::JobPhase phase = cell::JobPhase::kQueued;
  /// Number of pending jobs. In a refusal: after how many milliseconds a next
  /// try is useful, 0 as usual for the error; earlier builds ignore it.
  std::uint32_t pending = 0;
  ErrorKind error = ErrorKind::kInternal;
  std::string message;
  /// Of the owner whose cell gave the reply; 0 if the cell wasn't looked at.
  Epoch epoch = 0;
};

/// A job that the owner of an epoch may have accepted without an answer.
struct JobInDoubt {
  std::string job;
  Epoch epoch = 0;
};

/// Sent to all hosts by one that lost submits, or answered that their outcome
/// is unknown: the next tries may arrive at any host.
struct JobsInDoubt {
  std::vector<JobInDoubt> jobs;
};

/// Request of the owner to the adviser, sent through another host.
struct AdviceRequest {
  std::uint64_t ask = 0;
  Epoch epoch = 0;  ///< Epoch of the requesting owner; echoed in the reply.
  cell::StepRef step;
  std::vector<TargetId> targets;
  Millis timeout{0};
};

/// Sent by a host that the store rejects: asks another host for the data that
/// it has read from the store.
struct StoreQuery {
  std::uint64_t ask = 0;
  Revision rules_known = 0;  ///< Configuration revision of the sender.
};

/// Reply to a StoreQuery.
struct StoreStatus {
  std::uint64_t ask = 0;
  Millis served_age{0};   ///< Time since the last successful call began.
  Millis answer_time{0};  ///< Duration of the last successful call.
  bool may_own = false;   ///< Whether the sender would claim the cell.
  Revision rules_revision = 0;
  Millis rules_age{0};  ///< Time since rules_revision was certainly the newest.
  /// Encoded configuration; set if the requesting host has an older revision.
  std::string rules_text;
  member::OwnerRecord owner;  ///< The range is empty if no owner is registered.
};

/// The data centres that operators want to be evacuated.
struct EvacuationList {
  std::vector<DataCentre> data_centres;
  Revision revision = 0;  ///< Of the store as the list was read.
};

/// Sent by an owner that the store rejects: asks another host for the
/// evacuation requests.
struct EvacuationQuery {
  std::uint64_t ask = 0;
};

/// Reply to an EvacuationQuery.
struct EvacuationStatus {
  std::uint64_t ask = 0;
  EvacuationList list;
  Millis age{0};  ///< Time since the list was certainly the latest.
};

/// Asks the receiver to claim a range that the sender has abandoned or whose
/// owner no host can reach.
struct RangeOffer {
  std::string range;
  Epoch epoch = 0;
  /// The owner has not released the range; it is only suspected to have failed.
  bool suspected = false;
};

/// Sent to all hosts by an owner that hands the cell over because it is
/// overloaded or does not carry the measured need.
struct OwnerOverloaded {
  Epoch epoch = 0;
};

/// Sent to all hosts by an owner that hands the cell over because its machine
/// seems to have become slow.
struct OwnerSlow {
  Epoch epoch = 0;
};

/// Tells the next owner on which targets tasks may still run. Sent by the
/// former owner, which takes no further action.
struct FormerOwnerState {
  std::string range;
  Epoch epoch = 0;      ///< Epoch of the former owner.
  std::string targets;  ///< Encoded by cell::EncodeFormerOwnerState.
  Millis age{0};        ///< Time since the former owner's last action.
};

/// How long ago a host first knew that an epoch of the cell had been claimed.
struct EpochAge {
  Epoch epoch = 0;
  Millis age{0};
};

/// Sent by a new owner: asks another host when the former ones came.
struct EpochQuery {
  Epoch epoch = 0;  ///< Of the sender.
};

/// Reply to an EpochQuery.
struct EpochAges {
  std::vector<EpochAge> ages;
};

/// Asks whether a host that does not answer the sender's pings answers those of
/// the receiver.
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
