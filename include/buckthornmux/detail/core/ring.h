/// Bounded message queue between duties, which are the threads of a process.
#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace buckthornmux {

/// @brief Bounded queue from many threads to one duty.
///
/// A push to a full ring fails at once; it never blocks, and accepted messages
/// are never dropped. External requests are refused from `external_capacity`
/// on, so that internal messages (answers, ends of tasks) still have room.
/// @tparam T movable message type
template <class T>
class BoundedRing {
 public:
  /// @param external_capacity number of messages from which on external
  ///   requests are refused
  /// @param capacity maximum number of messages
  BoundedRing(std::size_t external_capacity, std::size_t capacity)
      : m_external_capacity(external_capacity), m_messages(capacity) {}

  /// @brief Appends an internal message.
  /// @return false if the ring is full; the message is then unchanged
  [[nodiscard]] bool TryPush(T&& message) {
    const std::scoped_lock lock(m_mutex);
    if (m_messages.full()) {
      return false;
    }
    m_messages.push_back(std::move(message));
    return true;
  }

  /// @brief Appends an external request.
  /// @return false if `external_capacity` is reached; the message is then
  ///   unchanged
  [[nodiscard]] bool TryPushExternal(T&& message) {
    const std::scoped_lock lock(m_mutex);
    if (m_messages.size() >= m_external_capacity) {
      return false;
    }
    m_messages.push_back(std::move(message));
    return true;
  }

  /// @brief Removes and returns all messages, in order.
  [[nodiscard]] std::vector<T> PopAll() {
    const std::scoped_lock lock(m_mutex);
    std::vector<T> taken(std::make_move_iterator(m_messages.begin()),
                         std::make_move_iterator(m_messages.end()));
    m_messages.clear();
    return taken;
  }

 private:
  std::mutex m_mutex;
  const std::size_t m_external_capacity;
  boost::circular_buffer_space_optimized<T> m_messages;
};

}  // namespace buckthornmux
