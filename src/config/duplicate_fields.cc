#include "buckthornmux/detail/config/duplicate_fields.h"

#include <boost/json/basic_parser_impl.hpp>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

#include "buckthornmux/detail/config/json_reader.h"

namespace buckthornmux::config {
namespace {

namespace json = boost::json;
using boost::system::error_code;
using Text = json::string_view;

/// An open object or array.
struct Level {
  bool is_object = false;
  std::string path;
  std::set<std::string> fields;
  std::string field;      ///< The one being read.
  std::size_t index = 0;  ///< Of an array: the item being read.

  [[nodiscard]] std::string Place() const {
    return JoinPath(path, is_object ? field : std::to_string(index));
  }
};

/// Handler of Boost.JSON's event parser, which names its functions itself.
// NOLINTBEGIN(readability-identifier-naming)
struct DuplicateHandler {
  static constexpr std::size_t max_object_size = SIZE_MAX;
  static constexpr std::size_t max_array_size = SIZE_MAX;
  static constexpr std::size_t max_key_size = SIZE_MAX;
  static constexpr std::size_t max_string_size = SIZE_MAX;

  std::vector<Level> levels;
  std::string partial;  ///< Of a field's name that comes in parts.
  std::vector<std::string> found;

  void Open(bool is_object) {
    std::string path = levels.empty() ? std::string() : levels.back().Place();
    levels.push_back({is_object, std::move(path), {}, {}, 0});
  }
  bool Close() {
    levels.pop_back();
    return ValueEnds();
  }
  bool ValueEnds() {
    if (!levels.empty()) {
      ++levels.back().index;
    }
    return true;
  }

  bool on_document_begin(error_code& /*code*/) { return true; }
  bool on_document_end(error_code& /*code*/) { return true; }
  bool on_object_begin(error_code& /*code*/) {
    Open(true);
    return true;
  }
  bool on_object_end(std::size_t /*n*/, error_code& /*code*/) {
    return Close();
  }
  bool on_array_begin(error_code& /*code*/) {
    Open(false);
    return true;
  }
  bool on_array_end(std::size_t /*n*/, error_code& /*code*/) { return Close(); }
  bool on_key_part(Text part, std::size_t /*n*/, error_code& /*code*/) {
    partial += part;
    return true;
  }
  bool on_key(Text part, std::size_t /*n*/, error_code& /*code*/) {
    partial += part;
    Level& level = levels.back();
    level.field = std::exchange(partial, {});
    if (!level.fields.insert(level.field).second) {
      found.push_back(level.Place());
    }
    return true;
  }
  bool on_string_part(Text /*part*/, std::size_t /*n*/, error_code& /*code*/) {
    return true;
  }
  bool on_string(Text /*part*/, std::size_t /*n*/, error_code& /*code*/) {
    return ValueEnds();
  }
  bool on_number_part(Text /*part*/, error_code& /*code*/) { return true; }
  bool on_int64(std::int64_t /*value*/, Text /*text*/, error_code& /*code*/) {
    return ValueEnds();
  }
  bool on_uint64(std::uint64_t /*value*/, Text /*text*/, error_code& /*code*/) {
    return ValueEnds();
  }
  bool on_double(double /*value*/, Text /*text*/, error_code& /*code*/) {
    return ValueEnds();
  }
  bool on_bool(bool /*value*/, error_code& /*code*/) { return ValueEnds(); }
  bool on_null(error_code& /*code*/) { return ValueEnds(); }
  bool on_comment_part(Text /*part*/, error_code& /*code*/) { return true; }
  bool on_comment(Text /*part*/, error_code& /*code*/) { return true; }
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

std::vector<std::string> DuplicateFields(std::string_view text) {
  json::basic_parser<DuplicateHandler> parser{json::parse_options()};
  error_code code;
  parser.write_some(false, text.data(), text.size(), code);
  return std::move(parser.handler().found);
}

}  // namespace buckthornmux::config
