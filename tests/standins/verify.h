/// Checks what must hold against the targets' own logs. Pure.
#pragma once

#include <string>
#include <vector>

#include "standins/evidence.h"

namespace buckthornmux::standins {

/// The result for one property.
struct Finding {
  std::string property;
  std::size_t checked = 0;
  std::size_t breaches = 0;
  std::string example;  ///< Of the first breach.
};

/// @brief Checks every property.
/// @return one finding each: at_most_once, not_run_is_true, no_overlap,
///   within_capacity, within_team_limit, own_answer, patient_has_end
/// Complexity: n log n in the lines.
[[nodiscard]] std::vector<Finding> Verify(const Evidence& evidence);

}  // namespace buckthornmux::standins
