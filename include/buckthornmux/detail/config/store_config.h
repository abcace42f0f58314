/// The configuration in the store: one key, changed by compare-and-swap.
#pragma once

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::config {

/// Bounds of the audit trail inside the configuration.
inline constexpr std::size_t kMaxAuditEntries = 1000;
/// Of names and summaries together.
inline constexpr std::size_t kMaxAuditBytes = 256'000;

/// @brief Reads the configuration.
/// @return the configuration; an empty one of revision 0 where there is none;
///   kStoreUnavailable, or kMalformed/kConfigInvalid where the value is damaged
[[nodiscard]] Result<Config> LoadConfig(const store::Store& store);

/// @brief Writes the next configuration if `expected` is still in force.
/// @param store platform's store
/// @param config what to write; its last audit entry names the change
/// @param expected revision that `config` was made from
/// @return the revision written. kConfigConflict with every change made since
///   `expected` (who, when, what); kStoreUnavailable: surely not written;
///   kStoreUnknown: written or not, and can't be read back now; kTooLarge
/// A write whose answer was lost is read back and recognised by the id of its
/// audit entry; it is never written twice.
[[nodiscard]] Result<Revision> StoreConfig(const store::Store& store,
                                           const Config& config,
                                           Revision expected);

/// @brief Error of kind kConfigConflict that shows the changes made since.
/// @param current in force
/// @param expected revision that the other change was made from
[[nodiscard]] boost::leaf::error_id ConfigConflict(const Config& current,
                                                   Revision expected);

/// @brief Revision that an audit entry led to.
/// @param config holds the entry
/// @param index of the entry in `config.audit`
[[nodiscard]] Revision RevisionOf(const Config& config, std::size_t index);

/// @brief Adds an entry and drops the oldest past the bounds.
void AddAudit(Config& config, AuditEntry entry);

/// @brief One line for an audit entry: when, who, what, revisions, summary.
[[nodiscard]] std::string FormatAudit(const AuditEntry& entry, Revision to);

/// @brief Wall time as UTC text, for instance "2026-12-03T22:41:05Z".
[[nodiscard]] std::string FormatTime(WallMillis at);

}  // namespace buckthornmux::config
