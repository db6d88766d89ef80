// getopt_long over one table of options.

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
  std::string_view text;
};

constexpr std::array kCommands = std::to_array<CommandHelp>({
    {"node", "node --settings FILE", "Runs an entry host."},
    {"check", "check [--settings FILE]... [DIR]",
     "Checks settings and the agreement files below DIR, offline."},
    {"publish", "publish DIR --store IP:PORT [--operator IP:PORT]",
     "Checks and publishes the files below DIR, and tells where they are in "
     "force."},
    {"addresses", "addresses --host IP:PORT",
     "Asks an entry host which addresses to use."},
    {"query",
     "query --host IP:PORT --party NAME --key-file FILE --upstream NAME "
     "--text QUERY [--key KEY] [--deadline-ms N]",
     "Queries every shard, or the one that holds KEY."},
    {"ticket", "ticket --host IP:PORT --party NAME --key-file FILE",
     "Asks for a ticket to book with."},
    {"book",
     "book --host IP:PORT --party NAME --key-file FILE --upstream NAME "
     "--key KEY --text BODY [--ticket TICKET] [--deadline-ms N]",
     "Books at most once; takes a ticket first unless one is given."},
    {"status", "status --operator IP:PORT", "Shows a node's status."},
    {"dump", "dump --operator IP:PORT", "Shows a node's whole state."},
    {"reckon", "reckon YYYY-MM --store IP:PORT [--csv]",
     "Shows who took what in a month, and who took more than agreed."},
    {"explain", "explain ID [LOG...]",
     "Shows what the logs of all processes say of a request, and what these "
     "processes came to believe around it. Reads standard input without LOG."},
    {"front", "front [--settings FILE]",
     "Runs a forwarding node on the platform; the file is that of the variable "
     "CELERYCROFT_SETTINGS unless given."},
});

base::Result<int> ParseDeadline(const std::string& text) {
  int value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value <= 0)
    return base::Fail(base::ErrorKind::kInvalidInput,
                      "--deadline-ms is '" + text + "'",
                      "give a positive whole number of milliseconds");
  return value;
}

base::Result<void> Apply(int code, const char* value, CommandLine& line) {
  switch (code) {
    case kSettings:
      line.settings_files.emplace_back(value);
      return {};
    case kStore:
      line.store = value;
      return {};
    case kHost:
      line.host = value;
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
      line.output = Output::kJson;
      return {};
    case kCsv:
      line.output = Output::kCsv;
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
                        "see celerycroft --help");
  }
}

}  // namespace

base::Result<CommandLine> ParseCommandLine(int argc, char** argv) {
  CommandLine line;
  opterr = 0;
  int code = 0;
  while ((code = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1)
    TRY_VOID(Apply(code, optarg, line));
  std::vector<std::string> words(argv + optind, argv + argc);
  if (!words.empty()) {
    line.command = words.front();
    line.operands.assign(words.begin() + 1, words.end());
  }
  return line;
}

std::string HelpText(std::string_view command) {
  const auto found = std::ranges::find(kCommands, command, &CommandHelp::name);
  if (found != kCommands.end())
    return "usage: celerycroft " + std::string(found->usage) + "\n" +
           std::string(found->text) + "\nWith --json the answer is JSON.\n";
  std::string text = "usage: celerycroft COMMAND [OPTIONS]\n\n";
  for (const CommandHelp& help : kCommands)
    text += "  " + std::string(help.usage) + "\n      " +
            std::string(help.text) + "\n";
  return text + "\nOptions of all commands: --json, --help, --version.\n";
}

}  // namespace celerycroft
