/// Reads the list of targets while this host owns a cell.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/types.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// Decodes the entry of a target.
using TargetParser = std::function<Result<cell::TargetEntry>(
    std::string_view key, std::string_view text)>;

/// @brief Lists all entries at a fixed interval. An entry that can't be parsed
///   is skipped, and logged once for each different error.
class TargetReader {
 public:
  using Listed = std::function<void(std::vector<cell::TargetEntry>)>;

  TargetReader(const store::AsyncStore& store, std::string prefix,
               TargetParser parse, Listed listed);

  /// @brief Starts or stops the reading.
  void SetActive(bool active);
  void Tick(Time now);

 private:
  void Read(std::string after, std::vector<cell::TargetEntry> entries);
  void ParseEntry(const store::Entry& item,
                  std::vector<cell::TargetEntry>& entries);

  const store::AsyncStore& m_store;
  std::string m_prefix;
  TargetParser m_parse;
  Listed m_listed;
  bool m_active = false;
  bool m_reading = false;
  bool m_store_healthy = true;
  Time m_next;
  /// Keys of entries that could not be parsed, with the error messages.
  std::map<std::string, std::string> m_unreadable;
};

}  // namespace buckthornmux::entry
