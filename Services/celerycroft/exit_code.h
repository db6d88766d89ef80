// Exit codes of the program; README lists them.

#ifndef CELERYCROFT_EXIT_CODE_H_
#define CELERYCROFT_EXIT_CODE_H_

namespace celerycroft {

enum ExitCode : int {
  kExitSuccess = 0,
  kExitFailure = 1,
  kExitUsage = 2,
  kExitConflict = 3,
  kExitNotEverywhere = 4,
  kExitNotRun = 5,
  kExitUnknown = 6,
};

}  // namespace celerycroft

#endif  // CELERYCROFT_EXIT_CODE_H_
