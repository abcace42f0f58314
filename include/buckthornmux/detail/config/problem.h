/// What is wrong in a document: every finding with its place.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::config {

/// One finding in a document.
struct Problem {
  std::string file;     ///< As given by the caller.
  std::string path;     ///< JSON pointer within the document.
  std::string message;  ///< What is wrong and which form is expected.
};

/// All findings of a check, in document order.
using Problems = std::vector<Problem>;

/// @brief One line for a finding: "file#path: message".
[[nodiscard]] std::string FormatProblem(const Problem& problem);

/// @brief One error for all findings, on one line, cut after the first 20.
/// @param problems at least one
/// @return an error id of kind kConfigInvalid, placed at the first finding
[[nodiscard]] boost::leaf::error_id FailWith(std::span<const Problem> problems);

}  // namespace buckthornmux::config
