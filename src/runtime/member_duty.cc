#include "buckthornmux/detail/runtime/member_duty.h"

#include <algorithm>
#include <set>
#include <utility>

#include "buckthornmux/detail/config/keys.h"
#include "buckthornmux/detail/member/records.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::runtime {
namespace {

constexpr Millis kTickEvery{100};
constexpr Millis kRetryPause{300};
constexpr int kRenewalsPerLease = 3;
constexpr std::size_t kIncarnationBytes = 8;

member::Member SelfOf(const Wiring& wiring) {
  return {wiring.settings.host_id, wiring.incarnation,
          wiring.settings.peer_address, wiring.settings.http_address,
          wiring.settings.data_centre};
}

member::OwnershipOptions OptionsOf(const config::Settings& settings) {
  member::OwnershipOptions options;
  options.lease_ttl = settings.member_lease;
  return options;
}

}  // namespace

MemberDuty::MemberDuty(Wiring& wiring)
    : m_wiring(wiring),
      m_self(SelfOf(wiring)),
      m_ownership(member::MakeOwnership(m_self, OptionsOf(wiring.settings))) {}

Time MemberDuty::Step(std::vector<MemberMessage> messages, Time now) {
  if (now >= m_renew_at) {
    KeepLease(now);
  }
  for (const MemberMessage& message : messages) {
    std::visit([&](const auto& one) { Take(one, m_wiring.Now()); }, message);
  }
  Decide(member::Tick{}, m_wiring.Now());
  ReadAfterGains();
  m_wiring.owns_nothing = member::OwnsNothing(m_ownership);
  return std::min(m_renew_at, now + kTickEvery);
}

// ---- Lease ------------------------------------------------------------------

void MemberDuty::WriteMember(store::LeaseId lease) {
  const std::string key = std::string(store::kMembersPrefix) + m_self.id;
  const auto outcome = Capture([&]() -> Result<Revision> {
    BOOST_LEAF_AUTO(entry, m_wiring.store.get(key));
    const Revision expected = entry ? entry->revision : store::kAbsent;
    return m_wiring.store.put(key, member::EncodeMember(m_self), expected,
                              lease);
  });
  if (std::holds_alternative<Error>(outcome)) {
    m_wiring.metrics.Count(Counter::kStoreErrors);
    m_lease = store::kNoLease;  // Registers anew, under another lease.
    return;
  }
  m_lease = lease;
}

void MemberDuty::Register(Time now) {
  auto granted = Capture([&] {
    return m_wiring.store.grant_lease(m_wiring.settings.member_lease);
  });
  if (std::holds_alternative<Error>(granted)) {
    m_wiring.metrics.Count(Counter::kStoreErrors);
    m_renew_at = now + kRetryPause;
    return;
  }
  const auto incarnation =
      Capture([] { return config::RandomHex(kIncarnationBytes); });
  if (const auto* text = std::get_if<std::string>(&incarnation)) {
    m_self.incarnation = *text;
  }
  WriteMember(std::get<store::LeaseId>(granted));
  if (m_lease == store::kNoLease) {
    m_renew_at = now + kRetryPause;
    return;
  }
  LogLine("registered")
      .With("host", m_self.id)
      .With("incarnation", m_self.incarnation);
  Decide(member::Registered{m_self.incarnation, now}, m_wiring.Now());
  TellLease();
  m_renew_at = now + m_wiring.settings.member_lease / kRenewalsPerLease;
}

void MemberDuty::KeepLease(Time now) {
  if (m_lease == store::kNoLease) {
    Register(now);
    return;
  }
  const auto outcome =
      Capture([&] { return m_wiring.store.keep_alive(m_lease); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    m_wiring.metrics.Count(Counter::kStoreErrors);
    m_renew_at = now + kRetryPause;
    if (error->kind == ErrorKind::kNotFound) {
      LogLine("lease_lapsed", LogLine::Level::kWarning).With("host", m_self.id);
      m_lease = store::kNoLease;
    }
    return;
  }
  Decide(member::LeaseRenewed{now}, m_wiring.Now());
  TellLease();
  m_renew_at = now + m_wiring.settings.member_lease / kRenewalsPerLease;
}

void MemberDuty::TellLease() {
  m_wiring.owner.Post(
      HomeEvent{home::LeaseUntil{member::LeaseExpiry(m_ownership)}});
}

void MemberDuty::Deregister() {
  if (m_lease != store::kNoLease) {
    const auto ignored =
        Capture([&] { return m_wiring.store.revoke_lease(m_lease); });
    m_lease = store::kNoLease;
  }
}

// ---- Messages ---------------------------------------------------------------

void MemberDuty::Take(const StateRead& message, Time now) {
  member::StoreView view;
  view.read_at = message.read_at;
  for (const store::Entry& entry : *message.entries) {
    if (entry.key.starts_with(store::kMembersPrefix)) {
      const auto decoded =
          Capture([&] { return member::DecodeMember(entry.value); });
      if (const auto* member = std::get_if<member::Member>(&decoded)) {
        view.members.push_back(*member);
      }
    } else if (entry.key.starts_with(store::kOwnersPrefix)) {
      const auto decoded = Capture([&] {
        return member::DecodeOwnerRecord(entry.value, entry.revision);
      });
      if (const auto* record = std::get_if<member::OwnerRecord>(&decoded)) {
        view.owners.push_back(*record);
      }
    }
  }
  PublishRoutes(view);
  Decide(view, now);
}

void MemberDuty::PublishRoutes(const member::StoreView& view) {
  auto routes = std::make_shared<Routes>();
  for (const member::Member& member : view.members) {
    routes->members.emplace(member.id, member);
  }
  for (const member::OwnerRecord& record : view.owners) {
    routes->owners.emplace(record.range, record);
  }
  std::vector<peer::PeerAddress> peers;
  for (const auto& [id, member] : routes->members) {
    peers.push_back({id, member.peer_address});
  }
  m_wiring.routes.Store(routes);
  m_wiring.peers->SetPeers(peers);
  m_wiring.owner.Post(RoutesChanged{routes, view.read_at});
  m_wiring.config.Post(RoutesChanged{routes, view.read_at});
}

/// A gained partition waits for a view that was read after its claim; the watch
/// may bring none for a while.
void MemberDuty::ReadAfterGains() {
  if (!m_gained) {
    return;
  }
  const Time read_at = m_wiring.Now();
  auto outcome =
      Capture([&] { return m_wiring.store.list(store::kStatePrefix); });
  if (auto* entries = std::get_if<std::vector<store::Entry>>(&outcome)) {
    m_gained = false;
    Take(StateRead{read_at, std::make_shared<std::vector<store::Entry>>(
                                std::move(*entries))},
         m_wiring.Now());
  }
}

void MemberDuty::Take(const RangeLetGo& message, Time now) {
  Decide(member::Released{message.range}, now);
}

void MemberDuty::Take(const LeaveRequested& /*message*/, Time now) {
  m_self.leaving = true;
  if (m_lease != store::kNoLease) {
    WriteMember(m_lease);
  }
  Decide(member::Leave{}, now);
}

void MemberDuty::Take(const ConfigChanged& message, Time now) {
  member::RangesWanted wanted;
  for (Partition partition = 0; partition < home::kPartitions; ++partition) {
    wanted.ranges.push_back({PartitionRange(partition), {}});
  }
  std::map<ShardId, DataCentre> shards;
  for (const TargetSpec& target : message.config->targets) {
    shards.emplace(target.shard, target.data_centre);
  }
  for (const auto& [shard, data_centre] : shards) {
    wanted.ranges.push_back({ShardRange(shard), data_centre});
  }
  Decide(wanted, now);
}

// ---- Decisions --------------------------------------------------------------

void MemberDuty::Decide(const member::Event& event, Time now) {
  for (const member::Action& action : member::Apply(m_ownership, event, now)) {
    if (const auto* claim = std::get_if<member::Claim>(&action)) {
      Write(claim->record, now);
    } else if (const auto* gained = std::get_if<member::Gained>(&action)) {
      m_gained = true;
      m_wiring.owner.Post(
          RangeGained{gained->range, gained->epoch, m_wiring.Now()});
    } else if (const auto* lost = std::get_if<member::Lost>(&action)) {
      m_wiring.owner.Post(RangeLost{lost->range});
    } else if (const auto* release = std::get_if<member::Release>(&action)) {
      m_wiring.owner.Post(RangeReleased{release->range});
    } else if (const auto* lease = std::get_if<member::LeaseHeld>(&action)) {
      m_wiring.owner.Post(LeaseChanged{lease->held});
    }
  }
}

void MemberDuty::Write(const member::OwnerRecord& record, Time /*now*/) {
  const std::string key = std::string(store::kOwnersPrefix) + record.range;
  const auto outcome = Capture([&] {
    return m_wiring.store.put(key, member::EncodeOwnerRecord(record),
                              record.revision, store::kNoLease);
  });
  member::ClaimAnswered answered{record};
  if (const auto* revision = std::get_if<Revision>(&outcome)) {
    answered.end = member::ClaimAnswered::End::kWritten;
    answered.revision = *revision;
  } else {
    const ErrorKind kind = std::get<Error>(outcome).kind;
    using End = member::ClaimAnswered::End;
    answered.end = kind == ErrorKind::kStoreConflict      ? End::kLost
                   : kind == ErrorKind::kStoreUnavailable ? End::kUnavailable
                                                          : End::kUnknown;
    if (answered.end != End::kLost) {
      m_wiring.metrics.Count(Counter::kStoreErrors);
    }
  }
  Decide(answered, m_wiring.Now());
}

}  // namespace buckthornmux::runtime
