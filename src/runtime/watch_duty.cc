#include "buckthornmux/detail/runtime/watch_duty.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace buckthornmux::runtime {
namespace {

constexpr Millis kRetryPause{200};

}  // namespace

WatchDuty::WatchDuty(Wiring& wiring, std::string_view prefix, Publish publish)
    : m_wiring(wiring), m_prefix(prefix), m_publish(std::move(publish)) {}

Time WatchDuty::Step(Time now) {
  const bool answered = m_listed ? Watch() : List();
  if (m_prefix == store::kStatePrefix) {
    m_wiring.store_reachable = answered;
  }
  if (answered) {
    return now;
  }
  m_wiring.metrics.Count(Counter::kStoreErrors);
  return m_wiring.Now() + kRetryPause;
}

bool WatchDuty::List() {
  const Time read_at = m_wiring.Now();
  auto outcome = Capture([&] { return m_wiring.store.list(m_prefix); });
  if (std::holds_alternative<Error>(outcome)) {
    return false;
  }
  m_entries.clear();
  for (store::Entry& entry : std::get<std::vector<store::Entry>>(outcome)) {
    m_revision = std::max(m_revision, entry.revision);
    m_entries.emplace(entry.key, entry);
  }
  m_listed = true;
  PublishEntries(read_at);
  return true;
}

bool WatchDuty::Watch() {
  const Time read_at = m_wiring.Now();
  auto outcome = Capture([&] {
    return m_wiring.store.watch(m_prefix, m_revision,
                                m_wiring.settings.view_every);
  });
  const auto* batch = std::get_if<store::WatchBatch>(&outcome);
  if (batch == nullptr) {
    m_listed = false;
    return std::get<Error>(outcome).kind != ErrorKind::kStoreUnavailable;
  }
  m_revision = std::max(m_revision, batch->revision);
  if (batch->compacted) {
    m_listed = false;
    return true;
  }
  for (const store::Entry& entry : batch->deletes) {
    const auto found = m_entries.find(entry.key);
    if (found != m_entries.end() && found->second.revision < entry.revision) {
      m_entries.erase(found);
    }
  }
  for (const store::Entry& entry : batch->puts) {
    store::Entry& known = m_entries[entry.key];
    if (known.revision < entry.revision) {
      known = entry;
    }
  }
  PublishEntries(read_at);
  return true;
}

void WatchDuty::PublishEntries(Time read_at) {
  auto entries = std::make_shared<std::vector<store::Entry>>();
  entries->reserve(m_entries.size());
  for (const auto& [key, entry] : m_entries) {
    entries->push_back(entry);
  }
  m_publish({read_at, std::move(entries)});
}

HostListDuty::HostListDuty(Wiring& wiring, net::HttpClient& client)
    : m_wiring(wiring), m_client(client) {}

Time HostListDuty::Step(Time now) {
  const auto outcome = Capture([&] {
    return store::FetchHostList(m_client, m_wiring.settings.host_list_address,
                                m_wiring.settings.store_call_timeout);
  });
  if (const auto* hosts =
          std::get_if<std::vector<store::HostState>>(&outcome)) {
    m_wiring.owner.Post(HostsListed{*hosts});
  }
  return now + m_wiring.settings.host_list_every;
}

}  // namespace buckthornmux::runtime
