/// Checks the operators' documents as a whole, before anything is done.
#pragma once

#include <span>

#include "buckthornmux/detail/config/documents.h"
#include "buckthornmux/detail/config/problem.h"

namespace buckthornmux::config {

/// What a check found.
struct Checked {
  Declared declared;
  Problems problems;  ///< Empty: the documents may be planned.
};

/// @brief Parses and checks documents, and collects every problem.
/// @param documents inventories and rules
/// @return declarations and all problems, each with file, path and the
///   expected form
/// Complexity: targets times kinds.
/// @par Example
/// @code
/// const Checked checked = CheckDocuments(documents);
/// for (const Problem& problem : checked.problems) {
///   std::cerr << FormatProblem(problem) << '\n';
/// }
/// @endcode
[[nodiscard]] Checked CheckDocuments(std::span<const Document> documents);

}  // namespace buckthornmux::config
