/// Reads JSON objects field by field and collects every problem with its path.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/config/problem.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::config {

/// Bounds of an integer field.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
  std::string_view unit = "count";  ///< Shown in problems.
};

/// @brief Parses one JSON text.
/// @param text the whole document
/// @param file name shown in the error
/// @return the value; kMalformed with line and column
[[nodiscard]] Result<boost::json::value> ParseJson(std::string_view text,
                                                   std::string_view file);

/// @brief Joins a JSON pointer and a field name or index.
[[nodiscard]] std::string JoinPath(std::string_view path,
                                   std::string_view name);

/// @brief Reads the fields of one object. A field that is missing or of the
///   wrong form is reported and read as its default, so that one pass finds
///   every problem.
class ObjectReader {
 public:
  /// @param value what should be an object
  /// @param file name shown in problems
  /// @param path JSON pointer of the value
  /// @param problems takes the findings; outlives the reader
  ObjectReader(const boost::json::value& value, std::string_view file,
               std::string_view path, Problems& problems);

  /// @brief Whether the value is an object at all.
  [[nodiscard]] bool IsObject() const { return m_object != nullptr; }
  /// @brief Whether the field is there.
  [[nodiscard]] bool Has(std::string_view name) const;

  /// @brief A string that must be there and must not be empty.
  [[nodiscard]] std::string RequiredString(std::string_view name);
  /// @brief A string, or a default where it is not there.
  [[nodiscard]] std::string String(std::string_view name,
                                   std::string_view fallback = {});
  /// @brief An integer; must be there where no default is given.
  [[nodiscard]] std::int64_t Integer(
      std::string_view name, IntegerRange range,
      std::optional<std::int64_t> fallback = std::nullopt);
  /// @brief A number that must be there.
  [[nodiscard]] double Number(std::string_view name, double min, double max);
  /// @brief true or false, or a default where it is not there.
  [[nodiscard]] bool Bool(std::string_view name, bool fallback);
  /// @brief An array of non-empty strings; empty where it is not there.
  [[nodiscard]] std::vector<std::string> Strings(std::string_view name);
  /// @brief An array; must be there where `required`.
  /// @return null where it is not there or no array
  [[nodiscard]] const boost::json::array* Array(std::string_view name,
                                                bool required);
  /// @brief Any value that the caller checks by itself; null where missing.
  [[nodiscard]] const boost::json::value* Value(std::string_view name);

  /// @brief Reports a problem at a field of this object.
  void Report(std::string_view name, std::string message);
  /// @brief Reports every field that was never asked for.
  void ReportUnknownFields();
  /// @brief JSON pointer of a field.
  [[nodiscard]] std::string PathOf(std::string_view name) const;

 private:
  const boost::json::value* Find(std::string_view name);

  const boost::json::object* m_object;
  std::string m_file;
  std::string m_path;
  Problems& m_problems;
  std::set<std::string, std::less<>> m_known;
};

}  // namespace buckthornmux::config
