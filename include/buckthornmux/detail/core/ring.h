/// Bounded rings that join the duties.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace buckthornmux {

/// @brief Bounded queue from many threads to one duty.
///
/// A full ring refuses at once: it never blocks and never drops what it took.
/// Requests from outside are refused at `edge_capacity` already, so that the
/// system's own messages (answers, ends of tasks) still find room.
/// @tparam T movable message
template <class T>
class BoundedRing {
 public:
  /// @param edge_capacity most messages before TryPushEdge refuses
  /// @param capacity most messages at all
  BoundedRing(std::size_t edge_capacity, std::size_t capacity)
      : m_edge_capacity(edge_capacity), m_messages(capacity) {}

  /// @brief Takes one of the system's own messages.
  /// @return false where the ring is full; the message is untouched then
  [[nodiscard]] bool TryPush(T&& message) {
    const std::scoped_lock lock(m_mutex);
    if (m_messages.full()) {
      return false;
    }
    m_messages.push_back(std::move(message));
    return true;
  }

  /// @brief Takes a request from outside.
  /// @return false where the ring is full for such; the message is untouched
  [[nodiscard]] bool TryPushEdge(T&& message) {
    const std::scoped_lock lock(m_mutex);
    if (m_messages.size() >= m_edge_capacity) {
      return false;
    }
    m_messages.push_back(std::move(message));
    return true;
  }

  /// @brief Takes all messages out, in order.
  [[nodiscard]] std::vector<T> PopAll() {
    const std::scoped_lock lock(m_mutex);
    std::vector<T> taken(std::make_move_iterator(m_messages.begin()),
                         std::make_move_iterator(m_messages.end()));
    m_messages.clear();
    return taken;
  }

 private:
  std::mutex m_mutex;
  const std::size_t m_edge_capacity;
  boost::circular_buffer_space_optimized<T> m_messages;
};

}  // namespace buckthornmux
