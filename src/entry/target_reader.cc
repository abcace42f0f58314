#include "buckthornmux/detail/entry/target_reader.h"

#include <utility>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// Limits how long a target still gets new work after it was marked as
/// draining.
constexpr Millis kReadInterval{600};
constexpr Millis kRetryDelay{200};

}  // namespace

TargetReader::TargetReader(const store::AsyncStore& store, std::string prefix,
                           TargetParser parse, Listed listed)
    : m_store(store),
      m_prefix(std::move(prefix)),
      m_parse(std::move(parse)),
      m_listed(std::move(listed)) {}

void TargetReader::SetActive(bool active) {
  m_active = active;
  m_next = Time{};
}

void TargetReader::Tick(Time now) {
  if (m_active && !m_reading && now >= m_next) {
    m_reading = true;
    m_next = now + kReadInterval;
    Read({}, {});
  }
}

void TargetReader::ParseEntry(const store::Entry& item,
                              std::vector<cell::TargetEntry>& entries) {
  auto outcome = Capture([&] { return m_parse(item.key, item.value); });
  if (auto* entry = std::get_if<cell::TargetEntry>(&outcome)) {
    m_unreadable.erase(item.key);
    entries.push_back(std::move(*entry));
    return;
  }
  const Error& error = std::get<Error>(outcome);
  if (m_unreadable[item.key] != error.message) {
    m_unreadable[item.key] = error.message;
    LogLine("target_entry_unreadable", Level::kWarning)
        .With("key", item.key)
        .With("reason", error.message);
  }
}

void TargetReader::Read(std::string after,
                        std::vector<cell::TargetEntry> entries) {
  m_store.list(m_prefix, std::move(after),
               [this, entries = std::move(entries)](auto outcome) mutable {
                 if (const auto* error = std::get_if<Error>(&outcome)) {
                   m_reading = false;
                   m_next = Now() + kRetryDelay;
                   if (m_store_healthy) {
                     m_store_healthy = false;
                     LogLine("store_lost", Level::kWarning)
                         .With("by", "targets")
                         .With("reason", error->message);
                   }
                   return;
                 }
                 const auto& page = std::get<store::ItemPage>(outcome);
                 for (const store::Entry& item : page.items) {
                   ParseEntry(item, entries);
                 }
                 if (page.more && !page.items.empty()) {
                   Read(page.items.back().key, std::move(entries));
                   return;
                 }
                 m_reading = false;
                 if (!m_store_healthy) {
                   m_store_healthy = true;
                   LogLine("store_regained").With("by", "targets");
                 }
                 if (m_active) {
                   m_listed(std::move(entries));
                 }
               });
}

}  // namespace buckthornmux::entry
