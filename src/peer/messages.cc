#include "buckthornmux/detail/peer/messages.h"

#include <boost/pfr.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <type_traits>

namespace buckthornmux {

/// Aggregates of this project are archived field by field, in order.
template <class T>
concept WireStruct = std::is_aggregate_v<T> && std::is_class_v<T>;

template <class Archive, WireStruct T>
void serialize(Archive& archive, T& value) {
  boost::pfr::for_each_field(value, [&](auto& field) { archive(field); });
}

// Found by argument-dependent lookup from each namespace that has messages.
namespace sched {
using buckthornmux::serialize;
}
namespace home {
using buckthornmux::serialize;
}
namespace peer {
using buckthornmux::serialize;
}

namespace peer {
namespace {

template <class T>
std::string EncodeAny(const T& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  return std::move(stream).str();
}

template <class T>
Result<T> DecodeAny(std::string_view bytes) {
  try {
    std::istringstream stream{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(stream);
    T value;
    archive(value);
    if (stream.peek() != std::istringstream::traits_type::eof()) {
      return Fail(ErrorKind::kMalformed, "bytes behind a peer message");
    }
    return value;
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kMalformed,
                std::string("not a peer message: ") + error.what());
  }
}

}  // namespace

std::string Encode(const Message& message) { return EncodeAny(message); }

std::string Encode(const Heartbeat& heartbeat) { return EncodeAny(heartbeat); }

Result<Message> DecodeMessage(std::string_view bytes) {
  return DecodeAny<Message>(bytes);
}

Result<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  return DecodeAny<Heartbeat>(bytes);
}

}  // namespace peer
}  // namespace buckthornmux
