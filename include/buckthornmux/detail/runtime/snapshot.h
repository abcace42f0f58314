/// A value that one duty publishes and others read.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace buckthornmux::runtime {

/// @brief Latest version of an immutable value.
/// @tparam T value; readers share it
template <class T>
class Snapshot {
 public:
  /// @brief Latest version; never null.
  [[nodiscard]] std::shared_ptr<const T> Load() const {
    const std::scoped_lock lock(m_mutex);
    return m_value;
  }

  /// @brief Replaces the value.
  void Store(std::shared_ptr<const T> value) {
    const std::scoped_lock lock(m_mutex);
    m_value = std::move(value);
  }

 private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const T> m_value = std::make_shared<const T>();
};

}  // namespace buckthornmux::runtime
