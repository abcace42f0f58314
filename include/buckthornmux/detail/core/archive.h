/// Binary serialization of aggregates, field by field, with cereal's portable
/// archive.
///
/// A namespace whose aggregates are serialized must contain
/// `using buckthornmux::serialize;`, so that argument-dependent lookup finds
/// it.
#pragma once

#include <boost/pfr.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include "buckthornmux/detail/core/error.h"

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
