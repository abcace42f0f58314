/// Bounded maps for ended and cancelled tasks, evicting in insertion order.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {

/// @brief Erases the oldest key.
/// @param map map whose `order` is not empty
template <class Value>
void EraseOldest(BoundedMap<Value>& map) {
  map.values.erase(map.order.front());
  map.order.pop_front();
}

/// @brief Inserts a value or replaces the value of the same key.
/// @param map map to change
/// @param key key
/// @param value value
/// @param most maximum number of keys; the oldest are erased first
template <class Value>
void InsertBounded(BoundedMap<Value>& map, const std::string& key, Value value,
                   std::size_t most) {
  const bool is_new = map.values.insert_or_assign(key, std::move(value)).second;
  if (is_new) {
    map.order.push_back(key);
  }
  while (map.order.size() > most) {
    EraseOldest(map);
  }
}

/// @brief Looks up a key; null if it is unknown or has been erased.
template <class Value>
[[nodiscard]] Value* FindBounded(BoundedMap<Value>& map,
                                 const std::string& key) {
  const auto found = map.values.find(key);
  return found == map.values.end() ? nullptr : &found->second;
}

}  // namespace buckthornmux::sched
