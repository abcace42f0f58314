#include "buckthornmux/detail/config/problem.h"

#include "buckthornmux/detail/core/invariant.h"

namespace buckthornmux::config {
namespace {

constexpr std::size_t kMostProblemsInOneError = 20;

}  // namespace

std::string FormatProblem(const Problem& problem) {
  std::string line = problem.file;
  if (!problem.path.empty()) {
    line += "#" + problem.path;
  }
  return line + ": " + problem.message;
}

boost::leaf::error_id FailWith(std::span<const Problem> problems) {
  Invariant(!problems.empty(), "failure_has_problem");
  std::string message;
  for (const Problem& problem :
       problems.first(std::min(problems.size(), kMostProblemsInOneError))) {
    message += (message.empty() ? "" : "; ") + FormatProblem(problem);
  }
  if (problems.size() > kMostProblemsInOneError) {
    message += "; and " +
               std::to_string(problems.size() - kMostProblemsInOneError) +
               " more";
  }
  return Fail(ErrorKind::kConfigInvalid, std::move(message),
              problems.front().file + "#" + problems.front().path);
}

}  // namespace buckthornmux::config
