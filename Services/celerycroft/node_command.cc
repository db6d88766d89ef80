// Implements `celerycroft node` and `celerycroft check`, and the functions that
// all commands share.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

#include "LibBase/log.h"
#include "LibConfig/configuration.h"
#include "LibConfig/settings.h"
#include "commands.h"
#include "exit_code.h"
#include "node.h"

namespace celerycroft {

namespace {

// Runs `io` on `count` threads and returns when it has stopped.
void RunThreads(boost::asio::io_context& io, int count) {
  std::vector<std::jthread> threads;
  for (int i = 0; i < count; ++i)
    threads.emplace_back([&io] { io.run(); });
}

}  // namespace

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream)
    return base::Fail(base::ErrorKind::kNotFound, "can't read " + path,
                      "check the file's name and permissions");
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

bool PrintIssues(const config::Issues& issues) {
  for (const config::Issue& issue : issues)
    std::cerr << config::ToString(issue) << "\n";
  return !issues.empty();
}

int ReportError(const base::Error& error) {
  std::cerr << error.ToString() << "\n";
  return kExitFailure;
}

int ReportMissingArgument(const CommandLine& line, std::string_view argument) {
  std::cerr << "missing " << argument << "\n" << HelpText(line.command);
  return kExitUsage;
}

int RunNode(const CommandLine& line) {
  if (line.settings_files.size() != 1)
    return ReportMissingArgument(
        line, "--settings FILE, which is required exactly once");
  const std::string& file = line.settings_files.front();
  const auto text = ReadFile(file);
  if (!text)
    return ReportError(text.error());
  auto parsed = config::ParseSettings(*text, file);
  if (PrintIssues(parsed.issues))
    return kExitFailure;
  const int threads = parsed.settings.threads;
  base::InitializeLog(parsed.settings.node_id);
  boost::asio::io_context io;
  auto node = Node::Create(std::move(parsed.settings), io);
  if (!node) {
    base::Log(base::Event::kListenFailed,
              {{"reason", node.error().ToString()}});
    return ReportError(node.error());
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto& error, int) {
    if (!error)
      (*node)->Drain([&io] { io.stop(); });
  });
  RunThreads(io, threads);
  return kExitSuccess;
}

int RunCheck(const CommandLine& line) {
  if (line.settings_files.empty() && line.operands.empty())
    return ReportMissingArgument(line, "--settings FILE or DIR");
  config::Issues issues;
  for (const std::string& file : line.settings_files) {
    const auto text = ReadFile(file);
    if (!text)
      return ReportError(text.error());
    std::ranges::copy(config::ParseSettings(*text, file).issues,
                      std::back_inserter(issues));
  }
  for (const std::string& directory : line.operands)
    std::ranges::copy(config::CollectDirectory(directory).issues,
                      std::back_inserter(issues));
  if (PrintIssues(issues))
    return kExitFailure;
  std::cout << "no mistakes found\n";
  return kExitSuccess;
}

}  // namespace celerycroft
