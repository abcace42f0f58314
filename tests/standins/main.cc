// The stand-ins of the platform, of targets and of callers: one program.
#include <array>
#include <exception>
#include <iostream>
#include <string_view>

#include "standins/standins.h"

namespace buckthornmux::standins {
namespace {

constexpr int kUsageExit = 2;

struct Command {
  std::string_view name;
  int (*run)(int argc, const char* const* argv);
};

constexpr auto kCommands = std::to_array<Command>({
    {"kv", RunKv},
    {"hosts", RunHosts},
    {"target", RunTarget},
    {"balancer", RunBalancer},
    {"callers", RunCallers},
    {"verify", RunVerify},
    {"day", RunDay},
});

int Usage() {
  std::cerr << "usage: standin COMMAND --help; commands:";
  for (const Command& command : kCommands) {
    std::cerr << ' ' << command.name;
  }
  std::cerr << '\n';
  return kUsageExit;
}

int Run(int argc, const char* const* argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  for (const Command& command : kCommands) {
    if (command.name == name) {
      return command.run(argc - 1, argv + 1);
    }
  }
  return Usage();
}

}  // namespace
}  // namespace buckthornmux::standins

int main(int argc, char** argv) {
  try {
    return buckthornmux::standins::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 2;
  }
}
