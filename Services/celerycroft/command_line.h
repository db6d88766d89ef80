// Parses the command line, which names a subcommand, its options and its
// operands.

#ifndef CELERYCROFT_COMMAND_LINE_H_
#define CELERYCROFT_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/error.h"

namespace celerycroft {

enum class OutputFormat { kText, kJson, kCsv };

struct CommandLine {
  std::string command;
  std::vector<std::string> operands;
  std::vector<std::string> settings_files;
  std::string store_address;
  std::string host_address;  // The caller address of an entry host.
  std::string operator_address;
  std::string party;
  std::string key_file;
  std::string upstream;
  std::string text;  // The text of the query, or the body of the booking.
  std::string key;
  std::string ticket;
  std::optional<int> deadline_ms;
  OutputFormat output_format = OutputFormat::kText;
  bool wants_help = false;
  bool wants_version = false;
};

base::Result<CommandLine> ParseCommandLine(int argc, char** argv);

// Returns the help text of one subcommand, or of all subcommands if `command`
// is empty or unknown.
std::string HelpText(std::string_view command);

}  // namespace celerycroft

#endif  // CELERYCROFT_COMMAND_LINE_H_
