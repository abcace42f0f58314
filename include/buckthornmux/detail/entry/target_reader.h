/// Reads the list of targets while this host owns a cell.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/types.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// The targets as one reading has found them.
struct TargetList {
  std::vector<cell::TargetEntry> entries;
  Time as_of;  ///< When the reading began; every earlier change is shown.
  std::size_t pages = 0;
};

/// @brief Returns the maximum age of a list that tasks are started by.
/// @param drain_within from this time after a target was listed as draining, no
///   task may begin on it; 0: no limit
[[nodiscard]] Millis MaxListAge(Millis drain_within);

/// Decodes the entry of a target.
using TargetParser = std::function<Result<cell::TargetEntry>(
    std::string_view key, std::string_view text)>;

/// Maximum number of unreadable entries that are remembered and logged one by
/// one.
inline constexpr std::size_t kMaxUnreadableTargets = 256;

/// @brief Lists all entries at a fixed interval, several times within the
///   maximum age of a list. An entry that can't be parsed
///   is skipped, and logged once for each different error while its key exists.
class TargetReader {
 public:
  using Listed = std::function<void(TargetList)>;

  TargetReader(const store::AsyncStore& store, std::string prefix,
               TargetParser parse, Listed listed,
               Millis max_age = Millis::max());

  /// @brief Starts or stops the reading. A start reads at once. Answers to
  ///   earlier calls are ignored: their list may lack what has changed since.
  void SetActive(bool active, Time now);
  void Tick(Time now);

 private:
  /// Keys of entries that could not be parsed, with the error messages.
  using Unreadable = std::map<std::string, std::string>;
  /// What the pages of one list have shown so far.
  struct Reading {
    TargetList list;
    Unreadable unreadable;
    std::size_t excess = 0;  ///< Unreadable entries beyond the maximum.
  };

  void Read(std::string after, Reading reading);
  void ParseEntry(const store::Entry& item, Reading& reading);
  void Fail(const Error& error, Reading reading);
  void Finish(Reading reading);

  const store::AsyncStore& m_store;
  std::string m_prefix;
  TargetParser m_parse;
  Listed m_listed;
  Millis m_interval;
  Time m_now;  ///< Of the latest tick.
  bool m_active = false;
  /// Incremented by SetActive; answers to earlier calls are ignored.
  std::uint64_t m_term = 0;
  bool m_reading = false;
  bool m_store_healthy = true;
  Time m_next;
  Unreadable m_unreadable;  ///< At most kMaxUnreadableTargets.
  std::size_t m_excess = 0;
};

}  // namespace buckthornmux::entry
