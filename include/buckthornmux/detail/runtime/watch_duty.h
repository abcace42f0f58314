/// The watch duties: follow the keys that every entry host acts upon, and the
/// teams' records, by one watch each; and the platform's list of hosts.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/runtime/wiring.h"

namespace buckthornmux::runtime {

/// @brief State and step of the watch duty; used by its thread alone. Each step
///   blocks in one watch call.
class WatchDuty {
 public:
  /// Takes what was read, on the duty's thread.
  using Publish = std::function<void(const StateRead&)>;

  /// @param wiring joints of the process
  /// @param prefix keys to follow
  /// @param publish called after each answer of the store
  WatchDuty(Wiring& wiring, std::string_view prefix, Publish publish);

  /// @brief Waits for changes and publishes the state read.
  /// @return now: it goes on at once
  Time Step(Time now);

 private:
  bool List();
  bool Watch();
  void PublishEntries(Time read_at);

  Wiring& m_wiring;
  std::string m_prefix;
  Publish m_publish;
  std::map<std::string, store::Entry, std::less<>> m_entries;
  Revision m_revision = 0;
  bool m_listed = false;
};

/// @brief Polls the platform's list of live and leaving hosts.
class HostListDuty {
 public:
  HostListDuty(Wiring& wiring, net::HttpClient& client);

  /// @brief Fetches the list and tells the owner duty.
  /// @return when to be called again
  Time Step(Time now);

 private:
  Wiring& m_wiring;
  net::HttpClient& m_client;
};

}  // namespace buckthornmux::runtime
