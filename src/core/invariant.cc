#include "buckthornmux/detail/core/invariant.h"

#include <glog/logging.h>

namespace buckthornmux {

void InvariantBroken(std::string_view name, std::string_view detail) {
  LOG(FATAL) << "event=invariant_broken name=" << name << " detail=\"" << detail
             << "\"";
  std::abort();  // Not reached; the compiler does not know that LOG(FATAL)
                 // aborts.
}

}  // namespace buckthornmux
