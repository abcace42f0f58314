/// The member duty: registration under a lease, owner records, routes.
#pragma once

#include <map>
#include <vector>

#include "buckthornmux/detail/member/ownership.h"
#include "buckthornmux/detail/runtime/wiring.h"

namespace buckthornmux::runtime {

/// @brief State and step of the member duty; used by its thread alone.
class MemberDuty {
 public:
  explicit MemberDuty(Wiring& wiring);

  /// @brief Takes messages, keeps the lease, writes owner records.
  /// @return when to be called again at the latest
  Time Step(std::vector<MemberMessage> messages, Time now);

  /// @brief Takes this process out of the members, at the end.
  void Deregister();

 private:
  void Take(const StateRead& message, Time now);
  void Take(const RangeLetGo& message, Time now);
  void Take(const LeaveRequested& message, Time now);
  void Take(const ConfigChanged& message, Time now);

  void KeepLease(Time now);
  void TellLease();
  void Register(Time now);
  void WriteMember(store::LeaseId lease);
  void Decide(const member::Event& event, Time now);
  void Write(const member::OwnerRecord& record, Time now);
  void PublishRoutes(const member::StoreView& view);
  void ReadAfterGains();

  Wiring& m_wiring;
  member::Member m_self;
  member::OwnershipState m_ownership;
  store::LeaseId m_lease = store::kNoLease;
  Time m_renew_at;
  bool m_gained = false;  ///< Some range since the last read of the store.
};

}  // namespace buckthornmux::runtime
