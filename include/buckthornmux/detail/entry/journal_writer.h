/// Writes changes of a cell to the store, one transaction at a time.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/state.h"
#include "buckthornmux/detail/member/ownership.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// Callbacks of the writer, run on the event loop's thread.
struct JournalEvents {
  std::function<void(std::vector<cell::RecordWrite> records)> loaded;
  std::function<void(const cell::Batch& batch)> stored;
  /// Another host owns the range.
  std::function<void()> lost;
  /// The store rejects a batch whatever it holds. Leaves out the record that is
  /// the likely cause; returns false if there is none that may be left out.
  std::function<bool(cell::Batch& batch, std::string_view reason)> shorten;
};

/// @brief Reads a range's records and writes batches to it.
///
/// A write takes effect only if the owner's record is unchanged, which fences
/// former owners. The head record must also be as the last batch left it, so
/// that a write whose answer was lost takes effect at most once, and never
/// after a later one.
class JournalWriter {
 public:
  /// @param store outlives the writer
  JournalWriter(const store::AsyncStore& store, JournalEvents events);

  /// @brief Starts to read all records of a range that this host now owns.
  void Open(const member::OwnerRecord& owner);

  /// @brief Drops the range; pending answers of the store are ignored.
  void Close();

  /// @brief Whether Write may be called.
  [[nodiscard]] bool Ready() const { return m_open && !m_batch; }
  [[nodiscard]] bool Idle() const { return !m_batch; }

  /// @brief Writes a batch. Requires Ready().
  void Write(cell::Batch batch, Time now);

  /// @brief Retries calls that failed or had no answer.
  void Tick(Time now);

  /// @brief Since when the current batch waits; nothing if there is none.
  [[nodiscard]] std::optional<Time> WaitingSince() const;

  /// @brief Maximum number of records in a batch.
  [[nodiscard]] static std::size_t MaxBatchWrites();

  /// Statistics of reading a range's records.
  struct Reading {
    std::uint64_t pages = 0;     ///< Pages read.
    std::uint64_t bytes = 0;     ///< Size of the keys and values read.
    std::uint64_t failures = 0;  ///< Calls that failed.
  };
  [[nodiscard]] const Reading& LastReading() const { return m_reading; }
  /// @brief When the last page arrived or the reading began; nothing if no
  ///   reading is in progress.
  [[nodiscard]] std::optional<Time> ReadingSince() const {
    return m_loading ? std::optional(m_read_at) : std::nullopt;
  }

 private:
  void ReadHead();
  void ReadRecords();
  void RetryLoad(const Error& error);
  void Send();
  void CheckHead();
  void HandleAnswer(const Outcome<store::TransactionEnd>& outcome);
  void OnApplied(Revision revision);
  void OnRejected(std::string_view reason);
  [[nodiscard]] std::string Key(std::string_view name) const;

  const store::AsyncStore& m_store;
  JournalEvents m_events;
  /// Incremented by Open and Close; answers to earlier calls are ignored.
  std::uint64_t m_round = 0;
  member::OwnerRecord m_owner;
  bool m_open = false;
  bool m_loading = false;
  Reading m_reading;
  Time m_read_at;       ///< When the reading began or the last page arrived.
  Time m_read_sent_at;  ///< When the last call of the reading was sent.
  std::optional<Time> m_load_retry_at;
  bool m_head_read = false;
  std::string m_last_key_read;  ///< Last key that was read; empty if none was.
  std::vector<cell::RecordWrite> m_records;
  Revision m_head_revision = store::kAbsent;
  std::uint64_t m_sequence = 0;  ///< Number of the last batch.
  std::optional<cell::Batch> m_batch;
  Time m_began;  ///< When the current batch was passed to Write.
  /// How long a write may be unanswered before CheckHead runs.
  Millis m_head_check_delay{0};
  Time m_sent;
  int m_in_flight = 0;
  bool m_checking = false;
  std::optional<Time> m_resend_at;
};

}  // namespace buckthornmux::entry
