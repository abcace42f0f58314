/// Assertions of invariants, enabled in every build.
#pragma once

#include <string_view>

namespace buckthornmux {

/// @brief Logs the violated invariant and aborts the process.
/// @param name name of the invariant, the same as in spec/ and
///   docs/INVARIANTS.md
/// @param detail values that show the violation
[[noreturn]] void InvariantBroken(std::string_view name,
                                  std::string_view detail);

/// @brief Asserts an invariant.
/// @param holds whether the invariant holds
/// @param name name of the invariant, the same as in spec/ and
///   docs/INVARIANTS.md
/// @param detail values that show a violation
inline void Invariant(bool holds, std::string_view name,
                      std::string_view detail = {}) {
  if (!holds) {
    InvariantBroken(name, detail);
  }
}

}  // namespace buckthornmux
