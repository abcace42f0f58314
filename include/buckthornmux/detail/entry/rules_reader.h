/// Keeps the operators' configuration in force, and knows how sure it is.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "buckthornmux/detail/cell/types.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

using RulesPtr = std::shared_ptr<const cell::Rules>;

/// How a configuration is decoded.
using RulesParser = std::function<Result<cell::Rules>(std::string_view text)>;

/// @brief Reads one key of the store.
///
/// A watch brings changes at once. A waiting watch proves nothing, so the key
/// is read again at a steady pace; only such a read confirms the version.
class RulesReader {
 public:
  /// @param store outlives the reader
  /// @param key of the configuration
  /// @param parse decodes its value
  /// @param changed called with each version that comes into force
  RulesReader(const store::AsyncStore& store, std::string key,
              RulesParser parse, std::function<void()> changed);

  void Tick(Time now);

  /// @brief Version in force; null before the first.
  [[nodiscard]] const RulesPtr& Current() const { return m_rules; }

  /// @brief When the version in force was surely the newest: the start of the
  ///   last read that was answered.
  [[nodiscard]] Time ConfirmedAt() const { return m_confirmed_at; }

  /// @brief The value in force and its revision, as other hosts are told.
  [[nodiscard]] const store::Entry& Latest() const { return m_latest; }

  /// @brief Takes what another host has read.
  /// @param entry with an empty value where this host has that revision
  /// @param confirmed_at when that revision was surely the newest
  void Hear(const store::Entry& entry, Time confirmed_at);

 private:
  void Read();
  void Watch();
  void Take(const store::Entry& entry);
  void Apply(const store::Entry& entry);

  const store::AsyncStore& m_store;
  std::string m_key;
  RulesParser m_parse;
  std::function<void()> m_changed;
  RulesPtr m_rules;
  store::Entry m_latest;    ///< The last value that could be read.
  Revision m_revision = 0;  ///< Of the key's value that was last looked at.
  Time m_confirmed_at;
  Time m_read_at;
  Time m_watch_at;
  bool m_reading = false;
  bool m_watching = false;
  bool m_well = true;
};

}  // namespace buckthornmux::entry
