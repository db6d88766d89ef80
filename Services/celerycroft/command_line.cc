// Parses the options with getopt_long and holds the help texts.

#include "command_line.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace celerycroft {

namespace {

enum OptionCode : int {
  kSettings = 1,
  kStore,
  kHost,
  kOperator,
  kParty,
  kKeyFile,
  kUpstream,
  kText,
  kKey,
  kTicket,
  kDeadline,
  kJson,
  kCsv,
  kHelp,
  kVersion,
};

constexpr std::array kOptions = std::to_array<option>({
    {"settings", required_argument, nullptr, kSettings},
    {"store", required_argument, nullptr, kStore},
    {"host", required_argument, nullptr, kHost},
    {"operator", required_argument, nullptr, kOperator},
    {"party", required_argument, nullptr, kParty},
    {"key-file", required_argument, nullptr, kKeyFile},
    {"upstream", required_argument, nullptr, kUpstream},
    {"text", required_argument, nullptr, kText},
    {"key", required_argument, nullptr, kKey},
    {"ticket", required_argument, nullptr, kTicket},
    {"deadline-ms", required_argument, nullptr, kDeadline},
    {"json", no_argument, nullptr, kJson},
    {"csv", no_argument, nullptr, kCsv},
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {nullptr, 0, nullptr, 0},
});

struct CommandHelp {
  std::string_view name;
  std::string_view usage;
  std::string_view description;
};

constexpr std::array kCommandHelp = std::to_array<CommandHelp>({
    {"node", "node --settings FILE", "Runs an entry host."},
    {"check", "check [--settings FILE]... [DIR]",
     "Checks settings and the agreement files below DIR, offline."},
    {"publish", "publish DIR --store IP:PORT [--operator IP:PORT]",
     "Checks and publishes the files below DIR. With --operator, waits and "
     "shows on which nodes they are in force."},
    {"addresses", "addresses --host IP:PORT",
     "Asks an entry host which addresses to use."},
    {"query",
     "query --host IP:PORT --party NAME --key-file FILE --upstream NAME "
     "--text QUERY [--key KEY] [--deadline-ms N]",
     "Queries every shard, or only the shard that holds KEY."},
    {"ticket", "ticket --host IP:PORT --party NAME --key-file FILE",
     "Asks an entry host for a booking ticket."},
    {"book",
     "book --host IP:PORT --party NAME --key-file FILE --upstream NAME "
     "--key KEY --text BODY [--ticket TICKET] [--deadline-ms N]",
     "Runs a booking at most once. Asks for a ticket first unless one is "
     "given."},
    {"status", "status --operator IP:PORT", "Shows a node's status."},
    {"dump", "dump --operator IP:PORT", "Shows a node's whole state."},
    {"reckon", "reckon YYYY-MM --store IP:PORT [--csv]",
     "Shows how many sub-requests each party used in a month, and which party "
     "used more than agreed."},
    {"explain", "explain ID [LOG...]",
     "Shows the log lines of a request from all processes, and the lines of "
     "these processes around that time that belong to no request. Reads "
     "standard input if no LOG is given."},
    {"front", "front [--settings FILE]",
     "Runs a forwarding node on the platform. Without --settings, reads the "
     "file that the variable CELERYCROFT_SETTINGS names."},
});

base::Result<int> ParseDeadline(const std::string& text) {
  int value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value <= 0)
    return base::Fail(base::ErrorKind::kInvalidInput,
                      "--deadline-ms has the invalid value '" + text + "'",
                      "pass a positive integer number of milliseconds");
  return value;
}

base::Result<void> ApplyOption(int code, const char* value, CommandLine& line) {
  switch (code) {
    case kSettings:
      line.settings_files.emplace_back(value);
      return {};
    case kStore:
      line.store_address = value;
      return {};
    case kHost:
      line.host_address = value;
      return {};
    case kOperator:
      line.operator_address = value;
      return {};
    case kParty:
      line.party = value;
      return {};
    case kKeyFile:
      line.key_file = value;
      return {};
    case kUpstream:
      line.upstream = value;
      return {};
    case kText:
      line.text = value;
      return {};
    case kKey:
      line.key = value;
      return {};
    case kTicket:
      line.ticket = value;
      return {};
    case kDeadline:
      line.deadline_ms = TRY(ParseDeadline(value));
      return {};
    case kJson:
      line.output_format = OutputFormat::kJson;
      return {};
    case kCsv:
      line.output_format = OutputFormat::kCsv;
      return {};
    case kHelp:
      line.wants_help = true;
      return {};
    case kVersion:
      line.wants_version = true;
      return {};
    default:
      return base::Fail(base::ErrorKind::kInvalidInput,
                        "an option is unknown or lacks its value",
                        "run celerycroft --help to see the options");
  }
}

}  // namespace

base::Result<CommandLine> ParseCommandLine(int argc, char** argv) {
  CommandLine line;
  opterr = 0;
  int code = 0;
  while ((code = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1)
    TRY_VOID(ApplyOption(code, optarg, line));
  std::vector<std::string> arguments(argv + optind, argv + argc);
  if (!arguments.empty()) {
    line.command = arguments.front();
    line.operands.assign(arguments.begin() + 1, arguments.end());
  }
  return line;
}

std::string HelpText(std::string_view command) {
  const auto found =
      std::ranges::find(kCommandHelp, command, &CommandHelp::name);
  if (found != kCommandHelp.end())
    return "usage: celerycroft " + std::string(found->usage) + "\n" +
           std::string(found->description) +
           "\nWith --json the output is JSON.\n";
  std::string text = "usage: celerycroft COMMAND [OPTIONS]\n\n";
  for (const CommandHelp& help : kCommandHelp)
    text += "  " + std::string(help.usage) + "\n      " +
            std::string(help.description) + "\n";
  return text + "\nOptions of all commands: --json, --help, --version.\n";
}

}  // namespace celerycroft
