/// Public face of buckthornmux: what a program that embeds it, and main(),
/// may use. Everything below detail/ may change without notice.
#pragma once

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux {

/// @brief Runs the command line.
/// @param argc count of arguments, the program's name included
/// @param argv arguments
/// @return exit code, as listed in docs/API.md
/// @par Example
/// @code
/// int main(int argc, char** argv) { return RunCommandLine(argc, argv); }
/// @endcode
int RunCommandLine(int argc, const char* const* argv);

}  // namespace buckthornmux
