/// Bounded memory of what has ended or was cancelled.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {

/// @brief Forgets the oldest key.
/// @param memory not empty in `order`
template <class Value>
void ForgetOldest(Remembered<Value>& memory) {
  memory.values.erase(memory.order.front());
  memory.order.pop_front();
}

/// @brief Keeps a value, replacing one of the same key.
/// @param memory where
/// @param key key
/// @param value value
/// @param most keys kept; the oldest go first
template <class Value>
void Remember(Remembered<Value>& memory, const std::string& key, Value value,
              std::size_t most) {
  const bool is_new =
      memory.values.insert_or_assign(key, std::move(value)).second;
  if (is_new) {
    memory.order.push_back(key);
  }
  while (memory.order.size() > most) {
    ForgetOldest(memory);
  }
}

/// @brief Looks up a key; null where it is not known (any more).
template <class Value>
[[nodiscard]] Value* Recall(Remembered<Value>& memory, const std::string& key) {
  const auto found = memory.values.find(key);
  return found == memory.values.end() ? nullptr : &found->second;
}

}  // namespace buckthornmux::sched
