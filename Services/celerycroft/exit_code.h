// Exit codes of the program. README lists them.

#ifndef CELERYCROFT_EXIT_CODE_H_
#define CELERYCROFT_EXIT_CODE_H_

namespace celerycroft {

enum ExitCode : int {
  kExitSuccess = 0,
  kExitFailure = 1,
  // The command line is invalid.
  kExitUsage = 2,
  // Another publication came first.
  kExitConflict = 3,
  // The files are published, but not yet in force on every live node.
  kExitNotInForceEverywhere = 4,
  // The request was certainly not executed.
  kExitNotRun = 5,
  // The request may have been executed.
  kExitOutcomeUnknown = 6,
};

}  // namespace celerycroft

#endif  // CELERYCROFT_EXIT_CODE_H_
