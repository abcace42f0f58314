/// Timing constants that both source files of Membership use.
#pragma once

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// How long a host counts as alive after its last renewal. Bounds the time that
/// a cell has no owner after its owner was killed.
inline constexpr Millis kLease{1200};
inline constexpr Millis kRenewInterval{300};
inline constexpr Millis kRetryDelay{100};  ///< Delay after a failed store call.

}  // namespace buckthornmux::entry
