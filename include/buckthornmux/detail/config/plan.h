/// The next configuration from the one in force and the operators' documents.
#pragma once

#include <span>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/config/documents.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::config {

/// Most targets of one shard: small enough that a lost owner leaves most of the
/// fleet untouched.
inline constexpr std::size_t kMaxTargetsPerShard = 48;

/// @brief Plans the configuration that the documents ask for.
/// @param current in force; its shards, keys and audit trail are kept
/// @param documents inventories and rules
/// @return the next configuration, without an audit entry for the change;
///   kConfigInvalid with every problem, among them a target that moved to
///   another data centre
/// New targets get a shard "<data centre>/<n>" of at most kMaxTargetsPerShard,
/// spread over racks. Keys of teams that are no longer declared are dropped;
/// DiffConfigs shows them.
/// @see CheckDocuments, DiffConfigs
[[nodiscard]] Result<Config> PlanApply(const Config& current,
                                       std::span<const Document> documents);

}  // namespace buckthornmux::config
