#include "buckthornmux/detail/entry/membership.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/member/records.h"
#include "buckthornmux/detail/runtime/log_line.h"
#include "membership_timing.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// Maximum numbers of unanswered requests. Renewals may overlap: a slow store
/// answers late, but within the lease, and a store that loses answers needs
/// repeated requests.
constexpr int kMaxRenewals = 6;
constexpr int kMaxLeaseRequests = 6;
/// Interval between reads of the full view. Changes are read sooner, since they
/// are watched.
constexpr Millis kViewInterval{2000};
constexpr Millis kWatchTimeout{10'000};
constexpr Millis kTakeoverDelay{30};
/// Additional wait of a host with less than half of the last owner's weight.
/// Hosts that start together register within some hundred milliseconds.
constexpr Millis kStrongerMemberDelay{700};
constexpr Millis kMoveInterval{1000};
constexpr Millis kClaimRetryDelay{150};
/// How long an owner record received from another host is used.
constexpr Millis kReceivedOwnerTimeout{2000};
constexpr std::string_view kStatePrefix = store::kStatePrefix;

member::OwnershipOptions MakeOwnershipOptions() {
  member::OwnershipOptions options;
  options.lease_ttl = kLease;
  options.takeover_delay = kTakeoverDelay;
  options.move_interval = kMoveInterval;
  options.stronger_member_delay = kStrongerMemberDelay;
  options.claim_retry = kClaimRetryDelay;
  // A cell's state is large, so it moves only when its owner leaves or fails.
  options.rebalance = false;
  return options;
}

std::string OwnerKey(const std::string& range) {
  return std::string(store::kOwnersPrefix) + range;
}

}  // namespace

Membership::Membership(const store::AsyncStore& store, member::Member self,
                       std::vector<member::RangesWanted::Range> ranges,
                       MembershipEvents events)
    : m_store(store),
      m_self(std::move(self)),
      m_ranges(std::move(ranges)),
      m_events(std::move(events)),
      m_ownership(member::MakeOwnership(m_self, MakeOwnershipOptions())),
      m_member_write(m_store) {}

void Membership::Start() {
  Decide(member::RangesWanted{m_ranges});
  Register();
  ReadOwners();
}

void Membership::Tick(Time now) {
  if (m_unregistered) {
    return;
  }
  if (m_lease == store::kNoLease && !m_registering && now >= m_register_at) {
    Register();
  }
  // Renews early if the last renewal is overdue.
  const bool unanswered =
      m_renew_sent > m_renewed &&
      now - m_renew_sent >=
          std::max(RepeatedCommit::kRepeatInterval, 2 * m_renewal_time);
  if (m_lease != store::kNoLease && m_renewals < kMaxRenewals &&
      (now >= m_renew_at || unanswered)) {
    Renew();
  }
  if (m_expected_member_revision && m_lease_requests < kMaxLeaseRequests &&
      now - m_lease_requested_at >= RepeatedCommit::kRepeatInterval) {
    RequestLease(*m_expected_member_revision);
  }
  m_member_write.Tick(now);
  for (auto& [range, claim] : m_claims) {
    claim.Tick(now);
  }
  if (!m_reading && now >= m_read_at) {
    ReadOwners();
  }
  if (!m_watching && m_watch_from > 0 && now >= m_watch_at) {
    Watch();
  }
  Decide(member::Tick{});
}

void Membership::Decide(const member::Event& event) {
  for (const member::Action& action :
       member::Apply(m_ownership, event, Now())) {
    if (const auto* claim = std::get_if<member::Claim>(&action)) {
      Claim(claim->record);
    } else if (const auto* gained = std::get_if<member::Gained>(&action)) {
      const member::OwnerRecord record =
          m_ownership.ranges.at(gained->range).record;
      LogLine("range_gained")
          .With("range", gained->range)
          .With("epoch", gained->epoch);
      m_events.gained(record);
    } else if (const auto* lost = std::get_if<member::Lost>(&action)) {
      LogLine("range_lost", Level::kWarning).With("range", lost->range);
      m_events.lost(lost->range);
    } else if (const auto* release = std::get_if<member::Release>(&action)) {
      LogLine("range_released").With("range", release->range);
      m_events.release(release->range);
    } else if (const auto* held = std::get_if<member::LeaseHeld>(&action)) {
      LogLine(held->held ? "lease_held" : "lease_lapsed",
              held->held ? Level::kInfo : Level::kWarning)
          .With("host", m_self.id);
      m_events.lease(held->held);
    }
  }
}

// ---- Ranges -----------------------------------------------------------------

void Membership::Released(const std::string& range) {
  Decide(member::Released{range});
}

// ---- Views ------------------------------------------------------------------

void Membership::Recheck() {
  if (m_reading) {
    m_read_again = true;
  } else {
    ReadOwners();
  }
}

/// Reads owners before members, as StoreView requires.
void Membership::ReadOwners() {
  m_reading = true;
  m_read_again = false;
  const Time began = Now();
  m_store.list(
      std::string(store::kOwnersPrefix), {}, [this, began](auto outcome) {
        if (std::holds_alternative<Error>(outcome)) {
          m_reading = false;
          m_read_at = Now() + kRetryDelay;
          return;  // Renew logs the failure of the store.
        }
        std::vector<member::OwnerRecord> owners;
        for (const auto& item : std::get<store::ItemPage>(outcome).items) {
          auto record = Capture([&] {
            return member::DecodeOwnerRecord(item.value, item.revision);
          });
          if (auto* good = std::get_if<member::OwnerRecord>(&record)) {
            owners.push_back(std::move(*good));
          } else {
            LogLine("owner_record_unreadable", Level::kError)
                .With("key", item.key);
          }
        }
        ReadMembers(std::move(owners), began, {}, {});
      });
}

void Membership::ReadMembers(std::vector<member::OwnerRecord> owners,
                             Time began, std::string after,
                             std::vector<member::Member> members) {
  m_store.list(std::string(store::kMembersPrefix), std::move(after),
               [this, began, owners = std::move(owners),
                members = std::move(members)](auto outcome) mutable {
                 if (std::holds_alternative<Error>(outcome)) {
                   m_reading = false;
                   m_read_at = Now() + kRetryDelay;
                   return;
                 }
                 const auto& page = std::get<store::ItemPage>(outcome);
                 for (const auto& item : page.items) {
                   auto found = Capture(
                       [&] { return member::DecodeMember(item.value); });
                   if (auto* good = std::get_if<member::Member>(&found)) {
                     members.push_back(std::move(*good));
                   }
                 }
                 if (page.more && !page.items.empty()) {
                   ReadMembers(std::move(owners), began, page.items.back().key,
                               std::move(members));
                   return;
                 }
                 m_reading = false;
                 m_read_at = Now() + kViewInterval;
                 if (m_watch_from == 0) {
                   m_watch_from = page.revision;
                 }
                 HandleView({began, std::move(members), std::move(owners)});
                 if (m_read_again) {
                   ReadOwners();
                 }
               });
}

void Membership::HandleView(member::StoreView view) {
  Decide(std::move(view));
  m_events.view();
}

void Membership::Watch() {
  m_watching = true;
  m_store.watch(std::string(kStatePrefix), m_watch_from, kWatchTimeout,
                [this](auto outcome) {
                  m_watching = false;
                  if (std::holds_alternative<Error>(outcome)) {
                    m_watch_at = Now() + kRetryDelay;
                    return;
                  }
                  const auto& batch = std::get<store::WatchBatch>(outcome);
                  if (batch.compacted) {
                    m_watch_from = 0;  // The next view starts a new watch.
                    Recheck();
                    return;
                  }
                  m_watch_from = std::max(m_watch_from, batch.revision);
                  if (!batch.puts.empty() || !batch.deletes.empty()) {
                    Recheck();
                  }
                  Watch();
                });
}

void Membership::Claim(const member::OwnerRecord& record) {
  store::Transaction write;
  const std::string key = OwnerKey(record.range);
  write.conditions.push_back({key, record.revision});
  write.writes.push_back(
      {key, member::EncodeOwnerRecord(record), store::kNoLease});
  RepeatedCommit& claim =
      m_claims.try_emplace(record.range, m_store).first->second;
  claim.Start(std::move(write), [this, record](auto outcome) {
    using End = member::ClaimAnswered::End;
    member::ClaimAnswered answer{record, End::kUnknown, 0};
    if (const auto* error = std::get_if<Error>(&outcome)) {
      answer.end = error->kind == ErrorKind::kStoreUnavailable
                       ? End::kUnavailable
                       : End::kUnknown;
    } else {
      const auto& end = std::get<store::TransactionEnd>(outcome);
      const bool applied = end.kind == store::TransactionEnd::Kind::kApplied;
      answer.end = applied ? End::kWritten : End::kLost;
      answer.revision = end.revision;
    }
    Decide(answer);
    if (answer.end != End::kWritten) {
      Recheck();
    }
  });
}

std::size_t Membership::OthersActive() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_ownership.members, [&](const auto& known) {
        return known.id != m_self.id && !known.leaving;
      }));
}

std::optional<member::OwnerRecord> Membership::RegisteredOwner(
    const std::string& range) const {
  const auto found = m_ownership.ranges.find(range);
  if (found == m_ownership.ranges.end()) {
    return std::nullopt;
  }
  const member::OwnerRecord& record = found->second.record;
  const bool registered =
      std::ranges::any_of(m_ownership.members, [&](const auto& known) {
        return known.id == record.owner &&
               known.incarnation == record.incarnation;
      });
  return registered ? std::optional(record) : std::nullopt;
}

Epoch Membership::KnownEpoch(const std::string& range) const {
  const auto found = m_ownership.ranges.find(range);
  return found == m_ownership.ranges.end() ? 0 : found->second.record.epoch;
}

Epoch Membership::OwnedEpoch(const std::string& range) const {
  const auto found = m_ownership.ranges.find(range);
  const bool owned =
      found != m_ownership.ranges.end() &&
      (found->second.ownership_phase == member::OwnershipPhase::kOwned ||
       found->second.ownership_phase == member::OwnershipPhase::kReleasing);
  return owned ? found->second.record.epoch : 0;
}

HostId Membership::OwnerOf(const std::string& range) const {
  const auto found = m_ownership.ranges.find(range);
  const bool received = found != m_ownership.ranges.end() &&
                        m_received_owner.range == range &&
                        m_received_owner == found->second.record &&
                        Now() - m_received_owner_at <= kReceivedOwnerTimeout;
  if (received) {
    return m_received_owner.owner;
  }
  const auto record = RegisteredOwner(range);
  return record ? record->owner : HostId();
}

void Membership::Abandon(const std::string& range) {
  Decide(member::Abandoned{range});
}

void Membership::HandleOffer(const std::string& range, Epoch epoch) {
  Decide(member::Offered{range, epoch});
}

void Membership::ReceiveOwnerRecord(const member::OwnerRecord& record) {
  m_received_owner = record;
  m_received_owner_at = Now();
  Decide(member::OwnerRecordReceived{record});
}

}  // namespace buckthornmux::entry
