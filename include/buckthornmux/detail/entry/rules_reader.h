/// Keeps the operators' configuration up to date, and tracks when it was last
/// confirmed.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "buckthornmux/detail/cell/types.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

using RulesPtr = std::shared_ptr<const cell::Rules>;

/// Decodes a configuration.
using RulesParser = std::function<Result<cell::Rules>(std::string_view text)>;

/// @brief Reads the configuration from one key of the store.
///
/// A watch reports changes immediately. A silent watch does not prove that
/// nothing changed, so the key is also read at a fixed interval; only such a
/// read confirms the version.
class RulesReader {
 public:
  /// @param store outlives the reader
  /// @param key of the configuration
  /// @param parse decodes its value
  /// @param changed called after each new version takes effect
  RulesReader(const store::AsyncStore& store, std::string key,
              RulesParser parse, std::function<void()> changed);

  void Tick(Time now);

  /// @brief Current version; null until the first one was read.
  [[nodiscard]] const RulesPtr& Current() const { return m_rules; }

  /// @brief When the current version was last known to be the newest: the start
  ///   of the last successful read.
  [[nodiscard]] Time ConfirmedAt() const { return m_confirmed_at; }

  /// @brief Current value and its revision, as sent to other hosts.
  [[nodiscard]] const store::Entry& Latest() const { return m_latest; }

  /// @brief Uses a value that another host has read.
  /// @param entry the value is empty if this host already has that revision
  /// @param confirmed_at when that revision was known to be the newest
  void AdoptRemote(const store::Entry& entry, Time confirmed_at);

 private:
  void Read();
  void Watch();
  void HandleEntry(const store::Entry& entry);
  void Apply(const store::Entry& entry);

  const store::AsyncStore& m_store;
  std::string m_key;
  RulesParser m_parse;
  std::function<void()> m_changed;
  RulesPtr m_rules;
  store::Entry m_latest;    ///< Last value that could be parsed.
  Revision m_revision = 0;  ///< Last revision seen, parsed or not.
  Time m_confirmed_at;
  Time m_read_at;
  Time m_watch_at;
  bool m_reading = false;
  bool m_watching = false;
  bool m_store_healthy = true;
};

}  // namespace buckthornmux::entry
