/// Reads the parts of a configuration that documents and stored form share.
#pragma once

#include <boost/json/fwd.hpp>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/config/json_reader.h"

namespace buckthornmux::config {

/// Bounds on declared sizes; a value past them is taken for a wrong unit.
inline constexpr std::int64_t kMaxSlots = 100'000;
inline constexpr std::int64_t kMaxCpuMilli = 10'000'000;
inline constexpr std::int64_t kMaxMemoryMb = 100'000'000;
inline constexpr std::int64_t kMaxAccelerators = 10'000;
inline constexpr std::int64_t kMaxConnections = 1'000'000;
inline constexpr std::int64_t kMaxFleetSlots = 100'000'000;
inline constexpr std::int64_t kMaxRunMs = 30LL * 24 * 3600 * 1000;

/// @brief Reads a target; `shard` only where the stored form has it.
[[nodiscard]] TargetSpec ReadTarget(ObjectReader& reader);
/// @brief Reads a team.
[[nodiscard]] Team ReadTeam(ObjectReader& reader);
/// @brief Reads a kind of work.
/// @param reader at the kind's object
/// @param file name shown in problems of the demand
/// @param problems takes the findings of the demand
[[nodiscard]] WorkKind ReadKind(ObjectReader& reader, std::string_view file,
                                Problems& problems);
/// @brief Reads a demand: slots (default 1), cpu_milli, memory_mb,
///   accelerators.
[[nodiscard]] Resources ReadDemand(const boost::json::value& value,
                                   std::string_view file, std::string_view path,
                                   Problems& problems);

}  // namespace buckthornmux::config
