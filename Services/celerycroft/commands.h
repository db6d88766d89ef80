// The functions that run the subcommands. Each returns the exit code of the
// process.

#ifndef CELERYCROFT_COMMANDS_H_
#define CELERYCROFT_COMMANDS_H_

#include <string>

#include "LibBase/error.h"
#include "LibConfig/issue.h"
#include "command_line.h"

namespace celerycroft {

int RunNode(const CommandLine& line);
int RunCheck(const CommandLine& line);
int RunPublish(const CommandLine& line);
int RunAddresses(const CommandLine& line);
int RunQuery(const CommandLine& line);
int RunTicket(const CommandLine& line);
int RunBook(const CommandLine& line);
int RunStatus(const CommandLine& line);
int RunDump(const CommandLine& line);
int RunReckon(const CommandLine& line);
int RunExplain(const CommandLine& line);

// Defined only in a build that includes the adapter in platform/.
int RunFront(const CommandLine& line);

base::Result<std::string> ReadFile(const std::string& path);

// Prints the issues to standard error and returns whether there are any.
bool PrintIssues(const config::Issues& issues);

// Prints the error to standard error and returns kExitFailure.
int ReportError(const base::Error& error);

// Prints which option or operand is missing and the help text of the command,
// and returns kExitUsage.
int ReportMissingArgument(const CommandLine& line, std::string_view argument);

}  // namespace celerycroft

#endif  // CELERYCROFT_COMMANDS_H_
