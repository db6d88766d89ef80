// Plays a scenario against real processes of the tier and judges it by what
// clients and servers saw. Exit codes: 0 the rules held, 1 one was broken, 2
// the soak could not run.

#include <csignal>
#include <filesystem>
#include <iostream>

#include "LibBase/log.h"
#include "report.h"
#include "soak.h"
#include "store_drill.h"

namespace {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitCouldNotRun = 2;

// Plays and judges. Returns the exit code.
int Run(soak::Soak& soak) {
  if (!soak.Play()) {
    std::cerr << "the hosts did not become ready\n";
    return kExitCouldNotRun;
  }
  const soak::Observation seen = soak.Seen();
  soak::PrintSummary(seen);
  const bool is_kept = soak::PrintVerdict(seen);
  const auto unready = soak.UnreadyHosts();
  for (const std::string& host : unready)
    std::cout << host << " is not ready\n";
  std::cout << "unexpected ends " << soak.unexpected_ends() << "\n";
  return is_kept && unready.empty() && soak.unexpected_ends() == 0
             ? kExitHeld
             : kExitBroken;
}

// Returns the path of a new folder, or an empty string.
std::string MakeTemporaryFolder() {
  std::string name =
      std::filesystem::temp_directory_path() / "celerycroft-soak-XXXXXX";
  return mkdtemp(name.data()) ? name : "";
}

}  // namespace

int main(int argc, char** argv) {
  auto options = soak::ParseOptions(argc, argv);
  const auto deployment =
      options ? soak::FindDeployment(options->deployment) : std::nullopt;
  const auto plan = options ? soak::FindStopPlan(options->plan) : std::nullopt;
  const auto drill =
      options ? soak::FindDrillPlan(options->drill) : std::nullopt;
  const bool is_drill_unknown = options && !options->drill.empty() && !drill;
  if (!deployment || !plan || is_drill_unknown) {
    std::cerr << soak::UsageText();
    return kExitCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  base::DisableLog();
  const bool has_own_folder = options->folder.empty();
  if (has_own_folder)
    options->folder = MakeTemporaryFolder();
  std::error_code error;
  std::filesystem::create_directories(options->folder, error);
  if (error || options->folder.empty()) {
    std::cerr << "can't create a folder for logs\n";
    return kExitCouldNotRun;
  }
  int code = kExitCouldNotRun;
  {
    soak::Soak soak(*options, *deployment, *plan, drill);
    code = Run(soak);
  }
  if (has_own_folder && code == kExitHeld)
    std::filesystem::remove_all(options->folder);
  else
    std::cout << "logs: " << options->folder << "\n";
  return code;
}
