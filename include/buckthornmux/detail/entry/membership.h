/// Registers this host, and reads the other members and the owner of the cell.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/entry/repeated_commit.h"
#include "buckthornmux/detail/member/ownership.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// Callbacks of Membership, run on the event loop's thread.
struct MembershipEvents {
  /// This host now owns the range.
  std::function<void(const member::OwnerRecord& record)> gained;
  std::function<void(const std::string& range)> lost;
  /// The receiver must release the range, then call Membership::Released.
  std::function<void(const std::string& range)> release;
  /// Whether this host's registration is certainly valid.
  std::function<void(bool held)> lease;
  /// Members or owners changed.
  std::function<void()> view;
};

/// @brief Runs the state machine member::Apply and makes its store calls.
///
/// Changes in the store are watched. A full view is read after each change, and
/// at least every few seconds, since a silent watch does not prove that nothing
/// changed.
class Membership {
 public:
  /// @param self record to register; its incarnation is generated
  /// @param ranges that need an owner
  Membership(const store::AsyncStore& store, member::Member self,
             std::vector<member::RangesWanted::Range> ranges,
             MembershipEvents events);

  /// @brief Starts to register and to read.
  void Start();

  /// @brief Runs everything that is due.
  void Tick(Time now);

  /// @brief Claims no more ranges and hands over those owned.
  void Leave();
  /// @brief Reverses Leave.
  void Return();

  /// @brief Confirms that this host has released a range.
  void Released(const std::string& range);

  /// @brief Gives up a range without a store call.
  void Abandon(const std::string& range);
  /// @brief Handles the offer of a range.
  /// @param epoch of the owner that abandoned the range or is suspected to have
  ///   failed
  void HandleOffer(const std::string& range, Epoch epoch);
  /// @brief Handles an owner record that another host has read from the store.
  void ReceiveOwnerRecord(const member::OwnerRecord& record);

  /// @brief Ends the registration. No other function may be called afterwards.
  void Unregister(std::function<void()> done);

  /// @brief Reads the store immediately, for instance when another owner was
  ///   detected.
  void Recheck();

  /// @brief Members of the last view.
  [[nodiscard]] const std::vector<member::Member>& Members() const {
    return m_ownership.members;
  }
  /// @brief When the reading of the last view began.
  [[nodiscard]] Time ViewedAt() const {
    return m_ownership.read_at.value_or(Time{});
  }
  /// @brief Registered owner of a range; empty if none is known.
  [[nodiscard]] HostId OwnerOf(const std::string& range) const;
  /// @brief Epoch of the last owner that this host has read or received.
  [[nodiscard]] Epoch KnownEpoch(const std::string& range) const;
  /// @brief Epoch under which this host owns or is releasing a range; 0 if it
  ///   does neither.
  [[nodiscard]] Epoch OwnedEpoch(const std::string& range) const;
  /// @brief Record of a range; nothing if its owner is not registered in the
  ///   last view.
  [[nodiscard]] std::optional<member::OwnerRecord> RegisteredOwner(
      const std::string& range) const;
  /// @brief Other members that may own ranges.
  [[nodiscard]] std::size_t OthersActive() const;
  /// @brief Whether this host neither owns nor claims a range.
  [[nodiscard]] bool OwnsNothing() const {
    return member::OwnsNothing(m_ownership);
  }

 private:
  void Decide(const member::Event& event);
  void Register();
  void RequestLease(Revision expected);
  void WriteMember(store::LeaseId lease, Revision expected, Time sent_at);
  void UpdateRecord(std::function<void()> then);
  void Renew();
  void ReadOwners();
  void ReadMembers(std::vector<member::OwnerRecord> owners, Time began,
                   std::string after, std::vector<member::Member> members);
  void HandleView(member::StoreView view);
  void Watch();
  void Claim(const member::OwnerRecord& record);
  void RegisterFailed(const Error& error, std::string_view call);

  const store::AsyncStore& m_store;
  member::Member m_self;
  std::vector<member::RangesWanted::Range> m_ranges;
  MembershipEvents m_events;
  member::OwnershipState m_ownership;
  store::LeaseId m_lease = store::kNoLease;
  Revision m_member_revision = store::kAbsent;
  bool m_registering = false;
  RepeatedCommit m_member_write;
  /// Expected revision of the member record; set while the lease for it is
  /// being requested.
  std::optional<Revision> m_expected_member_revision;
  std::uint64_t m_lease_round = 0;  ///< Answers of earlier rounds are ignored.
  Time m_lease_requested_at;
  int m_lease_requests = 0;  ///< Unanswered lease requests.
  int m_renewals = 0;        ///< Unanswered renewals.
  Time m_renew_sent;         ///< When the last renewal was sent.
  Time m_renewed;            ///< Send time of the last successful renewal.
  Millis m_renewal_time{0};  ///< Duration of the last successful renewal.
  /// Writes of owner records, by range.
  std::map<std::string, RepeatedCommit> m_claims;
  bool m_reading = false;
  bool m_read_again = false;
  bool m_watching = false;
  bool m_unregistered = false;
  bool m_store_healthy = true;
  /// Last owner record received from another host.
  member::OwnerRecord m_received_owner;
  Time m_received_owner_at;
  Time m_register_at;
  Time m_renew_at;
  Time m_read_at;
  Time m_watch_at;
  Revision m_watch_from = 0;
};

}  // namespace buckthornmux::entry
