/// Reads typed members of a JSON object and remembers the first that fails.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux {

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

  /// @brief Reads a member that may be left out; `out` keeps its value then.
  template <class T>
  void ReadIf(std::string_view name, T& out) {
    const auto* value = Find(name);
    if (value != nullptr && !value->is_null()) {
      Read(name, out);
    }
  }

  /// @brief Reads a span of whole milliseconds that may be left out.
  void ReadIf(std::string_view name, Millis& out) {
    std::int64_t millis = out.count();
    ReadIf(name, millis);
    out = Millis(millis);
  }

  /// @brief An array member, or an empty one where it is left out.
  [[nodiscard]] const boost::json::array& Array(std::string_view name) {
    static const boost::json::array kEmpty;
    const auto* value = Find(name);
    if (value == nullptr) {
      return kEmpty;
    }
    if (!value->is_array()) {
      Fail(name);
      return kEmpty;
    }
    return value->get_array();
  }

  /// @brief Whether the object was there and every member could be read.
  [[nodiscard]] bool Good() const { return m_failed.empty(); }

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

}  // namespace buckthornmux
