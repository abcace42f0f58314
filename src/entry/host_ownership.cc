// Who owns the cell: handing it over, taking it from an owner that is gone.
#include <algorithm>
#include <string>

#include "buckthornmux/detail/entry/fitness.h"
#include "buckthornmux/detail/member/rendezvous.h"
#include "host_process.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// A release flushes the journal, which takes some milliseconds.
constexpr Millis kReleaseWithin{100};
/// An owner reads who owns the cell this often at least, and a store call takes
/// this long at the most.
constexpr Millis kLearnsOfOwner{2700};
/// A new owner has much to read at first, which is not slowness.
constexpr Millis kSettles{1000};
/// A slow host stays out of ownership for at least this.
constexpr Millis kRest{5000};
constexpr Millis kLateLogEvery{1000};
constexpr Millis kMeasureEvery{250};
/// A new owner keeps the cell for at least this, if it can at all: a move costs
/// the reading of all records. Longer than kLearnsOfOwner, so that the grace
/// for a suspected owner is over before the cell moves on.
constexpr Millis kLeastTerm{3000};
/// An owner that has read nothing more for so long gives the cell away.
constexpr Millis kReadingStalls{2500};
/// Other hosts that must be there to take over from a slow one.
constexpr std::size_t kLeastOthers = 2;

}  // namespace

bool Host::HandOverTo(const HostId& to, std::string_view why) {
  const std::string range(kRange);
  const Epoch epoch = m_members.OwnedEpoch(range);
  if (epoch == 0 || to.empty()) {
    return false;
  }
  LogLine("range_handed_over", Level::kWarning)
      .With("range", range)
      .With("epoch", epoch)
      .With("to", to)
      .With("reason", why);
  m_release_began.reset();
  m_members.Abandon(range);
  m_offer = OpenOffer{epoch, to, Now() + kOfferFor, {}};
  SendTo(to, RangeOffer{range, epoch});
  return true;
}

bool Host::HandOver(std::string_view why) {
  const std::vector<HostId> successors = Successors();
  return ServesNow(m_gauge, Now()) && !successors.empty() &&
         HandOverTo(successors.front(), why);
}

void Host::CheckOffer(Time now) {
  if (!m_offer) {
    return;
  }
  const std::string range(kRange);
  const HostId suspect = m_offer->suspect;
  const auto to =
      NextOffer(m_offer, m_members.KnownEpoch(range),
                suspect.empty() ? Successors() : Replacements(suspect), now);
  if (to && !suspect.empty()) {
    OfferFrom(suspect, *to, m_offer->epoch);
  } else if (to) {
    LogLine("range_offered_again", Level::kWarning)
        .With("range", range)
        .With("epoch", m_offer->epoch)
        .With("to", *to);
    SendTo(*to, RangeOffer{range, m_offer->epoch});
  }
}

void Host::TellNextOwner(Time now) {
  if (!m_cell.Left()) {
    return;
  }
  CellLeft left = *m_cell.Left();
  const Epoch epoch = m_members.KnownEpoch(left.range);
  if (epoch <= left.epoch) {
    return;  // Nobody has it yet.
  }
  const HostId owner = m_members.OwnerOf(left.range);
  const bool next = epoch == left.epoch + 1;
  if (next && owner != m_settings.host && !m_links_up.contains(owner)) {
    return;
  }
  m_cell.ForgetLeft();
  left.age = now - m_cell.LeftAt();
  if (next && owner == m_settings.host) {
    m_cell.TakeLeft(left);
  } else if (next) {
    SendTo(owner, left);
  }
}

void Host::CheckRelease(Time now) {
  if (m_release_began && now - *m_release_began > kReleaseWithin &&
      !HandOver("release takes long")) {
    m_release_began = now;
  }
}

std::vector<HostId> Host::Successors() const {
  return Replacements(m_settings.host);
}

std::vector<HostId> Host::Replacements(const HostId& gone) const {
  std::vector<HostId> hosts =
      member::OwnersInOrder(std::string(kRange), m_members.Members());
  std::erase_if(hosts, [&](const HostId& host) {
    const bool here = host == m_settings.host;
    return host == gone ||
           (here ? m_leaving || m_resting : !m_links_up.contains(host));
  });
  return hosts;
}

void Host::ReplaceOwner(const HostId& owner) {
  const std::string range(kRange);
  const auto record = m_members.RegisteredOwner(range);
  const std::vector<HostId> hosts = Replacements(owner);
  if (!record || record->owner != owner || hosts.empty() ||
      !ServesNow(m_gauge, Now())) {
    return;
  }
  m_offer = OpenOffer{record->epoch, hosts.front(), Now() + kOfferFor, owner};
  OfferFrom(owner, hosts.front(), record->epoch);
}

void Host::OfferFrom(const HostId& owner, const HostId& to, Epoch epoch) {
  const std::string range(kRange);
  LogLine("owner_dead", Level::kWarning)
      .With("range", range)
      .With("owner", owner)
      .With("epoch", epoch)
      .With("offered_to", to);
  if (to == m_settings.host) {
    m_suspected = std::max(m_suspected, epoch);
    m_members.TakeOffer(range, epoch);
  } else {
    SendTo(to, RangeOffer{range, epoch, true});
  }
}

void Host::CheckOwnTerm(Time now) {
  if (m_leaving || m_resting || m_release_began || !m_cell.Owning() ||
      now - m_gained_at < kLeastTerm) {
    return;
  }
  if (now - m_cell.ReadingSince(now) > kReadingStalls) {
    (void)HandOver("the reading of records stands still");
    return;
  }
  const std::uint32_t own = WeightOf(m_settings.capacity);
  const std::vector<HostId> hosts = Successors();
  const auto& members = m_members.Members();
  const auto best = std::ranges::find_if(members, [&](const auto& known) {
    return !hosts.empty() && known.id == hosts.front();
  });
  if (best != members.end() && member::CarriesLess(own, best->weight)) {
    (void)HandOver("that host can carry more");
  }
}

Millis Host::FormerOwnerMayAct(const member::OwnerRecord& gained) const {
  return gained.epoch == m_suspected + 1 ? kLearnsOfOwner : Millis(0);
}

void Host::CheckOwner(Time now) {
  HostId owner = m_members.OwnerOf(std::string(kRange));
  if (owner == m_settings.host) {
    owner.clear();
  }
  m_owner_watch.Tick(owner, m_callers.WaitingSince(owner), now);
}

void Host::TakePause(Millis pause) {
  if (pause > Millis(0) && m_cell.Owning()) {
    LogLine("paused", Level::kWarning).With("for_ms", pause.count());
    m_members.Recheck();
  }
}

void Host::MeasureSelf(Time now) {
  if (now - m_measured_at < kMeasureEvery && m_slowness.Well()) {
    return;
  }
  m_measured_at = now;
  m_speed.Add(TimeWork());
}

void Host::CheckSlowness(Millis late, Time now) {
  m_slowness.Add(late);
  if (!m_slowness.Well() && now >= m_late_logged + kLateLogEvery) {
    m_late_logged = now;
    LogLine("loop_late", Level::kWarning)
        .With("host", m_settings.host)
        .With("ticks_late_ms", m_slowness.Late().count())
        .With("work_ns", m_speed.Typical().count())
        .With("work_best_ns", m_speed.Best().count())
        .With("open_calls", static_cast<std::uint64_t>(m_callers.Open()));
  }
  if (m_leaving || m_cell.Owning() == m_resting) {
    return;
  }
  if (m_resting) {
    if (m_slowness.Well() && !m_speed.Slowed() && now >= m_rest_until) {
      m_resting = false;
      LogLine("takes_part_again").With("host", m_settings.host);
      m_members.Return();
    }
    return;
  }
  // One that is late and as fast as ever has much to do: another host would
  // have as much.
  if (!m_slowness.Slow() || !m_speed.Slowed() || now - m_gained_at < kSettles ||
      m_members.OthersActive() < kLeastOthers) {
    return;
  }
  m_resting = true;
  m_rest_until = now + kRest;
  LogLine("hands_over_when_slow", Level::kWarning)
      .With("host", m_settings.host)
      .With("ticks_late_ms", m_slowness.Late().count())
      .With("work_ns", m_speed.Typical().count())
      .With("work_best_ns", m_speed.Best().count());
  m_members.Leave();
}

}  // namespace buckthornmux::entry
