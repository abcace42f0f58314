/// Options that describe a job, shared by `submit` and `load`.
#pragma once

#include <boost/json/object.hpp>
#include <cxxopts.hpp>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::cli {

/// @brief Adds --kind, --idempotent, --deadline-ms, --tasks, --payload and the
///   sizes.
void AddJobOptions(cxxopts::Options& options);

/// @brief Body of POST /v1/jobs from what AddJobOptions added, without an id.
/// @return kUsage where no kind is given
[[nodiscard]] Result<boost::json::object> ReadJobOptions(
    const cxxopts::ParseResult& parsed);

/// @brief A random request id.
[[nodiscard]] Result<std::string> NewRequestId();

}  // namespace buckthornmux::cli
