/// Invariants asserted where they are assumed, in every build.
#pragma once

#include <string_view>

namespace buckthornmux {

/// @brief Ends the process with one log line that names the broken invariant.
/// @param name name of the invariant, the same as in spec/ and
///   docs/INVARIANTS.md
/// @param detail values that show the breach
[[noreturn]] void InvariantBroken(std::string_view name,
                                  std::string_view detail);

/// @brief Asserts an invariant.
/// @param holds whether it holds
/// @param name as in spec/ and docs/INVARIANTS.md
/// @param detail values that show a breach
inline void Invariant(bool holds, std::string_view name,
                      std::string_view detail = {}) {
  if (!holds) {
    InvariantBroken(name, detail);
  }
}

}  // namespace buckthornmux
