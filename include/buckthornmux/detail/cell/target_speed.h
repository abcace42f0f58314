/// Evidence on the speed of one target.
#pragma once

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::cell {

/// Sums of logarithms of run times relative to other targets. Their weights
/// halve with time; see src/cell/placement/target_speed.h.
struct TargetSpeed {
  double sum = 0;
  double weight = 0;  ///< Number of comparisons, aged.
  Time at;            ///< When the sums were last aged.
};

}  // namespace buckthornmux::cell
