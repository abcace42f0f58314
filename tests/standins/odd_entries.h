/// Entries under `servers/` that another writer got wrong.
#pragma once

#include <string>
#include <vector>

#include "standins/sim_target.h"

namespace buckthornmux::standins {

struct OddEntry {
  std::string key;
  std::string value;
  Millis from{0};  ///< Since the start of the load.
  Millis until = Millis::max();
  /// Well-formed: only its target can tell that it is wrong.
  bool readable = false;
  bool written = false;
  bool erased = false;
};

/// @brief Returns one entry of each kind.
/// @param healthy a target whose address one entry takes under another id
/// @param port of a listener that counts calls
[[nodiscard]] std::vector<OddEntry> MakeOddEntries(const SimTarget& healthy,
                                                   int port);

}  // namespace buckthornmux::standins
