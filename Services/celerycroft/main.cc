// Entry point: finds the subcommand and runs it.

#include <algorithm>
#include <array>
#include <iostream>

#include "LibBase/log.h"
#include "command_line.h"
#include "commands.h"
#include "exit_code.h"

namespace celerycroft {
namespace {

struct Command {
  std::string_view name;
  int (*run)(const CommandLine& line);
};

constexpr std::array kCommands = std::to_array<Command>({
    {"node", RunNode},
    {"check", RunCheck},
    {"publish", RunPublish},
    {"addresses", RunAddresses},
    {"query", RunQuery},
    {"ticket", RunTicket},
    {"book", RunBook},
    {"status", RunStatus},
    {"dump", RunDump},
    {"reckon", RunReckon},
    {"explain", RunExplain},
#ifdef CELERYCROFT_HAS_PLATFORM
    {"front", RunFront},
#endif
});

int Main(int argc, char** argv) {
  const auto line = ParseCommandLine(argc, argv);
  if (!line) {
    std::cerr << line.error().ToString() << "\n";
    return kExitUsage;
  }
  if (line->wants_version) {
    std::cout << "celerycroft " << CELERYCROFT_VERSION << "\n";
    return kExitSuccess;
  }
  if (line->wants_help) {
    std::cout << HelpText(line->command);
    return kExitSuccess;
  }
  const auto command =
      std::ranges::find(kCommands, line->command, &Command::name);
  if (command == kCommands.end()) {
    std::cerr << HelpText("");
    return kExitUsage;
  }
  return command->run(*line);
}

}  // namespace
}  // namespace celerycroft

int main(int argc, char** argv) {
  const int code = celerycroft::Main(argc, argv);
  base::FlushLogAndExit(code);
}
