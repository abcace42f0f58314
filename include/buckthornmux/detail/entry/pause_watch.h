/// Whether this process has been stopped for a while without noticing.
#pragma once

#include <algorithm>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Finds pauses of the loop: between two ticks, and within one.
///
/// An owner that paused may have been replaced meanwhile. Until it has read who
/// owns the cell, it answers nothing from the cell's state.
class PauseWatch {
 public:
  /// A pause beyond which another may have been taken for the owner: shorter
  /// than it takes others to find one gone.
  static constexpr Millis kLongPause{150};

  /// @brief A tick begins.
  /// @return length of a long pause before it; 0 for none
  Millis TickBegan(Time now) {
    m_began = now;
    return Note(now - m_due, now);
  }

  /// @brief A tick ends; the next one follows after `every`.
  /// @return length of a long pause within it; 0 for none
  Millis TickEnded(Time now, Millis every) {
    m_due = now + every;
    return Note(now - m_began, now);
  }

  /// @brief How late a tick is at that time.
  [[nodiscard]] Millis Late(Time now) const { return now - m_due; }

  /// @brief Whether the process may have paused since the store was read.
  /// @param viewed_at when the reading of the last view began
  [[nodiscard]] bool InDoubt(Time viewed_at, Time now) const {
    return now - m_due > kLongPause || viewed_at < m_paused_until;
  }

 private:
  Millis Note(Millis pause, Time now) {
    if (pause <= kLongPause) {
      return Millis(0);
    }
    m_paused_until = std::max(m_paused_until, now);
    return pause;
  }

  Time m_began;
  Time m_due =
      Time::max() - kLongPause;  ///< Of the next tick; the first has none.
  Time m_paused_until;
};

}  // namespace buckthornmux::entry
