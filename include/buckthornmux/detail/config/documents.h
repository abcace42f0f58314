/// The operators' documents: inventories and rules, as text and as parsed.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/config/problem.h"

namespace buckthornmux::config {

/// One file of the operators: an inventory where it has "targets", rules
/// otherwise.
struct Document {
  std::string file;  ///< Name shown in problems.
  std::string text;  ///< JSON.
};

/// Where a declaration stands.
struct Origin {
  std::string file;
  std::string path;  ///< JSON pointer.
};

/// What the documents declare; origins run parallel to their lists.
struct Declared {
  std::vector<TargetSpec> targets;
  std::vector<Origin> target_origins;
  std::vector<Team> teams;
  std::vector<Origin> team_origins;
  std::vector<WorkKind> kinds;
  std::vector<Origin> kind_origins;
  std::string inventory_file;  ///< Last inventory; empty where there is none.
  std::string rules_file;      ///< Last rules; empty where there is none.
};

/// @brief Parses documents field by field.
/// @param documents any number of inventories and rules, read as one
/// @param problems takes every finding on the form of fields
/// @return what could be read
[[nodiscard]] Declared ParseDocuments(std::span<const Document> documents,
                                      Problems& problems);

/// @brief Joins documents into the one inventory and rules that an entry host
///   takes.
/// @param documents checked before
/// @return JSON text {"inventory": {...}, "rules": {...}}
[[nodiscard]] std::string MergeDocuments(std::span<const Document> documents);

}  // namespace buckthornmux::config
