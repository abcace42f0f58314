/// Bounded maps for ended and cancelled tasks, evicting in insertion order.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {

/// @brief Erases the oldest key.
/// @param memory map whose `order` is not empty
template <class Value>
void EraseOldest(BoundedMap<Value>& memory) {
  memory.values.erase(memory.order.front());
  memory.order.pop_front();
}

/// @brief Inserts a value or replaces the value of the same key.
/// @param memory map to change
/// @param key key
/// @param value value
/// @param most maximum number of keys; the oldest are erased first
template <class Value>
void Remember(BoundedMap<Value>& memory, const std::string& key, Value value,
              std::size_t most) {
  const bool is_new =
      memory.values.insert_or_assign(key, std::move(value)).second;
  if (is_new) {
    memory.order.push_back(key);
  }
  while (memory.order.size() > most) {
    EraseOldest(memory);
  }
}

/// @brief Looks up a key; null if it is unknown or has been erased.
template <class Value>
[[nodiscard]] Value* Recall(BoundedMap<Value>& memory, const std::string& key) {
  const auto found = memory.values.find(key);
  return found == memory.values.end() ? nullptr : &found->second;
}

}  // namespace buckthornmux::sched
