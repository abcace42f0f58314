#include "buckthornmux/detail/entry/rules_reader.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/runtime/log_line.h"

namespace buckthornmux::entry {
namespace {

using runtime::LogLine;
using Level = runtime::LogLine::Level;

/// Limits the age of the configuration that API keys are checked against.
/// Changes usually arrive sooner through the watch.
constexpr Millis kReadInterval{900};
constexpr Millis kRetryDelay{250};
constexpr Millis kWatchTimeout{10'000};

}  // namespace

RulesReader::RulesReader(const store::AsyncStore& store, std::string key,
                         RulesParser parse, std::function<void()> changed)
    : m_store(store),
      m_key(std::move(key)),
      m_parse(std::move(parse)),
      m_changed(std::move(changed)) {}

void RulesReader::Tick(Time now) {
  if (!m_reading && now >= m_read_at) {
    Read();
  }
  if (!m_watching && m_revision > 0 && now >= m_watch_at) {
    Watch();
  }
}

void RulesReader::Read() {
  m_reading = true;
  const Time began = Now();
  m_store.get(m_key, [this, began](auto outcome) {
    m_reading = false;
    if (const auto* error = std::get_if<Error>(&outcome)) {
      m_read_at = Now() + kRetryDelay;
      if (m_store_healthy) {
        m_store_healthy = false;
        LogLine("store_lost", Level::kWarning)
            .With("by", "rules")
            .With("reason", error->message);
      }
      return;
    }
    m_read_at = began + kReadInterval;
    if (!m_store_healthy) {
      m_store_healthy = true;
      LogLine("store_regained").With("by", "rules");
    }
    if (const auto& entry = std::get<std::optional<store::Entry>>(outcome)) {
      HandleEntry(*entry);
      m_confirmed_at = std::max(m_confirmed_at, began);
    }
  });
}

void RulesReader::Watch() {
  m_watching = true;
  m_store.watch(m_key, m_revision, kWatchTimeout, [this](auto outcome) {
    m_watching = false;
    if (std::holds_alternative<Error>(outcome)) {
      m_watch_at = Now() + kRetryDelay;
      return;
    }
    const auto& batch = std::get<store::WatchBatch>(outcome);
    if (batch.compacted) {
      m_revision = 0;  // The next read starts a new watch.
      m_read_at = Now();
      return;
    }
    for (const store::Entry& entry : batch.puts) {
      if (entry.key == m_key) {
        HandleEntry(entry);
      }
    }
    m_revision = std::max(m_revision, batch.revision);
    Watch();
  });
}

void RulesReader::AdoptRemote(const store::Entry& entry, Time confirmed_at) {
  if (entry.revision > m_latest.revision && !entry.value.empty()) {
    Apply(entry);
  }
  // An older revision from the other host does not confirm the current one.
  if (m_rules && entry.revision == m_latest.revision) {
    m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
  }
}

void RulesReader::HandleEntry(const store::Entry& entry) {
  if (entry.revision <= m_revision && m_rules) {
    m_revision = std::max(m_revision, entry.revision);
    return;
  }
  m_revision = std::max(m_revision, entry.revision);
  Apply(entry);
}

void RulesReader::Apply(const store::Entry& entry) {
  auto outcome = Capture([&] { return m_parse(entry.value); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    LogLine("rules_unreadable", Level::kError)
        .With("revision", entry.revision)
        .With("reason", error->message)
        .With("where", error->where);
    return;
  }
  m_latest = entry;
  auto rules = std::make_shared<const cell::Rules>(
      std::move(std::get<cell::Rules>(outcome)));
  if (m_rules && rules->version <= m_rules->version) {
    return;
  }
  LogLine("rules_in_force")
      .With("version", rules->version)
      .With("revision", entry.revision)
      .With("queues", static_cast<std::uint64_t>(rules->queues.size()))
      .With("teams", static_cast<std::uint64_t>(rules->teams.size()));
  m_rules = std::move(rules);
  m_changed();
}

}  // namespace buckthornmux::entry
