// The subcommands. Each returns the process's exit code.

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

// Only with the adapter to the platform.
int RunFront(const CommandLine& line);

base::Result<std::string> ReadFile(const std::string& path);

// Prints issues and returns whether there were any.
bool PrintIssues(const config::Issues& issues);

// Prints an error and returns kExitFailure.
int ReportError(const base::Error& error);

// Prints what options are missing and returns kExitUsage.
int ReportMissing(const CommandLine& line, std::string_view option);

}  // namespace celerycroft

#endif  // CELERYCROFT_COMMANDS_H_
