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

/// Renewals don't wait for each other: a slow store answers late, but in time,
/// and one that loses answers has to be asked more often.
constexpr int kMostRenewals = 6;
constexpr int kMostLeaseAsks = 6;
constexpr Millis kViewEvery{2000};  ///< At least; changes are watched.
constexpr Millis kWatchWait{10'000};
constexpr Millis kTakeoverDelay{30};
/// Hosts that start together register within some hundred milliseconds.
constexpr Millis kFitterWait{700};
constexpr Millis kMoveInterval{1000};
constexpr Millis kClaimRetry{150};
/// An owner that another host told of is believed for so long.
constexpr Millis kHeardFor{2000};
constexpr std::string_view kStatePrefix = store::kStatePrefix;

member::OwnershipOptions OwnershipBounds() {
  member::OwnershipOptions options;
  options.lease_ttl = kLease;
  options.takeover_delay = kTakeoverDelay;
  options.move_interval = kMoveInterval;
  options.fitter_wait = kFitterWait;
  options.claim_retry = kClaimRetry;
  // A cell's state is large: it moves only when its owner leaves or is gone.
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
      m_ownership(member::MakeOwnership(m_self, OwnershipBounds())),
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
  // Sooner where the last renewal should have been answered long since.
  const bool unanswered =
      m_renew_sent > m_renewed &&
      now - m_renew_sent >=
          std::max(RepeatedCommit::kRepeatAfter, 2 * m_renewal_time);
  if (m_lease != store::kNoLease && m_renewals < kMostRenewals &&
      (now >= m_renew_at || unanswered)) {
    Renew();
  }
  if (m_lease_for && m_lease_asks < kMostLeaseAsks &&
      now - m_lease_asked_at >= RepeatedCommit::kRepeatAfter) {
    AskForLease(*m_lease_for);
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

/// Owners are read before members, as StoreView demands.
void Membership::ReadOwners() {
  m_reading = true;
  m_read_again = false;
  const Time began = Now();
  m_store.list(
      std::string(store::kOwnersPrefix), {}, [this, began](auto outcome) {
        if (std::holds_alternative<Error>(outcome)) {
          m_reading = false;
          m_read_at = Now() + kRetry;
          return;  // The renewal logs the store's loss.
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
                   m_read_at = Now() + kRetry;
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
                 m_read_at = Now() + kViewEvery;
                 if (m_watch_from == 0) {
                   m_watch_from = page.revision;
                 }
                 TakeView({began, std::move(members), std::move(owners)});
                 if (m_read_again) {
                   ReadOwners();
                 }
               });
}

void Membership::TakeView(member::StoreView view) {
  Decide(std::move(view));
  m_events.view();
}

void Membership::Watch() {
  m_watching = true;
  m_store.watch(std::string(kStatePrefix), m_watch_from, kWatchWait,
                [this](auto outcome) {
                  m_watching = false;
                  if (std::holds_alternative<Error>(outcome)) {
                    m_watch_at = Now() + kRetry;
                    return;
                  }
                  const auto& batch = std::get<store::WatchBatch>(outcome);
                  if (batch.compacted) {
                    m_watch_from = 0;  // The next view begins a new watch.
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
  const bool owned = found != m_ownership.ranges.end() &&
                     (found->second.standing == member::Standing::kOwned ||
                      found->second.standing == member::Standing::kReleasing);
  return owned ? found->second.record.epoch : 0;
}

HostId Membership::OwnerOf(const std::string& range) const {
  const auto found = m_ownership.ranges.find(range);
  const bool heard =
      found != m_ownership.ranges.end() && m_heard.range == range &&
      m_heard == found->second.record && Now() - m_heard_at <= kHeardFor;
  if (heard) {
    return m_heard.owner;
  }
  const auto record = RegisteredOwner(range);
  return record ? record->owner : HostId();
}

void Membership::Abandon(const std::string& range) {
  Decide(member::Abandoned{range});
}

void Membership::TakeOffer(const std::string& range, Epoch epoch) {
  Decide(member::Offered{range, epoch});
}

void Membership::HearOwner(const member::OwnerRecord& record) {
  m_heard = record;
  m_heard_at = Now();
  Decide(member::OwnerHeard{record});
}

}  // namespace buckthornmux::entry
