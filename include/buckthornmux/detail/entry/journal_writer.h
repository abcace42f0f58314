/// Makes changes of a cell durable, one transaction after the other.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/state.h"
#include "buckthornmux/detail/member/ownership.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// What the writer reports, on the loop's thread.
struct JournalEvents {
  std::function<void(std::vector<cell::RecordWrite> records)> loaded;
  std::function<void(const cell::Batch& batch)> stored;
  /// Another host owns the range.
  std::function<void()> lost;
};

/// @brief Reads a range's records and writes batches under two conditions: the
///   owner's record is unchanged, which fences former owners; and the head
///   record is as the last batch left it, so that a write whose answer was lost
///   can take effect once at most, and never after a later one.
class JournalWriter {
 public:
  /// @param store outlives the writer
  JournalWriter(const store::AsyncStore& store, JournalEvents events);

  /// @brief Reads all records of a range that this host now owns.
  void Open(const member::OwnerRecord& owner);

  /// @brief Forgets the range; answers still under way are ignored.
  void Close();

  /// @brief Whether a batch may be handed over.
  [[nodiscard]] bool Ready() const { return m_open && !m_batch; }
  [[nodiscard]] bool Idle() const { return !m_batch; }

  /// @brief Writes a batch; only while Ready.
  void Write(cell::Batch batch, Time now);

  /// @brief Repeats what had no answer.
  void Tick(Time now);

  /// @brief Since when the present batch waits; nothing where none does.
  [[nodiscard]] std::optional<Time> WaitingSince() const;

  /// @brief Most records that one batch may hold.
  [[nodiscard]] static std::size_t MostWrites();

  /// What the reading of a range's records has taken so far.
  struct Reading {
    std::uint64_t pages = 0;     ///< Read well...
    std::uint64_t bytes = 0;     ///< ...with this much in keys and values.
    std::uint64_t failures = 0;  ///< Calls that brought no page.
  };
  [[nodiscard]] const Reading& LastReading() const { return m_reading; }
  /// @brief When the reading last went on; nothing while none is under way.
  [[nodiscard]] std::optional<Time> ReadingSince() const {
    return m_loading ? std::optional(m_read_at) : std::nullopt;
  }

 private:
  void ReadHead();
  void ReadRecords();
  void RetryLoad(const Error& error);
  void Send();
  void CheckHead();
  void Answered(const Outcome<store::TransactionEnd>& outcome);
  void Applied(Revision revision);
  [[nodiscard]] std::string Key(std::string_view name) const;

  const store::AsyncStore& m_store;
  JournalEvents m_events;
  std::uint64_t m_round = 0;  ///< Of Open and Close; older answers are ignored.
  member::OwnerRecord m_owner;
  bool m_open = false;
  bool m_loading = false;
  Reading m_reading;
  Time m_read_at;  ///< The reading began, or a page came.
  Time m_asked;    ///< The last call of the reading left.
  std::optional<Time> m_load_again;
  bool m_head_read = false;
  std::string m_read_to;  ///< Last key that was read; empty: none yet.
  std::vector<cell::RecordWrite> m_records;
  Revision m_head_revision = store::kAbsent;
  std::uint64_t m_sequence = 0;  ///< Of the last batch that was begun.
  std::optional<cell::Batch> m_batch;
  Time m_began;
  Millis m_check_after{0};  ///< An unanswered send is looked up after this.
  Time m_sent;
  int m_in_flight = 0;
  bool m_checking = false;
  std::optional<Time> m_send_again;
};

}  // namespace buckthornmux::entry
