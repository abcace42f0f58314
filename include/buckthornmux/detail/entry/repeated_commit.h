/// Conditional writes to a store that may lose answers.
#pragma once

#include <cstdint>
#include <optional>

#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// @brief Sends one transaction again while it has no answer.
///
/// Each copy has the same conditions, so one of them takes effect at the most;
/// a condition that fails because the key already holds the written value shows
/// that a former copy did. That needs values that no other write shares.
class RepeatedCommit {
 public:
  /// A call without an answer is repeated after this; a healthy store takes 4
  /// ms.
  static constexpr Millis kRepeatAfter{100};

  /// @param store outlives this object, which outlives its calls
  explicit RepeatedCommit(const store::AsyncStore& store) : m_store(store) {}
  RepeatedCommit(const RepeatedCommit&) = delete;
  RepeatedCommit& operator=(const RepeatedCommit&) = delete;

  /// @brief Begins; a former transaction is not waited for any more.
  /// @param done takes the first sure answer. Errors: kStoreUnavailable where
  /// no
  ///   copy had effect, kStoreUnknown where one may have, also later
  void Start(store::Transaction transaction,
             store::Reply<store::TransactionEnd> done);

  /// @brief Sends another copy where it is time for one.
  void Tick(Time now);

 private:
  void Send();
  void Take(Outcome<store::TransactionEnd> outcome);
  [[nodiscard]] std::optional<Revision> AppliedBefore(
      const store::TransactionEnd& end) const;

  const store::AsyncStore& m_store;
  std::uint64_t m_round = 0;  ///< Answers to former transactions are ignored.
  bool m_active = false;
  store::Transaction m_transaction;
  store::Reply<store::TransactionEnd> m_done;
  Time m_sent;
  int m_sends = 0;
  int m_open = 0;           ///< Copies without an answer.
  bool m_doubtful = false;  ///< Some copy may have had effect.
};

}  // namespace buckthornmux::entry
