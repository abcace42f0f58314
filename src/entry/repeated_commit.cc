#include "buckthornmux/detail/entry/repeated_commit.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/entry/clock.h"

namespace buckthornmux::entry {
namespace {

/// If two of three copies are lost, at least one of eight copies arrives with a
/// probability of 96%.
constexpr int kMaxSends = 8;

}  // namespace

void RepeatedCommit::Start(store::Transaction transaction,
                           store::Reply<store::TransactionEnd> done) {
  ++m_round;
  m_active = true;
  m_transaction = std::move(transaction);
  m_done = std::move(done);
  m_sends = 0;
  m_unanswered = 0;
  m_may_have_applied = false;
  Send();
}

void RepeatedCommit::Send() {
  m_sent = Now();
  ++m_sends;
  ++m_unanswered;
  m_store.commit(m_transaction, [this, round = m_round](auto outcome) {
    if (m_active && round == m_round) {
      HandleAnswer(std::move(outcome));
    }
  });
}

/// Returns the revision at which an earlier copy was written; nothing if none
/// was.
std::optional<Revision> RepeatedCommit::AppliedBefore(
    const store::TransactionEnd& end) const {
  for (const store::ItemWrite& write : m_transaction.writes) {
    const auto there =
        std::ranges::find(end.current, write.key, &store::Entry::key);
    if (there != end.current.end() && there->value == write.value) {
      return there->revision;
    }
  }
  return std::nullopt;
}

void RepeatedCommit::HandleAnswer(Outcome<store::TransactionEnd> outcome) {
  --m_unanswered;
  if (const auto* end = std::get_if<store::TransactionEnd>(&outcome);
      end != nullptr && end->kind == store::TransactionEnd::Kind::kRejected) {
    outcome =
        Error{ErrorKind::kStoreUnavailable, "rejected: " + end->reason, {}};
  }
  if (const auto* error = std::get_if<Error>(&outcome)) {
    m_may_have_applied =
        m_may_have_applied || error->kind != ErrorKind::kStoreUnavailable;
    if (m_unanswered > 0) {
      return;
    }
    if (m_may_have_applied) {
      outcome = Error{ErrorKind::kStoreUnknown, error->message, {}};
    }
  } else if (auto& end = std::get<store::TransactionEnd>(outcome);
             end.kind == store::TransactionEnd::Kind::kConditionFailed) {
    if (const auto revision = AppliedBefore(end)) {
      end = {store::TransactionEnd::Kind::kApplied, {}, *revision, {}};
    }
  }
  m_active = false;
  const auto done = std::exchange(m_done, nullptr);
  done(std::move(outcome));
}

void RepeatedCommit::Tick(Time now) {
  if (m_active && m_sends < kMaxSends && now - m_sent >= kRepeatInterval) {
    Send();
  }
}

}  // namespace buckthornmux::entry
