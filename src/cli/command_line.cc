#include <algorithm>
#include <array>
#include <iostream>
#include <span>
#include <variant>

#include "buckthornmux/buckthornmux.h"
#include "buckthornmux/detail/cli/command.h"

namespace buckthornmux {
namespace cli {
namespace {

constexpr auto kCommands = std::to_array<Command>({
    {"serve", "run an entry host", RunServeCommand},
    {"host", "run an entry host on the users' platform", RunHostCommand},
    {"check", "check an inventory and rules, all problems at once",
     RunCheckCommand},
    {"diff", "show what an apply would change", RunDiffCommand},
    {"apply", "put an inventory and rules in force", RunApplyCommand},
    {"keys", "grant, withdraw and list keys of teams", RunKeysCommand},
    {"audit", "show who changed what and when", RunAuditCommand},
    {"submit", "ask for a job", RunSubmitCommand},
    {"cancel", "take a job back", RunCancelCommand},
    {"status", "show the fleet, teams and queues, or one job",
     RunStatusCommand},
    {"drain", "shut an entry host down gracefully", RunDrainCommand},
    {"load", "send many jobs and measure the waiting time", RunLoadCommand},
});

void PrintHelp(std::ostream& out) {
  constexpr std::size_t kNameWidth = 8;
  out << "Usage: buckthornmux COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command& command : kCommands) {
    out << "  " << command.name
        << std::string(kNameWidth - command.name.size(), ' ') << command.summary
        << '\n';
  }
  out << "\n`buckthornmux COMMAND --help` shows options and examples.\n";
}

}  // namespace

std::span<const Command> CommandTable() { return kCommands; }

std::string FormatError(const Error& error) {
  std::string line =
      "buckthornmux: " + std::string(AnswerFor(error.kind).name) + ": ";
  line += error.message;
  if (!error.where.empty()) {
    line += " [" + error.where + "]";
  }
  std::ranges::replace(line, '\n', ' ');
  return line;
}

int RunCommand(std::span<const char* const> arguments, Terminal& terminal) {
  const std::string_view name = arguments.empty() ? "" : arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    PrintHelp(terminal.out);
    return 0;
  }
  const auto* command = std::ranges::find(kCommands, name, &Command::name);
  if (command == kCommands.end()) {
    const Error error{
        ErrorKind::kUsage,
        "no command \"" + std::string(name) + "\": see buckthornmux --help",
        {}};
    terminal.err << FormatError(error) << '\n';
    return AnswerFor(error.kind).exit_code;
  }
  const auto outcome = Capture([&] {
    return command->run(Arguments(arguments.begin(), arguments.end()),
                        terminal);
  });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    terminal.err << FormatError(*error) << '\n';
    return AnswerFor(error->kind).exit_code;
  }
  return std::get<int>(outcome);
}

}  // namespace cli

int RunCommandLine(int argc, const char* const* argv) {
  cli::Terminal terminal{std::cout, std::cerr};
  const std::span<const char* const> arguments(argv,
                                               static_cast<std::size_t>(argc));
  return cli::RunCommand(
      arguments.subspan(std::min<std::size_t>(1, arguments.size())), terminal);
}

}  // namespace buckthornmux
