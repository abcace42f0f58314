#include "buckthornmux/detail/config/json_reader.h"

#include <algorithm>
#include <boost/json/kind.hpp>
#include <boost/json/parser.hpp>
#include <sstream>

namespace buckthornmux::config {
namespace {

namespace json = boost::json;

std::string KindOf(const json::value& value) {
  return std::string(json::to_string(value.kind()));
}

std::string Expected(std::string_view form, const json::value& found) {
  return "expected " + std::string(form) + ", found " + KindOf(found);
}

std::string PlaceOf(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const auto line = 1 + std::ranges::count(before, '\n');
  const auto newline = before.rfind('\n');
  const auto column =
      newline == std::string_view::npos ? offset + 1 : offset - newline;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

std::string RangeText(const IntegerRange& range) {
  std::string text = "an integer (" + std::string(range.unit) + ") of " +
                     std::to_string(range.min);
  if (range.max == std::numeric_limits<std::int64_t>::max()) {
    return text + " or more";
  }
  return text + " to " + std::to_string(range.max);
}

/// The integer, also where the document writes it as 8.0; nullopt otherwise.
std::optional<std::int64_t> AsInteger(const json::value& value) {
  if (value.is_int64()) {
    return value.get_int64();
  }
  if (value.is_double()) {
    constexpr double kExact = 9007199254740992.0;  // 2^53
    const double number = value.get_double();
    const auto integer = number > -kExact && number < kExact
                             ? static_cast<std::int64_t>(number)
                             : 0;
    if (static_cast<double>(integer) == number) {
      return integer;
    }
  }
  return std::nullopt;
}

}  // namespace

Result<json::value> ParseJson(std::string_view text, std::string_view file) {
  json::parser parser;
  boost::system::error_code error;
  const std::size_t parsed = parser.write(text.data(), text.size(), error);
  if (error) {
    return Fail(ErrorKind::kMalformed,
                "not JSON: " + error.message() + " at " + PlaceOf(text, parsed),
                std::string(file));
  }
  return parser.release();
}

std::string JoinPath(std::string_view path, std::string_view name) {
  std::string joined(path);
  joined += '/';
  for (const char c : name) {
    if (c == '~') {
      joined += "~0";
    } else if (c == '/') {
      joined += "~1";
    } else {
      joined += c;
    }
  }
  return joined;
}

ObjectReader::ObjectReader(const json::value& value, std::string_view file,
                           std::string_view path, Problems& problems)
    : m_object(value.if_object()),
      m_file(file),
      m_path(path),
      m_problems(problems) {
  if (m_object == nullptr) {
    m_problems.push_back({m_file, m_path, Expected("an object", value)});
  }
}

bool ObjectReader::Has(std::string_view name) const {
  return m_object != nullptr && m_object->contains(name);
}

const json::value* ObjectReader::Find(std::string_view name) {
  m_known.emplace(name);
  return m_object == nullptr ? nullptr : m_object->if_contains(name);
}

std::string ObjectReader::PathOf(std::string_view name) const {
  return JoinPath(m_path, name);
}

void ObjectReader::Report(std::string_view name, std::string message) {
  if (m_object != nullptr) {
    m_problems.push_back({m_file, PathOf(name), std::move(message)});
  }
}

std::string ObjectReader::RequiredString(std::string_view name) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    Report(name, "missing: expected a string");
  } else if (!value->is_string()) {
    Report(name, Expected("a string", *value));
  } else if (value->get_string().empty()) {
    Report(name, "expected a string that is not empty");
  } else {
    return std::string(value->get_string());
  }
  return {};
}

std::string ObjectReader::String(std::string_view name,
                                 std::string_view fallback) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    return std::string(fallback);
  }
  if (!value->is_string()) {
    Report(name, Expected("a string", *value));
    return std::string(fallback);
  }
  return std::string(value->get_string());
}

std::int64_t ObjectReader::Integer(std::string_view name, IntegerRange range,
                                   std::optional<std::int64_t> fallback) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    if (!fallback) {
      Report(name, "missing: expected " + RangeText(range));
    }
    return fallback.value_or(range.min);
  }
  const auto integer = AsInteger(*value);
  if (!integer) {
    Report(name, Expected(RangeText(range), *value));
    return fallback.value_or(range.min);
  }
  if (*integer < range.min || *integer > range.max) {
    Report(name, "expected " + RangeText(range) + ", found " +
                     std::to_string(*integer));
    return fallback.value_or(range.min);
  }
  return *integer;
}

double ObjectReader::Number(std::string_view name, double min, double max) {
  std::ostringstream form;
  form << "a number of " << min << " to " << max;
  const json::value* value = Find(name);
  if (value == nullptr) {
    Report(name, "missing: expected " + form.str());
    return min;
  }
  if (!value->is_number()) {
    Report(name, Expected(form.str(), *value));
    return min;
  }
  const double number = value->to_number<double>();
  if (number < min || number > max) {
    form << ", found " << number;
    Report(name, "expected " + form.str());
    return min;
  }
  return number;
}

bool ObjectReader::Bool(std::string_view name, bool fallback) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_bool()) {
    Report(name, Expected("true or false", *value));
    return fallback;
  }
  return value->get_bool();
}

std::vector<std::string> ObjectReader::Strings(std::string_view name) {
  std::vector<std::string> strings;
  const json::array* array = Array(name, false);
  if (array == nullptr) {
    return strings;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const json::value& item = (*array)[i];
    if (item.is_string() && !item.get_string().empty()) {
      strings.emplace_back(item.get_string());
    } else {
      m_problems.push_back({m_file, JoinPath(PathOf(name), std::to_string(i)),
                            Expected("a string that is not empty", item)});
    }
  }
  return strings;
}

const json::array* ObjectReader::Array(std::string_view name, bool required) {
  const json::value* value = Find(name);
  if (value == nullptr) {
    if (required) {
      Report(name, "missing: expected an array");
    }
    return nullptr;
  }
  if (!value->is_array()) {
    Report(name, Expected("an array", *value));
    return nullptr;
  }
  return &value->get_array();
}

const json::value* ObjectReader::Value(std::string_view name) {
  return Find(name);
}

void ObjectReader::ReportUnknownFields() {
  if (m_object == nullptr) {
    return;
  }
  for (const auto& field : *m_object) {
    const std::string_view name = field.key();
    if (!m_known.contains(name)) {
      std::string known;
      for (const std::string& each : m_known) {
        known += (known.empty() ? "" : ", ") + each;
      }
      Report(name, "unknown field: expected one of " + known);
    }
  }
}

}  // namespace buckthornmux::config
