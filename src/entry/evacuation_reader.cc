#include "buckthornmux/detail/entry/evacuation_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// Bounds the age of the list. Changes usually arrive sooner through the watch.
constexpr Millis kReadInterval{600};
constexpr Millis kRetryDelay{200};
constexpr Millis kWatchTimeout{10'000};
constexpr Millis kWaitLogInterval{1000};
/// Longest part of an unreadable key that is remembered and logged, bytes.
constexpr std::size_t kMaxLoggedKeyBytes = 256;

}  // namespace

EvacuationReader::EvacuationReader(const store::AsyncStore& store,
                                   std::string prefix, EvacuationParser parse,
                                   Listed listed)
    : m_store(store),
      m_prefix(std::move(prefix)),
      m_parse(std::move(parse)),
      m_listed(std::move(listed)) {}

void EvacuationReader::SetActive(bool active, Time now) {
  m_active = active;
  m_active_since = now;
  m_wait_logged = now;
  m_next = Time{};
}

void EvacuationReader::ReadUntil(Time until) {
  m_read_until = std::max(m_read_until, until);
}

void EvacuationReader::Tick(Time now) {
  m_now = now;
  if (!Wanted()) {
    return;
  }
  if (!m_reading && now >= m_next) {
    m_reading = true;
    m_next = now + kReadInterval;
    Read({}, Reading{now, {}, {}});
  }
  if (!m_watching && m_current.revision > 0 && now >= m_watch_at) {
    Watch();
  }
  LogWait(now);
}

/// Logs once a second that nothing starts because no list has been read.
void EvacuationReader::LogWait(Time now) {
  if (!m_active || Known() || now - m_wait_logged < kWaitLogInterval) {
    return;
  }
  m_wait_logged = now;
  LogLine("evacuations_awaited", Level::kWarning)
      .With("for_ms", (now - m_active_since).count());
}

void EvacuationReader::ParseKey(const std::string& key, Reading& reading) {
  auto outcome = Capture([&] { return m_parse(key); });
  if (auto* data_centre = std::get_if<DataCentre>(&outcome)) {
    reading.list.data_centres.push_back(std::move(*data_centre));
    return;
  }
  if (reading.unreadable.size() >= kMaxUnreadableEvacuations) {
    return;
  }
  const auto [known, added] =
      reading.unreadable.insert(key.substr(0, kMaxLoggedKeyBytes));
  if (added && !m_unreadable.contains(*known)) {
    LogLine("evacuation_unreadable", Level::kWarning)
        .With("key", *known)
        .With("reason", std::get<Error>(outcome).message);
  }
}

void EvacuationReader::Read(const std::string& after, Reading reading) {
  m_store.list(m_prefix, after,
               [this, reading = std::move(reading)](auto outcome) mutable {
                 if (const auto* error = std::get_if<Error>(&outcome)) {
                   Fail(*error);
                   return;
                 }
                 const auto& page = std::get<store::ItemPage>(outcome);
                 // Later pages may lack changes after the first one's revision.
                 if (reading.list.revision == 0) {
                   reading.list.revision = page.revision;
                 }
                 for (const store::Entry& item : page.items) {
                   ParseKey(item.key, reading);
                 }
                 if (page.more && !page.items.empty()) {
                   Read(page.items.back().key, std::move(reading));
                   return;
                 }
                 Finish(std::move(reading));
               });
}

void EvacuationReader::Fail(const Error& error) {
  m_reading = false;
  m_next = m_now + kRetryDelay;
  if (m_store_healthy) {
    m_store_healthy = false;
    LogLine("store_lost", Level::kWarning)
        .With("by", "evacuations")
        .With("reason", error.message);
  }
}

void EvacuationReader::Finish(Reading reading) {
  m_reading = false;
  m_unreadable = std::move(reading.unreadable);
  if (!m_store_healthy) {
    m_store_healthy = true;
    LogLine("store_regained").With("by", "evacuations");
  }
  // Another host's list, taken while this reading was under way, may be later.
  if (m_confirmed_at && reading.began < *m_confirmed_at &&
      reading.list.revision < m_current.revision) {
    return;
  }
  Take(std::move(reading.list), reading.began);
}

void EvacuationReader::Take(EvacuationList list, Time confirmed_at) {
  m_current = std::move(list);
  m_confirmed_at =
      std::max(m_confirmed_at.value_or(confirmed_at), confirmed_at);
  if (m_active && Known()) {
    m_listed(m_current.data_centres);
  }
}

void EvacuationReader::AdoptRemote(const EvacuationList& list,
                                   Time confirmed_at) {
  if (list.revision < m_current.revision ||
      (m_confirmed_at && confirmed_at <= *m_confirmed_at)) {
    return;
  }
  Take(list, confirmed_at);
}

void EvacuationReader::Watch() {
  m_watching = true;
  m_store.watch(
      m_prefix, m_current.revision, kWatchTimeout, [this](auto outcome) {
        m_watching = false;
        // The next watch starts at the revision of the list read by then.
        m_watch_at = m_now + kRetryDelay;
        const auto* batch = std::get_if<store::WatchBatch>(&outcome);
        if (batch != nullptr && (batch->compacted || !batch->puts.empty() ||
                                 !batch->deletes.empty())) {
          m_next = Time{};
        }
      });
}

}  // namespace buckthornmux::entry
