/// Definitions of former configurations that accepted jobs still need. Each has
/// a record of its own, so that no value grows with their number.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "buckthornmux/detail/cell/state.h"
#include "buckthornmux/detail/core/archive.h"

namespace buckthornmux::cell {

using buckthornmux::serialize;

template <class Definition>
using KeptMap = std::map<std::string, Kept<Definition>, std::less<>>;

template <class Definition>
void MarkUnwritten(Cell& cell, Kept<Definition>& kept, Time now) {
  kept.unstored = true;
  cell.writes.since = cell.writes.since.value_or(now);
}

/// @brief Keeps a definition by its name, to be stored if it has changed.
template <class Definition>
void Keep(Cell& cell, KeptMap<Definition>& map, const Definition& definition,
          Time now) {
  const auto [found, added] = map.try_emplace(definition.name);
  Kept<Definition>& kept = found->second;
  if (added) {
    kept.record = cell.next_kept_record++;
  }
  if (added || kept.definition != definition) {
    kept.definition = definition;
    MarkUnwritten(cell, kept, now);
  }
}

template <class Definition>
[[nodiscard]] std::string KeyOf(std::string_view prefix,
                                const Kept<Definition>& kept) {
  return std::string(prefix) + std::to_string(kept.record);
}

/// @brief Takes over a definition that a former owner has stored.
/// @param key of its record
/// @return false if the key is malformed
template <class Definition>
[[nodiscard]] bool Inherit(Cell& cell, KeptMap<Definition>& map,
                           std::string_view prefix, std::string_view key,
                           Definition definition) {
  Kept<Definition> kept{std::move(definition), 0, false};
  const std::string_view number = key.substr(prefix.size());
  const char* end = number.data() + number.size();
  if (const auto parsed = std::from_chars(number.data(), end, kept.record);
      parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  cell.next_kept_record = std::max(cell.next_kept_record, kept.record + 1);
  const auto [found, added] = map.try_emplace(kept.definition.name, kept);
  if (!added) {
    // The former record of a definition that came back was not erased yet.
    if (found->second.record < kept.record) {
      std::swap(found->second, kept);
    }
    cell.bundles.erasures.push_back({KeyOf(prefix, kept), {}});
  }
  return true;
}

template <class Definition>
[[nodiscard]] bool IsWritten(const KeptMap<Definition>& map,
                             std::string_view name) {
  const auto kept = map.find(name);
  return kept == map.end() || !kept->second.unstored;
}

template <class Definition>
[[nodiscard]] bool AnyUnwritten(const KeptMap<Definition>& map) {
  return std::ranges::any_of(
      map, [](const auto& entry) { return entry.second.unstored; });
}

/// @brief Adds unwritten definitions to a batch of at most `max_writes` writes.
template <class Definition>
void WriteUnwritten(KeptMap<Definition>& map, std::string_view prefix,
                    Batch& batch, std::size_t max_writes) {
  for (auto& [name, kept] : map) {
    if (batch.writes.size() >= max_writes) {
      return;
    }
    if (kept.unstored) {
      batch.writes.push_back(
          {KeyOf(prefix, kept), EncodeBinary(kept.definition), false});
      kept.unstored = false;
    }
  }
}

/// @brief Drops the definitions whose names no job uses, and their records.
template <class Definition>
void DropUnused(Cell& cell, KeptMap<Definition>& map, std::string_view prefix,
                const std::unordered_set<std::string_view>& used, Time now) {
  std::vector<std::string> unused;
  for (const auto& [name, kept] : map) {
    if (!used.contains(name)) {
      unused.push_back(name);
      cell.bundles.erasures.push_back({KeyOf(prefix, kept), {}});
      cell.writes.since = cell.writes.since.value_or(now);
    }
  }
  for (const std::string& name : unused) {
    map.erase(name);
  }
}

}  // namespace buckthornmux::cell
