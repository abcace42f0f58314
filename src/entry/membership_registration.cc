// Registration of a host: its record in the store, under a lease.
#include <utility>

#include "buckthornmux/detail/config/keys.h"
#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/entry/membership.h"
#include "buckthornmux/detail/member/records.h"
#include "buckthornmux/detail/runtime/log_line.h"
#include "membership_timing.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

constexpr std::size_t kIncarnationBytes = 8;

std::string NewIncarnation() {
  auto text = Capture([] { return config::RandomHex(kIncarnationBytes); });
  if (auto* good = std::get_if<std::string>(&text)) {
    return std::move(*good);
  }
  return std::to_string(WallOffset() + Now().time_since_epoch().count());
}

std::string MemberKey(const HostId& host) {
  return std::string(store::kMembersPrefix) + host;
}

}  // namespace

void Membership::RegisterFailed(const Error& error, std::string_view call) {
  if (m_store_healthy) {
    m_store_healthy = false;
    LogLine("store_lost", Level::kWarning)
        .With("by", "membership")
        .With("call", call)
        .With("reason", error.message);
  }
  m_registering = false;
  m_lease = store::kNoLease;
  m_register_at = Now() + kRetryDelay;
}

void Membership::Register() {
  m_registering = true;
  m_store.get(MemberKey(m_self.id), [this](auto found) {
    if (const auto* error = std::get_if<Error>(&found)) {
      RegisterFailed(*error, "get");
      return;
    }
    const auto& entry = std::get<std::optional<store::Entry>>(found);
    const Revision expected = entry ? entry->revision : store::kAbsent;
    m_expected_member_revision = expected;
    ++m_lease_round;
    m_lease_requests = 0;
    RequestLease(expected);
  });
}

/// Requests a lease; Tick repeats the request while it is unanswered. The first
/// granted lease is used, and others expire.
void Membership::RequestLease(Revision expected) {
  m_lease_requested_at = Now();
  ++m_lease_requests;
  m_store.grant_lease(kLease, [this, expected, round = m_lease_round,
                               sent_at = m_lease_requested_at](auto granted) {
    if (!m_expected_member_revision || round != m_lease_round) {
      return;  // Another request was answered first.
    }
    --m_lease_requests;
    if (const auto* error = std::get_if<Error>(&granted)) {
      if (m_lease_requests == 0) {
        m_expected_member_revision.reset();
        RegisterFailed(*error, "lease");
      }
      return;
    }
    m_expected_member_revision.reset();
    WriteMember(std::get<store::LeaseGrant>(granted).lease, expected, sent_at);
  });
}

void Membership::WriteMember(store::LeaseId lease, Revision expected,
                             Time sent_at) {
  m_self.incarnation = NewIncarnation();
  store::Transaction write;
  write.conditions.push_back({MemberKey(m_self.id), expected});
  write.writes.push_back(
      {MemberKey(m_self.id), member::EncodeMember(m_self), lease});
  m_member_write.Start(std::move(write), [this, lease, sent_at](auto outcome) {
    if (const auto* error = std::get_if<Error>(&outcome)) {
      RegisterFailed(*error, "register");
      return;
    }
    const auto& end = std::get<store::TransactionEnd>(outcome);
    if (end.kind != store::TransactionEnd::Kind::kApplied) {
      RegisterFailed({ErrorKind::kStoreConflict,
                      "member record was changed concurrently",
                      {}},
                     "register");
      return;
    }
    m_registering = false;
    m_lease = lease;
    m_renewed = sent_at;
    m_renew_sent = sent_at;
    m_member_revision = end.revision;
    m_renew_at = sent_at + kRenewInterval;
    if (!m_store_healthy) {
      m_store_healthy = true;
      LogLine("store_regained").With("by", "membership");
    }
    LogLine("registered")
        .With("host", m_self.id)
        .With("incarnation", m_self.incarnation);
    Decide(member::Registered{m_self.incarnation, sent_at});
    ReadOwners();
  });
}

void Membership::Renew() {
  ++m_renewals;
  const Time sent_at = Now();
  m_renew_sent = sent_at;
  m_renew_at = sent_at + kRenewInterval;
  m_store.renew_lease(m_lease, [this, sent_at, lease = m_lease](auto outcome) {
    --m_renewals;
    if (lease != m_lease) {
      return;  // This host has registered again meanwhile.
    }
    if (const auto* error = std::get_if<Error>(&outcome)) {
      m_renew_at = std::min(m_renew_at, Now() + kRetryDelay);
      if (m_store_healthy) {
        m_store_healthy = false;
        LogLine("store_lost", Level::kWarning)
            .With("by", "membership")
            .With("call", "renew")
            .With("reason", error->message);
      }
    } else if (!std::get<bool>(outcome)) {
      LogLine("lease_ended", Level::kWarning).With("host", m_self.id);
      m_lease = store::kNoLease;
      m_register_at = Now();
    } else {
      if (!m_store_healthy) {
        m_store_healthy = true;
        LogLine("store_regained").With("by", "membership");
      }
      m_renewed = std::max(m_renewed, sent_at);
      m_renewal_time = Now() - sent_at;
      Decide(member::LeaseRenewed{sent_at});
    }
  });
}

/// Marks this host as leaving before it hands over its ranges, so that the
/// other hosts no longer consider it as an owner of ranges.
void Membership::Leave() {
  m_self.leaving = true;
  UpdateRecord([this] { Decide(member::Leave{}); });
}

void Membership::Return() {
  m_self.leaving = false;
  UpdateRecord([this] { Decide(member::Return{}); });
}

void Membership::UpdateRecord(std::function<void()> then) {
  if (m_lease == store::kNoLease) {
    then();  // The next registration writes the current record.
    return;
  }
  store::Transaction write;
  write.conditions.push_back({MemberKey(m_self.id), m_member_revision});
  write.writes.push_back(
      {MemberKey(m_self.id), member::EncodeMember(m_self), m_lease});
  m_store.commit(std::move(write), [this,
                                    then = std::move(then)](auto outcome) {
    const auto* end = std::get_if<store::TransactionEnd>(&outcome);
    if (end != nullptr && end->kind == store::TransactionEnd::Kind::kApplied) {
      m_member_revision = end->revision;
    } else {
      LogLine("member_record_not_written", Level::kWarning)
          .With("host", m_self.id)
          .With("leaving", m_self.leaving ? "true" : "false");
    }
    then();
  });
}

void Membership::Unregister(std::function<void()> done) {
  m_unregistered = true;
  if (m_lease == store::kNoLease) {
    done();
    return;
  }
  m_store.end_lease(m_lease, [done = std::move(done)](auto outcome) {
    if (const auto* error = std::get_if<Error>(&outcome)) {
      LogLine("lease_not_ended", Level::kWarning)
          .With("reason", error->message);
    }
    done();
  });
}

}  // namespace buckthornmux::entry
