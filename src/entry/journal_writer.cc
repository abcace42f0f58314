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
constexpr std::size_t kMostEntries = 32;  ///< Of a transaction, by the store.
constexpr std::size_t kOwnEntries = 3;    ///< Two conditions and the head.
constexpr Millis kRetry{100};
/// An unanswered write is looked up after this; a healthy store takes 4 ms.
constexpr Millis kCheckAfter{80};
constexpr int kMostInFlight = 3;  ///< Sends of one batch.

/// Of the store's records in a transaction, as they are sent.
Millis TimeOnTheWay(const cell::Batch& batch) {
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

std::size_t JournalWriter::MostWrites() { return kMostEntries - kOwnEntries; }

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
  m_read_to.clear();
  m_read_at = Now();
  ReadHead();
}

void JournalWriter::Close() {
  ++m_round;
  m_open = false;
  m_loading = false;
  m_load_again.reset();
  m_records.clear();
  m_batch.reset();
  m_in_flight = 0;
  m_checking = false;
  m_send_again.reset();
}

/// Nobody else writes to the range since this host owns it, so that pages read
/// before and after a failure fit together.
void JournalWriter::RetryLoad(const Error& error) {
  ++m_reading.failures;
  LogLine("records_page_failed", Level::kWarning)
      .With("range", m_owner.range)
      .With("epoch", m_owner.epoch)
      .With("pages", m_reading.pages)
      .With("bytes", m_reading.bytes)
      .With("failures", m_reading.failures)
      .With("waited_ms", (Now() - m_asked).count())
      .With("reason", error.message);
  m_load_again = Now() + kRetry;
}

void JournalWriter::ReadHead() {
  m_asked = Now();
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
  m_asked = Now();
  m_store.list(
      prefix, m_read_to, [this, round = m_round, prefix](auto outcome) {
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
          m_read_to = page.items.back().key;
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
  m_in_flight = 0;  // Answers of former batches are not counted.
  m_began = now;
  m_check_after = kCheckAfter + TimeOnTheWay(*m_batch);
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
  m_send_again.reset();
  ++m_in_flight;
  m_store.commit(
      std::move(transaction),
      [this, round = m_round, sequence = m_sequence](const auto& outcome) {
        if (round == m_round && sequence == m_sequence) {
          Answered(outcome);
        }
      });
}

void JournalWriter::Answered(const Outcome<store::TransactionEnd>& outcome) {
  --m_in_flight;
  if (!m_batch) {
    return;  // Known to be stored meanwhile.
  }
  if (std::holds_alternative<Error>(outcome)) {
    m_send_again = Now() + kRetry;
    return;
  }
  const auto& end = std::get<store::TransactionEnd>(outcome);
  if (end.kind == store::TransactionEnd::Kind::kApplied) {
    Applied(end.revision);
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

void JournalWriter::Applied(Revision revision) {
  m_head_revision = revision;
  const cell::Batch batch = std::move(*m_batch);
  m_batch.reset();
  m_send_again.reset();
  m_events.stored(batch);
}

/// Finds out whether the present batch has taken effect, or another host has
/// taken the range.
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
          return;  // Tick sends or checks again.
        }
        const auto& head = std::get<std::optional<store::Entry>>(outcome);
        const std::string mine = HeadValue(m_owner.epoch, m_sequence);
        if (head && head->value == mine) {
          Applied(head->revision);
        } else if (!head || head->revision == m_head_revision) {
          // Not written yet. A former send may still take effect; it and the
          // next one share a condition, so only one of them can.
          if (m_in_flight < kMostInFlight) {
            m_send_again = Now();
          }
        } else if (head->value == HeadValue(m_owner.epoch, m_sequence - 1)) {
          m_head_revision = head->revision;
          m_send_again = Now();
        } else {
          LogLine("journal_lost", Level::kWarning)
              .With("range", m_owner.range)
              .With("head", head->value)
              .With("expected", mine);
          m_events.lost();
        }
      });
}

void JournalWriter::Tick(Time now) {
  if (m_load_again && now >= *m_load_again) {
    m_load_again.reset();
    if (m_head_read) {
      ReadRecords();
    } else {
      ReadHead();
    }
  }
  if (!m_batch) {
    return;
  }
  if (m_send_again && now >= *m_send_again) {
    Send();
  } else if (m_in_flight > 0 && now - m_sent >= m_check_after) {
    m_sent = now;
    CheckHead();
  }
}

std::optional<Time> JournalWriter::WaitingSince() const {
  return m_batch ? std::optional(m_began) : std::nullopt;
}

}  // namespace buckthornmux::entry
