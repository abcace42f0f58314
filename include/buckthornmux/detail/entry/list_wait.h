/// Time that the starts of a cell wait for a list of targets.
#pragma once

#include <optional>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// Waits for a list within one term of ownership.
struct ListWait {
  std::optional<Time> since;  ///< Begin of the current wait.
  Time logged_at;
  Millis ended{0};  ///< Total of the waits that have ended.
};

/// @brief Notes whether starts wait now, and logs a wait once a second.
/// @param list_age of the present list
void NoteListWait(ListWait& wait, bool waits, Millis list_age, Time now);

/// @brief Returns the total of all waits.
[[nodiscard]] inline Millis TotalOf(const ListWait& wait, Time now) {
  return wait.ended + (wait.since ? now - *wait.since : Millis(0));
}

}  // namespace buckthornmux::entry
