/// Typed access to the members of a JSON object, with one deferred error check.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/bounds.h"
#include "buckthornmux/detail/core/time.h"

namespace buckthornmux {

/// @brief Reader of one JSON object. It keeps the first error, so that a parse
///   function can read all members and check for errors once.
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

  /// @brief Reads an optional member; `out` is unchanged if the member is
  ///   absent or null.
  template <class T>
  void ReadOptional(std::string_view name, T& out) {
    const auto* value = Find(name);
    if (value != nullptr && !value->is_null()) {
      Read(name, out);
    }
  }

  /// @brief Reads an optional duration in whole milliseconds.
  void ReadOptional(std::string_view name, Millis& out) {
    std::int64_t millis = out.count();
    ReadOptional(name, millis);
    out = Millis(millis);
  }

  /// @brief Reads a number and fails if it isn't within the range.
  template <class T>
  void ReadIn(std::string_view name, T& out, const bounds::Range<T>& range) {
    T number{};
    Read(name, number);
    Bound(name, number, range, out);
  }

  /// @brief Reads an optional number and fails if it isn't within the range;
  ///   `out` is unchanged if the member is absent or null.
  template <class T>
  void ReadOptionalIn(std::string_view name, T& out,
                      const bounds::Range<T>& range) {
    const auto* value = Find(name);
    if (value != nullptr && !value->is_null()) {
      T number{};
      ReadOptional(name, number);
      Bound(name, number, range, out);
    }
  }

  /// @brief Returns an array member, or an empty array if it is absent.
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

  /// @brief Whether the value was an object and no read has failed.
  [[nodiscard]] bool Good() const { return m_failed.empty(); }

  /// @brief Returns a member, or nullptr if it is absent.
  [[nodiscard]] const boost::json::value* Find(std::string_view name) const {
    return m_object == nullptr ? nullptr : m_object->if_contains(name);
  }

  /// @brief Records that a member is invalid; only the first one is kept.
  void Fail(std::string_view name) {
    if (m_failed.empty()) {
      m_failed = std::string(name);
    }
  }

  /// @brief Name of the first invalid member, or empty.
  [[nodiscard]] const std::string& Failed() const { return m_failed; }

 private:
  template <class T>
  void Bound(std::string_view name, const T& number,
             const bounds::Range<T>& range, T& out) {
    if (range.Has(number)) {
      out = number;
    } else {
      Fail(name);
    }
  }

  const boost::json::object* m_object;
  std::string m_failed;
};

}  // namespace buckthornmux
