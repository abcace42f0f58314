/// Typed messages between entry hosts: TCP for work, UDP for heartbeats.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/home/home.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::peer {

/// First message on a connection: who speaks.
struct Hello {
  HostId host;
  std::string incarnation;
};
/// Asks for a sign of life; answered by Pong on the same connection.
struct Ping {};
struct Pong {
  Millis clock{0};  ///< Time since the epoch of the answering host's clock.
};

/// A caller's submit, passed on to the home. `call` names it at the sender.
struct CallSubmit {
  std::uint64_t call = 0;
  home::JobRequest request;
};
/// A caller's cancel, passed on to the home.
struct CallCancel {
  std::uint64_t call = 0;
  TeamName team;
  std::string job;
};
/// A caller's query, passed on to the home.
struct CallQuery {
  std::uint64_t call = 0;
  TeamName team;
  std::string job;
  bool wait = false;
};
/// The caller went away.
struct CallGone {
  std::uint64_t call = 0;
};
/// The home's answer to a call.
struct CallReply {
  std::uint64_t call = 0;
  bool accepted = false;
  home::JobStatus status;
};
/// The receiver does not own the shard under that epoch; it took nothing.
struct NotTaken {
  home::ToShard sent;
};
/// The sender has a higher configuration revision; its text as stored.
struct ConfigText {
  Revision revision = 0;
  std::string text;
};
/// Asks for ConfigText.
struct ConfigWanted {
  Revision known = 0;
};

using Message = std::variant<
    Hello, Ping, Pong, CallSubmit, CallCancel, CallQuery, CallGone, CallReply,
    home::ToShard, home::FromShard, NotTaken, ConfigText, ConfigWanted,
    entry::CellCall, entry::CellReply, entry::AdviceRequest, entry::AdviceReply,
    entry::StoreQuery, entry::StoreStatus, entry::RangeOffer,
    entry::LivenessQuery, entry::LivenessReply, entry::FormerOwnerState,
    entry::OwnerOverloaded, entry::EvacuationQuery, entry::EvacuationStatus,
    entry::OwnerSlow, entry::JobsInDoubt, entry::EpochQuery, entry::EpochAges>;

/// State of one shard in a heartbeat.
struct ShardBeat {
  ShardId shard;
  Epoch epoch = 0;
  Resources free;
  std::int64_t queued = 0;
};

/// The last heartbeat that the sender has received of a host.
struct Echo {
  HostId host;
  std::string incarnation;
  std::uint64_t sequence = 0;
};

/// Sent by UDP to every registered member, several times a second.
struct Heartbeat {
  HostId host;
  std::string incarnation;
  std::uint64_t sequence = 0;
  Revision config = 0;           ///< In force at the sender.
  Millis config_age{0};          ///< Since the sender was sure that no newer
                                 ///< revision stood in the store.
  bool store_reachable = false;  ///< Its last store call was answered.
  bool leaving = false;
  std::vector<ShardBeat> shards;  ///< Owned by the sender.
  std::vector<Echo> echoes;       ///< One for each host heard of.
};

/// @brief Binary form, by cereal's portable archive.
/// @return bytes without length
[[nodiscard]] std::string Encode(const Message& message);
[[nodiscard]] std::string Encode(const Heartbeat& heartbeat);

/// @brief Parses Encode's bytes.
/// @return the message; kMalformed for anything else
[[nodiscard]] Result<Message> DecodeMessage(std::string_view bytes);
[[nodiscard]] Result<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace buckthornmux::peer
