/// Retries conditional writes to a store whose answers may be lost.
#pragma once

#include <cstdint>
#include <optional>

#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// @brief Sends a transaction repeatedly until it is answered.
///
/// Each copy has the same conditions, so at most one of them takes effect. If a
/// condition fails and the key already holds the written value, an earlier copy
/// took effect. This requires that no other write has the same value.
class RepeatedCommit {
 public:
  /// Interval between copies. A healthy store answers within 4 ms.
  static constexpr Millis kRepeatInterval{100};

  /// @param store outlives this object, which outlives its calls
  explicit RepeatedCommit(const store::AsyncStore& store) : m_store(store) {}
  RepeatedCommit(const RepeatedCommit&) = delete;
  RepeatedCommit& operator=(const RepeatedCommit&) = delete;

  /// @brief Starts a transaction; an earlier one is no longer waited for.
  /// @param done receives the first definite answer. Errors: kStoreUnavailable
  ///   if no copy took effect, kStoreUnknown if a copy may have taken effect or
  ///   may still do so
  void Start(store::Transaction transaction,
             store::Reply<store::TransactionEnd> done);

  /// @brief Sends another copy if one is due.
  void Tick(Time now);

 private:
  void Send();
  void HandleAnswer(Outcome<store::TransactionEnd> outcome);
  [[nodiscard]] std::optional<Revision> AppliedBefore(
      const store::TransactionEnd& end) const;

  const store::AsyncStore& m_store;
  /// Incremented by Start; answers to earlier transactions are ignored.
  std::uint64_t m_round = 0;
  bool m_active = false;
  store::Transaction m_transaction;
  store::Reply<store::TransactionEnd> m_done;
  Time m_sent;
  int m_sends = 0;
  int m_unanswered = 0;             ///< Unanswered copies.
  bool m_may_have_applied = false;  ///< A copy may have taken effect.
};

}  // namespace buckthornmux::entry
