/// Detects that this process was suspended or blocked for some time.
#pragma once

#include <algorithm>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Detects pauses of the event loop between two ticks and within one.
///
/// An owner that paused may have been replaced meanwhile. Until it has read the
/// current owner from the store, it answers no call from the cell's state.
class PauseWatch {
 public:
  /// After a pause longer than this, another host may own the cell. The limit
  /// is shorter than the time that other hosts need to detect a failed owner.
  static constexpr Millis kLongPause{150};

  /// @brief Records the start of a tick.
  /// @return length of a long pause before it; 0 if there was none
  Millis TickBegan(Time now) {
    m_began = now;
    return RecordPause(now - m_due, now);
  }

  /// @brief Records the end of a tick.
  /// @param delay time until the next tick is due
  /// @return length of a long pause within the tick; 0 if there was none
  Millis TickEnded(Time now, Millis delay) {
    m_due = now + delay;
    return RecordPause(now - m_began, now);
  }

  /// @brief How late the next tick is at time `now`.
  [[nodiscard]] Millis Late(Time now) const { return now - m_due; }

  /// @brief Whether the process may have paused since the store was read.
  /// @param viewed_at when the reading of the last view began
  [[nodiscard]] bool InDoubt(Time viewed_at, Time now) const {
    return now - m_due > kLongPause || viewed_at < m_paused_until;
  }

 private:
  Millis RecordPause(Millis pause, Time now) {
    if (pause <= kLongPause) {
      return Millis(0);
    }
    m_paused_until = std::max(m_paused_until, now);
    return pause;
  }

  Time m_began;
  /// Due time of the next tick; the first tick is never late.
  Time m_due = Time::max() - kLongPause;
  Time m_paused_until;
};

}  // namespace buckthornmux::entry
