#include "buckthornmux/detail/core/invariant.h"

#include <glog/logging.h>

namespace buckthornmux {

void InvariantBroken(std::string_view name, std::string_view detail) {
  LOG(FATAL) << "event=invariant_broken name=" << name << " detail=\"" << detail
             << "\"";
  // LOG(FATAL) ends the process; this call tells the compiler so.
  std::abort();
}

}  // namespace buckthornmux
