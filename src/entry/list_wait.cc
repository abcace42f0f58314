#include "buckthornmux/detail/entry/list_wait.h"

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;

constexpr Millis kLogInterval{1000};

}  // namespace

void NoteListWait(ListWait& wait, bool waits, Millis list_age, Time now) {
  if (!waits) {
    wait.ended = TotalOf(wait, now);
    wait.since.reset();
    return;
  }
  if (!wait.since) {
    wait.since = now;
    wait.logged_at = now;
  }
  if (now - wait.logged_at >= kLogInterval) {
    wait.logged_at = now;
    LogLine("targets_awaited", LogLine::Level::kWarning)
        .With("for_ms", (now - *wait.since).count())
        .With("list_age_ms", list_age.count());
  }
}

}  // namespace buckthornmux::entry
