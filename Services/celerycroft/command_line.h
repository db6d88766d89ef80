// The command line: a subcommand with its options.

#ifndef CELERYCROFT_COMMAND_LINE_H_
#define CELERYCROFT_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"

namespace celerycroft {

enum class Output { kText, kJson, kCsv };

struct CommandLine {
  std::string command;
  std::vector<std::string> operands;
  std::vector<std::string> settings_files;
  std::string store;
  std::string host;
  std::string operator_address;
  std::string party;
  std::string key_file;
  std::string upstream;
  std::string text;  // Of a query or booking.
  std::string key;
  std::string ticket;
  std::optional<int> deadline_ms;
  Output output = Output::kText;
  bool wants_help = false;
  bool wants_version = false;
};

base::Result<CommandLine> ParseCommandLine(int argc, char** argv);

// For one subcommand, or for all when `command` is empty or unknown.
std::string HelpText(std::string_view command);

}  // namespace celerycroft

#endif  // CELERYCROFT_COMMAND_LINE_H_
