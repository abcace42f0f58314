/// Commands of the command line: one function and one file for each.
#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::cli {

/// Where a command writes.
struct Terminal {
  std::ostream& out;  ///< Answers.
  std::ostream& err;  ///< Errors, one line each.
};

/// Arguments of a command, its own name first.
using Arguments = std::vector<const char*>;

/// One command.
struct Command {
  std::string_view name;
  std::string_view summary;  ///< One line for --help.
  /// @return exit code; errors are printed by the caller
  Result<int> (*run)(const Arguments& arguments, Terminal& terminal);
};

/// @brief Every command, in the order of --help.
[[nodiscard]] std::span<const Command> CommandTable();

/// @brief Runs one command line, without the program's name.
/// @param arguments command and its arguments
/// @param terminal takes the output
/// @return exit code: 0, or as the error table says
int RunCommand(std::span<const char* const> arguments, Terminal& terminal);

/// @brief Line for an error: name, message, place, whether the work ran.
[[nodiscard]] std::string FormatError(const Error& error);

// The commands; --help of each says what it does.
Result<int> RunHostCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunServeCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunCheckCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunDiffCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunApplyCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunKeysCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunAuditCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunSubmitCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunCancelCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunStatusCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunDrainCommand(const Arguments& arguments, Terminal& terminal);
Result<int> RunLoadCommand(const Arguments& arguments, Terminal& terminal);

}  // namespace buckthornmux::cli
