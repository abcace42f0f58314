// Mutated frames between hosts and mutated records: each is read or refused,
// without a crash or a large allocation. ODD_SEEDS=N runs N seeds.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/pfr.hpp>
#include <cstdlib>
#include <functional>
#include <new>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "buckthornmux/detail/core/archive.h"
#include "buckthornmux/detail/member/records.h"
#include "buckthornmux/detail/peer/messages.h"
#include "src/cell/records/record_codec.h"
#include "src/cell/records/record_layout.h"

namespace {

/// Bytes requested in this thread since the last reset, freed ones included.
thread_local std::size_t requested_bytes = 0;

void* Allocate(std::size_t size) {
  requested_bytes += size;
  // A test never needs as much; a request for it must not be granted.
  constexpr std::size_t kRefused = std::size_t{1} << 30U;
  void* memory = size < kRefused ? std::malloc(size) : nullptr;
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

}  // namespace

void* operator new(std::size_t size) { return Allocate(size); }
void* operator new[](std::size_t size) { return Allocate(size); }
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete[](void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
void operator delete[](void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace buckthornmux {

namespace cell {
using buckthornmux::serialize;
}

namespace {

using Random = std::mt19937_64;

constexpr std::size_t kMostBytes = 4 << 20;  ///< For one small message.

std::size_t Pick(Random& random, std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

std::uint64_t SeedCount() {
  constexpr std::uint64_t kInCi = 300;
  const char* text = std::getenv("ODD_SEEDS");
  return text == nullptr ? kInCi : std::strtoull(text, nullptr, 10);
}

// ---- Values -----------------------------------------------------------------

void Fill(Random& random, std::string& value) {
  value.assign(Pick(random, 20), 'a');
}
void Fill(Random& random, bool& value) { value = Pick(random, 2) == 1; }
void Fill(Random& random, Millis& value) {
  value = Millis(static_cast<std::int64_t>(Pick(random, 9000)));
}
template <class T>
requires(std::is_arithmetic_v<T>) void Fill(Random& random, T& value) {
  value = static_cast<T>(Pick(random, 120));
}
template <class T>
requires(std::is_enum_v<T>) void Fill(Random& random, T& value) {
  value = static_cast<T>(Pick(random, 2));
}
void Fill(Random& random,
          std::map<cell::DoneSteps, cell::NumberRanges>& shelves) {
  for (std::size_t i = Pick(random, 3); i > 0; --i) {
    cell::NumberRanges& numbers = shelves[Pick(random, 120)];
    for (std::size_t n = 0; n <= Pick(random, 9); ++n) {
      const auto number = static_cast<std::uint32_t>(Pick(random, 40));
      if (!numbers.Contains(number)) {
        numbers.Add(number);
      }
    }
    if (numbers.Empty()) {
      numbers.Add(7, 4'000'000'000);
    }
  }
}
template <class T>
void Fill(Random& random, std::vector<T>& values);
template <SerializableAggregate T>
void Fill(Random& random, T& value);
template <class... T>
void Fill(Random& random, std::variant<T...>& value);

template <class T>
void Fill(Random& random, std::vector<T>& values) {
  values.resize(Pick(random, 4));
  for (T& value : values) {
    Fill(random, value);
  }
}
template <SerializableAggregate T>
void Fill(Random& random, T& value) {
  boost::pfr::for_each_field(value, [&](auto& field) { Fill(random, field); });
}
/// Each alternative in turn, so that every kind is met.
template <class... T>
void Fill(Random& random, std::variant<T...>& value) {
  const std::size_t wanted = Pick(random, sizeof...(T));
  std::size_t index = 0;
  const auto take = [&]<class One>(One) {
    if (index++ == wanted) {
      One filled;
      Fill(random, filled);
      value = std::move(filled);
    }
  };
  (take(T{}), ...);
}

// ---- Mutations --------------------------------------------------------------

void PutOddLength(Random& random, std::string& bytes) {
  static const std::vector<std::uint64_t> kLengths{
      0,         1,         255,         65'536,      1U << 20U, 1U << 24U,
      1U << 27U, 1U << 31U, 1ULL << 40U, 1ULL << 62U, ~0ULL};
  const std::uint64_t length = kLengths[Pick(random, kLengths.size())];
  const std::size_t width = Pick(random, 2) == 0 ? 8 : 4;
  const std::size_t at = Pick(random, bytes.size());
  for (std::size_t i = 0; i < width && at + i < bytes.size(); ++i) {
    bytes[at + i] = static_cast<char>(length >> (8 * i) & 0xFFU);
  }
}

/// Through an unsigned value, since the sign of char differs by machine.
void FlipBit(char& byte, std::size_t bit) {
  const auto value = static_cast<unsigned char>(byte);
  byte = static_cast<char>(value ^ (1U << bit));
}

std::string Mutated(Random& random, std::string bytes) {
  const std::size_t times = 1 + Pick(random, 3);
  for (std::size_t i = 0; i < times && !bytes.empty(); ++i) {
    switch (Pick(random, 5)) {
      case 0:
        bytes.resize(Pick(random, bytes.size()));
        break;
      case 1:
        PutOddLength(random, bytes);
        break;
      case 2: {
        const std::size_t bit = Pick(random, 8);
        FlipBit(bytes[Pick(random, bytes.size())], bit);
        break;
      }
      case 3:
        bytes[Pick(random, bytes.size())] =
            static_cast<char>(Pick(random, 2) == 0 ? 0xFF : Pick(random, 256));
        break;
      default:
        bytes.insert(Pick(random, bytes.size()), 1 + Pick(random, 9), '\x7f');
        break;
    }
  }
  return bytes;
}

// ---- Checks -----------------------------------------------------------------

/// Whether all flags read are true or false: others are undefined to use.
bool IsSound(const bool& value) {
  unsigned char byte = 0;
  std::copy_n(reinterpret_cast<const unsigned char*>(&value), 1, &byte);
  return byte <= 1;
}
template <class T>
bool IsSound(const T& value) {
  if constexpr (SerializableAggregate<T> && !std::is_empty_v<T>) {
    bool sound = true;
    boost::pfr::for_each_field(
        value, [&](const auto& field) { sound = sound && IsSound(field); });
    return sound;
  } else {
    return true;
  }
}
template <class T>
bool IsSound(const std::vector<T>& values) {
  return std::ranges::all_of(values,
                             [](const T& value) { return IsSound(value); });
}
template <class... T>
bool IsSound(const std::variant<T...>& value) {
  return std::visit([](const auto& one) { return IsSound(one); }, value);
}

/// Reads mutated bytes; what is not read has to be refused as malformed.
template <class Decode>
void Check(const std::string& what, std::uint64_t seed,
           const std::string& bytes, Decode decode) {
  requested_bytes = 0;
  const auto outcome = Capture([&] { return decode(bytes); });
  const std::size_t used = requested_bytes;
  const std::string where = what + ", seed " + std::to_string(seed) + ", " +
                            std::to_string(bytes.size()) + " bytes";
  CPPUNIT_ASSERT_MESSAGE(where + " took " + std::to_string(used),
                         used <= kMostBytes);
  if (const auto* error = std::get_if<Error>(&outcome)) {
    CPPUNIT_ASSERT_MESSAGE(where + ": " + error->message,
                           error->kind == ErrorKind::kMalformed);
  } else {
    CPPUNIT_ASSERT_MESSAGE(where + ", a flag", IsSound(std::get<0>(outcome)));
  }
}

/// Mutates one value, encoded, many times.
template <class T, class Encode, class Decode>
void Play(const std::string& what, Encode encode, Decode decode) {
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    Random random(seed);
    T value{};
    Fill(random, value);
    const std::string bytes = encode(value);
    CPPUNIT_ASSERT_MESSAGE(
        what + " itself, seed " + std::to_string(seed),
        std::holds_alternative<T>(Capture([&] { return decode(bytes); })));
    constexpr int kEach = 20;
    for (int i = 0; i < kEach; ++i) {
      Check(what, seed, Mutated(random, bytes), decode);
    }
  }
}

template <std::size_t... Index>
void PlayMessages(std::index_sequence<Index...>) {
  (Play<std::variant_alternative_t<Index, peer::Message>>(
       "message " + std::to_string(Index),
       [](const auto& value) { return peer::Encode(peer::Message(value)); },
       [](const std::string& bytes)
           -> Result<std::variant_alternative_t<Index, peer::Message>> {
         BOOST_LEAF_AUTO(message, peer::DecodeMessage(bytes));
         // A mutated index makes it another kind.
         if (message.index() != Index) {
           return std::variant_alternative_t<Index, peer::Message>{};
         }
         return std::get<Index>(std::move(message));
       }),
   ...);
}

class OddFramesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddFramesTest);
  CPPUNIT_TEST(Messages);
  CPPUNIT_TEST(Heartbeats);
  CPPUNIT_TEST(Jobs);
  CPPUNIT_TEST(Ends);
  CPPUNIT_TEST(Progress);
  CPPUNIT_TEST(Targets);
  CPPUNIT_TEST(SilentTargets);
  CPPUNIT_TEST(Members);
  CPPUNIT_TEST(Owners);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Messages() {
    PlayMessages(
        std::make_index_sequence<std::variant_size_v<peer::Message>>());
  }

  void Heartbeats() {
    Play<peer::Heartbeat>(
        "heartbeat", [](const auto& value) { return peer::Encode(value); },
        [](const std::string& bytes) { return peer::DecodeHeartbeat(bytes); });
  }

  void Jobs() {
    Play<std::vector<cell::StoredJob>>(
        "jobs", cell::EncodeJobs,
        [](const std::string& bytes) { return cell::DecodeJobs(bytes, "x"); });
  }

  void Ends() {
    Play<std::vector<cell::StoredEnd>>(
        "ends", cell::EncodeEnds,
        [](const std::string& bytes) { return cell::DecodeEnds(bytes, "x"); });
  }

  void Progress() {
    Play<cell::StoredProgress>("progress", cell::EncodeProgress, DecodeWhole);
  }

  void Targets() {
    PlayBinary<cell::StoredTargets>("targets");
    PlayBinary<std::vector<cell::StoredTarget>>("targets");
  }

  void SilentTargets() { PlayBinary<cell::StoredSilentTargets>("silent"); }

  void Members() {
    Play<member::Member>(
        "member", member::EncodeMember,
        [](const std::string& bytes) { return member::DecodeMember(bytes); });
  }

  void Owners() {
    Play<member::OwnerRecord>(
        "owner", member::EncodeOwnerRecord, [](const std::string& bytes) {
          return member::DecodeOwnerRecord(bytes, Revision{1});
        });
  }

 private:
  static Result<cell::StoredProgress> DecodeWhole(const std::string& bytes) {
    std::vector<cell::StoredOccurrence> open;
    BOOST_LEAF_AUTO(progress,
                    cell::DecodeProgress(bytes, "x",
                                         [&](const cell::StoredProgress&,
                                             cell::StoredOccurrence& one) {
                                           open.push_back(std::move(one));
                                         }));
    progress.open = std::move(open);
    return progress;
  }

  template <class T>
  static void PlayBinary(const std::string& what) {
    Play<T>(
        what, [](const T& value) { return EncodeBinary(value); },
        [](const std::string& bytes) { return DecodeBinary<T>(bytes, "x"); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddFramesTest);

}  // namespace
}  // namespace buckthornmux
