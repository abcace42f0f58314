#include "buckthornmux/buckthornmux.h"

namespace buckthornmux {

int RunCommandLine(int /*argc*/, const char* const* /*argv*/) {
  return AnswerFor(ErrorKind::kUsage).exit_code;
}

}  // namespace buckthornmux
