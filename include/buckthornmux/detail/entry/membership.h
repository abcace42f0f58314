/// Registers this host, reads who else is there and who owns the cell.
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

/// What membership reports, on the loop's thread.
struct MembershipEvents {
  /// This host owns the range from now on.
  std::function<void(const member::OwnerRecord& record)> gained;
  std::function<void(const std::string& range)> lost;
  /// Let go of the range, then call Membership::Released.
  std::function<void(const std::string& range)> release;
  /// Whether this host's registration surely stands.
  std::function<void(bool held)> lease;
  /// Members or owners changed.
  std::function<void()> view;
};

/// @brief Drives member::Apply with calls of the store.
///
/// The store's changes are watched; a full view is read after each change and
/// at least every few seconds, since a watch alone proves nothing.
class Membership {
 public:
  /// @param self as it registers; its incarnation is drawn anew
  /// @param ranges that are to be owned
  Membership(const store::AsyncStore& store, member::Member self,
             std::vector<member::RangesWanted::Range> ranges,
             MembershipEvents events);

  /// @brief Starts to register and to read.
  void Start();

  /// @brief Time passed.
  void Tick(Time now);

  /// @brief Leaves: claims nothing more and hands over.
  void Leave();
  /// @brief Takes part again after Leave.
  void Return();

  /// @brief The owner has let go of a range.
  void Released(const std::string& range);

  /// @brief Serves a range no more, without a word to the store.
  void Abandon(const std::string& range);
  /// @brief The owner of that epoch has abandoned the range to this host.
  void TakeOffer(const std::string& range, Epoch epoch);
  /// @brief Another host has read this record from the store.
  void HearOwner(const member::OwnerRecord& record);

  /// @brief Ends the registration; the last call.
  void Unregister(std::function<void()> done);

  /// @brief Another owner was met: reads the store at once.
  void Recheck();

  /// @brief Members of the last view.
  [[nodiscard]] const std::vector<member::Member>& Members() const {
    return m_ownership.members;
  }
  /// @brief When the reading of the last view began.
  [[nodiscard]] Time ViewedAt() const {
    return m_ownership.read_at.value_or(Time{});
  }
  /// @brief Registered owner of a range; empty where none is known.
  [[nodiscard]] HostId OwnerOf(const std::string& range) const;
  /// @brief Epoch of the last owner that this host has read or heard of.
  [[nodiscard]] Epoch KnownEpoch(const std::string& range) const;
  /// @brief Epoch under which this host owns a range, one that it releases
  ///   included; 0 where it does not.
  [[nodiscard]] Epoch OwnedEpoch(const std::string& range) const;
  /// @brief Record of a range whose owner is registered in the last view.
  [[nodiscard]] std::optional<member::OwnerRecord> RegisteredOwner(
      const std::string& range) const;
  /// @brief Other members that may own ranges.
  [[nodiscard]] std::size_t OthersActive() const;
  /// @brief Whether nothing is owned or about to be.
  [[nodiscard]] bool OwnsNothing() const {
    return member::OwnsNothing(m_ownership);
  }

 private:
  void Decide(const member::Event& event);
  void Register();
  void AskForLease(Revision expected);
  void WriteMember(store::LeaseId lease, Revision expected, Time sent_at);
  void UpdateRecord(std::function<void()> then);
  void Renew();
  void ReadOwners();
  void ReadMembers(std::vector<member::OwnerRecord> owners, Time began,
                   std::string after, std::vector<member::Member> members);
  void TakeView(member::StoreView view);
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
  /// Revision under which the member record is to be written, while the lease
  /// for it is being asked for.
  std::optional<Revision> m_lease_for;
  std::uint64_t m_lease_round = 0;  ///< Answers to former ones are ignored.
  Time m_lease_asked_at;
  int m_lease_asks = 0;      ///< That are not answered yet.
  int m_renewals = 0;        ///< That are not answered yet.
  Time m_renew_sent;         ///< The last renewal...
  Time m_renewed;            ///< ...and the last one that was answered well,
  Millis m_renewal_time{0};  ///< ...which took so long.
  std::map<std::string, RepeatedCommit> m_claims;  ///< By range.
  bool m_reading = false;
  bool m_read_again = false;
  bool m_watching = false;
  bool m_unregistered = false;
  bool m_store_well = true;
  member::OwnerRecord m_heard;  ///< Last record that another host told of.
  Time m_heard_at;
  Time m_register_at;
  Time m_renew_at;
  Time m_read_at;
  Time m_watch_at;
  Revision m_watch_from = 0;
};

}  // namespace buckthornmux::entry
