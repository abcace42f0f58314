#include "buckthornmux/detail/entry/journal_writer.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

constexpr std::string_view kHead = "head";
/// Limit of the store on the entries of a transaction.
constexpr std::size_t kMaxTransactionEntries = 32;
/// Entries besides the batch's records: two conditions and the head record.
constexpr std::size_t kReservedEntries = 3;
constexpr Millis kRetryDelay{100};
constexpr Millis kRejectedRetryDelay{1000};
/// Time until the head record is read for an unanswered write. A healthy store
/// takes 4 ms for a write.
constexpr Millis kHeadCheckDelay{80};
constexpr int kMaxInFlight = 3;  ///< Unanswered writes of one batch.

/// Estimates the time to transfer a batch to the store.
Millis EstimatedTransferTime(const cell::Batch& batch) {
  std::size_t bytes = 0;
  for (const cell::RecordWrite& write : batch.writes) {
    bytes += write.key.size() + store::EncodedSize(write.value.size());
  }
  return store::TransferTime(bytes);
}

std::string HeadValue(Epoch epoch, std::uint64_t sequence) {
  return std::to_string(epoch) + "/" + std::to_string(sequence);
}

}  // namespace

JournalWriter::JournalWriter(const store::AsyncStore& store,
                             JournalEvents events)
    : m_store(store), m_events(std::move(events)) {}

std::size_t JournalWriter::MaxBatchWrites() {
  return kMaxTransactionEntries - kReservedEntries;
}

std::string JournalWriter::Key(std::string_view name) const {
  return std::string(store::kJournalPrefix) + m_owner.range + "/" +
         std::string(name);
}

void JournalWriter::Open(const member::OwnerRecord& owner) {
  Close();
  m_owner = owner;
  m_loading = true;
  m_sequence = 0;
  m_reading = {};
  m_head_read = false;
  m_last_key_read.clear();
  m_read_at = Now();
  ReadHead();
}

void JournalWriter::Close() {
  ++m_round;
  m_open = false;
  m_loading = false;
  m_load_retry_at.reset();
  m_records.clear();
  m_batch.reset();
  m_in_flight = 0;
  m_checking = false;
  m_resend_at.reset();
}

/// Schedules the next read after a failure. Only this host, as the owner,
/// writes to the range, so pages read before and after the failure are
/// consistent.
void JournalWriter::RetryLoad(const Error& error) {
  ++m_reading.failures;
  LogLine("records_page_failed", Level::kWarning)
      .With("range", m_owner.range)
      .With("epoch", m_owner.epoch)
      .With("pages", m_reading.pages)
      .With("bytes", m_reading.bytes)
      .With("failures", m_reading.failures)
      .With("waited_ms", (Now() - m_read_sent_at).count())
      .With("reason", error.message);
  m_load_retry_at = Now() + kRetryDelay;
}

void JournalWriter::ReadHead() {
  m_read_sent_at = Now();
  m_store.get(Key(kHead), [this, round = m_round](auto outcome) {
    if (round != m_round) {
      return;
    }
    if (const auto* error = std::get_if<Error>(&outcome)) {
      RetryLoad(*error);
      return;
    }
    const auto& head = std::get<std::optional<store::Entry>>(outcome);
    m_head_revision = head ? head->revision : store::kAbsent;
    m_head_read = true;
    ReadRecords();
  });
}

void JournalWriter::ReadRecords() {
  const std::string prefix = Key("");
  m_read_sent_at = Now();
  m_store.list(
      prefix, m_last_key_read, [this, round = m_round, prefix](auto outcome) {
        if (round != m_round) {
          return;
        }
        if (const auto* error = std::get_if<Error>(&outcome)) {
          RetryLoad(*error);
          return;
        }
        m_read_at = Now();
        ++m_reading.pages;
        auto& page = std::get<store::ItemPage>(outcome);
        if (!page.items.empty()) {
          m_last_key_read = page.items.back().key;
        }
        for (auto& item : page.items) {
          m_reading.bytes += item.key.size() + item.value.size();
          m_records.push_back(
              {item.key.substr(prefix.size()), std::move(item.value), false});
        }
        if (page.more && !page.items.empty()) {
          ReadRecords();
          return;
        }
        m_loading = false;
        m_open = true;
        m_events.loaded(std::move(m_records));
        m_records = {};
      });
}

void JournalWriter::Write(cell::Batch batch, Time now) {
  m_batch = std::move(batch);
  ++m_sequence;
  m_in_flight = 0;  // Answers for former batches are not counted.
  m_began = now;
  m_head_check_delay = kHeadCheckDelay + EstimatedTransferTime(*m_batch);
  Send();
}

void JournalWriter::Send() {
  store::Transaction transaction;
  transaction.conditions.push_back(
      {std::string(store::kOwnersPrefix) + m_owner.range, m_owner.revision});
  transaction.conditions.push_back({Key(kHead), m_head_revision});
  transaction.writes.push_back(
      {Key(kHead), HeadValue(m_owner.epoch, m_sequence), store::kNoLease});
  for (const cell::RecordWrite& write : m_batch->writes) {
    if (write.erase) {
      transaction.erasures.push_back(Key(write.key));
    } else {
      transaction.writes.push_back(
          {Key(write.key), write.value, store::kNoLease});
    }
  }
  m_sent = Now();
  m_resend_at.reset();
  ++m_in_flight;
  m_store.commit(
      std::move(transaction),
      [this, round = m_round, sequence = m_sequence](const auto& outcome) {
        if (round == m_round && sequence == m_sequence) {
          HandleAnswer(outcome);
        }
      });
}

void JournalWriter::HandleAnswer(
    const Outcome<store::TransactionEnd>& outcome) {
  --m_in_flight;
  if (!m_batch) {
    return;  // CheckHead has found that the batch is stored.
  }
  if (std::holds_alternative<Error>(outcome)) {
    m_resend_at = Now() + kRetryDelay;
    return;
  }
  const auto& end = std::get<store::TransactionEnd>(outcome);
  if (end.kind == store::TransactionEnd::Kind::kApplied) {
    OnApplied(end.revision);
    return;
  }
  if (end.kind == store::TransactionEnd::Kind::kRejected) {
    OnRejected(end.reason);
    return;
  }
  const std::string owner_key =
      std::string(store::kOwnersPrefix) + m_owner.range;
  for (const store::Entry& entry : end.current) {
    if (entry.key == owner_key && entry.revision != m_owner.revision) {
      LogLine("journal_lost", Level::kWarning)
          .With("range", m_owner.range)
          .With("owner_revision", entry.revision)
          .With("expected", m_owner.revision);
      m_events.lost();
      return;
    }
  }
  CheckHead();
}

void JournalWriter::OnApplied(Revision revision) {
  m_head_revision = revision;
  const cell::Batch batch = std::move(*m_batch);
  m_batch.reset();
  m_resend_at.reset();
  m_events.stored(batch);
}

/// Goes on without the record that the store rejects, so that other changes
/// don't wait for it.
void JournalWriter::OnRejected(std::string_view reason) {
  LogLine("batch_rejected", Level::kError)
      .With("range", m_owner.range)
      .With("sequence", m_sequence)
      .With("records", static_cast<std::uint64_t>(m_batch->writes.size()))
      .With("reason", reason);
  if (!m_events.shorten(*m_batch, reason)) {
    m_resend_at = Now() + kRejectedRetryDelay;
    return;
  }
  ++m_sequence;  // Answers to the rejected batch don't count.
  m_in_flight = 0;
  Send();
}

/// Reads the head record to find out whether the current batch has taken effect
/// or another host has claimed the range.
void JournalWriter::CheckHead() {
  if (m_checking) {
    return;
  }
  m_checking = true;
  m_store.get(
      Key(kHead), [this, round = m_round, sequence = m_sequence](auto outcome) {
        if (round != m_round) {
          return;
        }
        m_checking = false;
        if (!m_batch || sequence != m_sequence ||
            std::holds_alternative<Error>(outcome)) {
          return;  // Tick retries.
        }
        const auto& head = std::get<std::optional<store::Entry>>(outcome);
        const std::string expected = HeadValue(m_owner.epoch, m_sequence);
        if (head && head->value == expected) {
          OnApplied(head->revision);
        } else if (!head || head->revision == m_head_revision) {
          // The batch is not stored yet, but an unanswered write may still take
          // effect. A repeated write has the same condition, so at most one of
          // them does.
          if (m_in_flight < kMaxInFlight) {
            m_resend_at = Now();
          }
        } else if (head->value == HeadValue(m_owner.epoch, m_sequence - 1)) {
          m_head_revision = head->revision;
          m_resend_at = Now();
        } else {
          LogLine("journal_lost", Level::kWarning)
              .With("range", m_owner.range)
              .With("head", head->value)
              .With("expected", expected);
          m_events.lost();
        }
      });
}

void JournalWriter::Tick(Time now) {
  if (m_load_retry_at && now >= *m_load_retry_at) {
    m_load_retry_at.reset();
    if (m_head_read) {
      ReadRecords();
    } else {
      ReadHead();
    }
  }
  if (!m_batch) {
    return;
  }
  if (m_resend_at && now >= *m_resend_at) {
    Send();
  } else if (m_in_flight > 0 && now - m_sent >= m_head_check_delay) {
    m_sent = now;
    CheckHead();
  }
}

std::optional<Time> JournalWriter::WaitingSince() const {
  return m_batch ? std::optional(m_began) : std::nullopt;
}

}  // namespace buckthornmux::entry
