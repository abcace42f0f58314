/// Reads typed members of a JSON object and remembers the first that fails.
#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

namespace buckthornmux::target {

/// @brief Cursor over one JSON object; errors stick, so that a parse function
///   reads all members first and checks once.
class JsonReader {
 public:
  explicit JsonReader(const boost::json::value* value)
      : m_object(value == nullptr ? nullptr : value->if_object()) {
    if (m_object == nullptr) {
      m_failed = "object";
    }
  }

  /// @brief Reads an integer that fits into the type.
  template <class T>
  void Read(std::string_view name, T& out) {
    const auto* value = Find(name);
    boost::system::error_code error;
    const T number = value == nullptr ? T{} : value->to_number<T>(error);
    if (value == nullptr || error) {
      Fail(name);
      return;
    }
    out = number;
  }

  void Read(std::string_view name, std::string& out) {
    const auto* value = Find(name);
    if (value == nullptr || !value->is_string()) {
      Fail(name);
      return;
    }
    out = std::string(value->as_string());
  }

  void Read(std::string_view name, bool& out) {
    const auto* value = Find(name);
    if (value == nullptr || !value->is_bool()) {
      Fail(name);
      return;
    }
    out = value->as_bool();
  }

  /// @brief Finds a member, or nullptr.
  [[nodiscard]] const boost::json::value* Find(std::string_view name) const {
    return m_object == nullptr ? nullptr : m_object->if_contains(name);
  }

  /// @brief Remembers that a member could not be read.
  void Fail(std::string_view name) {
    if (m_failed.empty()) {
      m_failed = std::string(name);
    }
  }

  /// @brief Name of the first member that could not be read, or empty.
  [[nodiscard]] const std::string& Failed() const { return m_failed; }

 private:
  const boost::json::object* m_object;
  std::string m_failed;
};

}  // namespace buckthornmux::target
