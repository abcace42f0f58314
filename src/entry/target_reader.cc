#include "buckthornmux/detail/entry/target_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// Longest interval between the begins of two readings.
constexpr Millis kReadInterval{600};
constexpr Millis kMinReadInterval{100};
/// Longest time from the decision to start a task until its target has the
/// order: the rest of the planning round and the time-out of the call.
constexpr Millis kStartTime{300};
constexpr Millis kRetryDelay{200};

}  // namespace

Millis MaxListAge(Millis drain_within) {
  return drain_within <= Millis(0)
             ? Millis::max()
             : std::max(drain_within - kStartTime, drain_within / 2);
}

TargetReader::TargetReader(const store::AsyncStore& store, std::string prefix,
                           TargetParser parse, Listed listed, Millis max_age)
    : m_store(store),
      m_prefix(std::move(prefix)),
      m_parse(std::move(parse)),
      m_listed(std::move(listed)),
      m_interval(std::clamp(max_age / 2, kMinReadInterval, kReadInterval)) {}

void TargetReader::SetActive(bool active, Time now) {
  m_active = active;
  ++m_term;
  m_reading = false;
  m_next = Time{};
  Tick(now);
}

void TargetReader::Tick(Time now) {
  m_now = now;
  if (m_active && !m_reading && now >= m_next) {
    m_reading = true;
    m_next = now + m_interval;
    Reading reading;
    reading.list.as_of = now;
    Read({}, std::move(reading));
  }
}

void TargetReader::ParseEntry(const store::Entry& item, Reading& reading) {
  auto outcome = Capture([&] { return m_parse(item.key, item.value); });
  if (auto* entry = std::get_if<cell::TargetEntry>(&outcome)) {
    reading.list.entries.push_back(std::move(*entry));
    return;
  }
  if (reading.unreadable.size() >= kMaxUnreadableTargets) {
    ++reading.excess;
    return;
  }
  const Error& error = std::get<Error>(outcome);
  reading.unreadable[item.key] = error.message;
  const auto known = m_unreadable.find(item.key);
  if (known == m_unreadable.end() || known->second != error.message) {
    LogLine("target_entry_unreadable", Level::kWarning)
        .With("key", item.key)
        .With("reason", error.message);
  }
}

void TargetReader::Read(std::string after, Reading reading) {
  m_store.list(m_prefix, std::move(after),
               [this, term = m_term,
                reading = std::move(reading)](auto outcome) mutable {
                 if (term != m_term) {
                   return;
                 }
                 if (const auto* error = std::get_if<Error>(&outcome)) {
                   Fail(*error, std::move(reading));
                   return;
                 }
                 const auto& page = std::get<store::ItemPage>(outcome);
                 ++reading.list.pages;
                 for (const store::Entry& item : page.items) {
                   ParseEntry(item, reading);
                 }
                 if (page.more && !page.items.empty()) {
                   Read(page.items.back().key, std::move(reading));
                   return;
                 }
                 Finish(std::move(reading));
               });
}

void TargetReader::Fail(const Error& error, Reading reading) {
  m_reading = false;
  m_next = m_now + kRetryDelay;
  // The keys of the pages that weren't read may still exist.
  reading.unreadable.merge(m_unreadable);
  m_unreadable = std::move(reading.unreadable);
  while (m_unreadable.size() > kMaxUnreadableTargets) {
    m_unreadable.erase(std::prev(m_unreadable.end()));
  }
  if (m_store_healthy) {
    m_store_healthy = false;
    LogLine("store_lost", Level::kWarning)
        .With("by", "targets")
        .With("reason", error.message);
  }
}

void TargetReader::Finish(Reading reading) {
  m_reading = false;
  m_unreadable = std::move(reading.unreadable);
  if (reading.excess > 0 && m_excess == 0) {
    LogLine("target_entries_unreadable", Level::kWarning)
        .With("not_named", static_cast<std::uint64_t>(reading.excess));
  }
  m_excess = reading.excess;
  if (!m_store_healthy) {
    m_store_healthy = true;
    LogLine("store_regained").With("by", "targets");
  }
  m_listed(std::move(reading.list));
}

}  // namespace buckthornmux::entry
