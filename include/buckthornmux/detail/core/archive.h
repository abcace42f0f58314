/// Binary serialization of aggregates, field by field, with cereal's portable
/// archive.
///
/// A namespace whose aggregates are serialized must contain
/// `using buckthornmux::serialize;`, so that argument-dependent lookup finds
/// it.
#pragma once

#include <algorithm>
#include <boost/pfr.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "buckthornmux/detail/core/error.h"

// Preferred to cereal's own functions, which allocate as much as a length read
// says before they read any element.
namespace cereal {

/// Containers grow by at most so much before their next bytes are read.
inline constexpr std::size_t kMaxReadAheadBytes = 64 << 10;

/// @brief Reads a flag; any byte but 0 and 1 is refused.
inline void load(PortableBinaryInputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive(byte);
  if (byte > 1) {
    throw Exception("a flag is neither 0 nor 1");
  }
  value = byte == 1;
}

/// @brief Reads contiguous values of one size; their bytes limit what is
///   allocated.
template <class Container>
void LoadPlain(PortableBinaryInputArchive& archive, Container& values) {
  using Value = typename Container::value_type;
  size_type left = 0;
  archive(make_size_tag(left));
  values.clear();
  while (left > 0) {
    const size_type part =
        std::min<size_type>(left, kMaxReadAheadBytes / sizeof(Value));
    const std::size_t before = values.size();
    values.resize(before + static_cast<std::size_t>(part));
    archive(binary_data(values.data() + before,
                        static_cast<std::size_t>(part) * sizeof(Value)));
    left -= part;
  }
}

inline void load(PortableBinaryInputArchive& archive, std::string& text) {
  LoadPlain(archive, text);
}

template <class T, class Allocator>
void load(PortableBinaryInputArchive& archive,
          std::vector<T, Allocator>& values) {
  static_assert(!std::is_empty_v<T>, "an element must take bytes");
  if constexpr (std::is_arithmetic_v<T>) {
    static_assert(!std::is_same_v<T, bool>);
    LoadPlain(archive, values);
  } else {
    size_type left = 0;
    archive(make_size_tag(left));
    values.clear();
    for (; left > 0; --left) {
      archive(values.emplace_back());
    }
  }
}

}  // namespace cereal

namespace buckthornmux {

/// Aggregate classes; these are serialized field by field, in order.
template <class T>
concept SerializableAggregate = std::is_aggregate_v<T> && std::is_class_v<T>;

template <class Archive, SerializableAggregate T>
void serialize(Archive& archive, T& value) {
  boost::pfr::for_each_field(value, [&](auto& field) { archive(field); });
}

/// @brief Serializes a value.
template <class T>
[[nodiscard]] std::string EncodeBinary(const T& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  return std::move(stream).str();
}

/// @brief Parses the output of EncodeBinary.
/// @param what name of the value in error messages
/// @return the value; kMalformed for any other input, including trailing bytes
template <class T>
[[nodiscard]] Result<T> DecodeBinary(std::string_view bytes,
                                     std::string_view what) {
  try {
    std::istringstream stream{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(stream);
    T value;
    archive(value);
    if (stream.peek() != std::istringstream::traits_type::eof()) {
      return Fail(ErrorKind::kMalformed,
                  "extra bytes after " + std::string(what));
    }
    return value;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kMalformed,
                "not " + std::string(what) + ": " + error.what());
  }
}

}  // namespace buckthornmux
