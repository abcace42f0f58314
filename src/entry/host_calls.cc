// Calls of callers, messages of other hosts, and the set of reachable hosts.
#include <utility>
#include <vector>

#include "host_process.h"
#include "platform/adviser.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

}  // namespace

void Host::SendTo(const HostId& to, const peer::Message& message) {
  if (!m_peers.Send(to, message)) {
    LogLine("message_not_sent", Level::kWarning).With("to", to);
  }
}

void Host::SendReply(const HostId& to, const CellReply& reply) {
  if (!m_peers.Send(to, reply) &&
      !KeepReply(m_pending_replies, to, reply, Now())) {
    LogLine("message_not_sent", Level::kWarning)
        .With("to", to)
        .With("reason", "too many replies wait for the host");
  }
}

void Host::SendPendingReplies(const HostId& to) {
  const Time now = Now();
  const std::vector<PendingReply> replies =
      TakeReplies(m_pending_replies, to, now);
  if (replies.empty()) {
    return;
  }
  LogLine("replies_sent_late")
      .With("to", to)
      .With("replies", static_cast<std::uint64_t>(replies.size()))
      .With("oldest_ms", (now - replies.front().since).count());
  for (const PendingReply& each : replies) {
    SendTo(to, each.reply);
  }
}

void Host::HandleMessage(const HostId& from, const peer::Message& message) {
  m_metrics.Count(runtime::Counter::kPeerMessages);
  if (const auto* call = std::get_if<CellCall>(&message)) {
    HandleCall(from, *call);
  } else if (const auto* reply = std::get_if<CellReply>(&message)) {
    m_owner_watch.OnCallReply(from, *reply);
    m_callers.HandleReply(*reply);
  } else if (const auto* ask = std::get_if<AdviceRequest>(&message)) {
    AskAdviser(from, *ask);
  } else if (const auto* doubts = std::get_if<JobsInDoubt>(&message)) {
    m_callers.HandleDoubts(*doubts);
  } else if (const auto* advice = std::get_if<AdviceReply>(&message)) {
    m_cell.OnAdviceAnswered(*advice);
  } else if (const auto* wanted = std::get_if<StoreQuery>(&message)) {
    m_relay.HandleQuery(from, *wanted, Now());
  } else if (const auto* status = std::get_if<StoreStatus>(&message)) {
    m_relay.HandleStatus(from, *status, Now());
  } else if (const auto* offer = std::get_if<RangeOffer>(&message)) {
    if (offer->suspected) {
      m_suspected = std::max(m_suspected, offer->epoch);
    }
    m_members.HandleOffer(offer->range, offer->epoch);
  } else if (const auto* question = std::get_if<LivenessQuery>(&message)) {
    m_owner_watch.HandleQuery(from, *question, Now());
  } else if (const auto* liveness = std::get_if<LivenessReply>(&message)) {
    m_owner_watch.HandleReply(*liveness, Now());
  } else if (std::holds_alternative<OwnerOverloaded>(message)) {
    m_overloaded[from] = Now();
  } else if (std::holds_alternative<OwnerSlow>(message)) {
    m_slow_owners[from] = Now();
  } else if (std::holds_alternative<EpochQuery>(message)) {
    const Time now = Now();
    CheckSightings(now);
    SendTo(from, EpochAges{AgesOf(m_sightings, now)});
  } else if (const auto* seen = std::get_if<EpochAges>(&message)) {
    MergeAges(m_sightings, seen->ages, Now());
    SetSightings();
  } else if (const auto* state = std::get_if<FormerOwnerState>(&message)) {
    m_cell.HandleFinalState(*state);
  } else if (const auto* query = std::get_if<EvacuationQuery>(&message)) {
    if (EvacuationsOn()) {
      m_evacuation_relay.HandleQuery(from, *query, Now());
    }
  } else if (const auto* list = std::get_if<EvacuationStatus>(&message)) {
    m_evacuation_relay.HandleStatus(*list);
  } else {
    LogLine("message_unexpected", Level::kWarning)
        .With("from", from)
        .With("kind", static_cast<std::uint64_t>(message.index()));
  }
}

void Host::HandleView() {
  std::map<HostId, std::string> addresses;
  for (const member::Member& known : m_members.Members()) {
    addresses[known.id] = known.peer_address;
  }
  // A host that the store rejects loses its registration. It stays a peer as
  // long as it is reachable.
  for (const auto& [host, address] : m_peer_addresses) {
    if (m_links_up.contains(host)) {
      addresses.emplace(host, address);
    }
  }
  m_peer_addresses = std::move(addresses);
  m_owner_watch.SetSilenceBound(
      HasUnlikeHosts(m_members.Members()) ? kPeerSilenceTimeout : Millis(0));
  std::vector<peer::PeerAddress> peers;
  for (const auto& [host, address] : m_peer_addresses) {
    peers.push_back({host, address});
  }
  m_peers.SetPeers(peers);
  SetLanes();
}

void Host::SetLanes() {
  std::vector<HostId> lanes{m_settings.host};
  for (const member::Member& known : m_members.Members()) {
    if (known.id != m_settings.host && m_links_up.contains(known.id)) {
      lanes.push_back(known.id);
    }
  }
  m_cell.SetLanes(lanes);
}

void Host::AskAdviser(const HostId& owner, const AdviceRequest& ask) {
  m_client.Call(
      m_settings.adviser_address, platform::AdviceCall(ask.step, ask.targets),
      ask.timeout,
      [this, owner, id = ask.ask, epoch = ask.epoch, step = ask.step,
       named = ask.targets.size()](auto got) {
        AdviceReply reply{id, epoch, false, {}};
        const auto* response = std::get_if<net::HttpResponse>(&got);
        if (response != nullptr && response->status == 200) {
          auto tickets =
              Capture([&] { return platform::ParseAdvice(response->body); });
          if (auto* good = std::get_if<std::vector<cell::Ticket>>(&tickets)) {
            reply.answered = true;
            reply.tickets = std::move(*good);
          }
        }
        if (!reply.answered) {
          LogLine("advice_failed", Level::kWarning)
              .With("ask", id)
              .With("job", step.job)
              .With("step", std::uint64_t{step.step})
              .With("named", static_cast<std::uint64_t>(named))
              .With("status", static_cast<std::int64_t>(
                                  response == nullptr ? 0 : response->status));
        }
        if (owner == m_settings.host) {
          m_cell.OnAdviceAnswered(reply);
        } else {
          SendTo(owner, reply);
        }
      });
}

bool Host::InDoubt(Time now) const {
  return m_pauses.InDoubt(m_members.ViewedAt(), now);
}

void Host::HandleCall(const HostId& from, const CellCall& call) {
  if (InDoubt(Now())) {
    m_cell.Refuse(from, call, ErrorKind::kNotReady,
                  "the owner was paused and may have been replaced");
    return;
  }
  m_cell.HandleCall(from, call);
}

ForwardResult Host::Forward(CellCall& call, HostId& to) {
  if (m_cell.Owning()) {
    to = m_settings.host;
    call.epoch = m_cell.OwnedEpoch();
    call.sent_at = Now().time_since_epoch();
    HandleCall(to, call);
    return ForwardResult::kSent;
  }
  to = m_members.OwnerOf(std::string(kRange));
  if (to.empty() || to == m_settings.host) {
    return ForwardResult::kNoOwner;
  }
  const auto clock = m_peers.ClockOf(to);
  if (!clock) {
    return ForwardResult::kUnreachable;
  }
  call.epoch = m_members.KnownEpoch(std::string(kRange));
  call.sent_at = clock->time_since_epoch();
  return m_peers.Send(to, call) ? ForwardResult::kSent
                                : ForwardResult::kUnreachable;
}

bool Host::Ready() const {
  const Time now = Now();
  if (m_leaving || !m_callers.RulesTrusted(now) ||
      m_relay.StoreServesOthers(now)) {
    return false;
  }
  const HostId owner = m_members.OwnerOf(std::string(kRange));
  return owner.empty() || owner == m_settings.host ||
         m_links_up.contains(owner);
}

}  // namespace buckthornmux::entry
