/// Subcommands of the stand-in program, one function each.
#pragma once

namespace buckthornmux::standins {

/// @brief Runs the key-value service.
/// @return exit code
int RunKv(int argc, const char* const* argv);

/// @brief Runs the list of live and leaving hosts.
int RunHosts(int argc, const char* const* argv);

/// @brief Runs one target.
int RunTarget(int argc, const char* const* argv);

/// @brief Checks logs.
/// @return 0 where every property holds, 1 otherwise
int RunVerify(int argc, const char* const* argv);

/// @brief Runs open-loop callers.
int RunCallers(int argc, const char* const* argv);

/// @brief Plays a short day on a stand-in of the users' platform.
/// @return 0 where every promise was kept
int RunDay(int argc, const char* const* argv);

/// @brief Runs the balancer.
int RunBalancer(int argc, const char* const* argv);

}  // namespace buckthornmux::standins
