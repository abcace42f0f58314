/// Times that both parts of a host's membership keep to.
#pragma once

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// How long a host counts as there after its last renewal. Bounds the time
/// that a killed owner's cell stays without one.
inline constexpr Millis kLease{1200};
inline constexpr Millis kRenewEvery{300};
inline constexpr Millis kRetry{100};  ///< After a store call that failed.

}  // namespace buckthornmux::entry
