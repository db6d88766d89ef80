// Implements `celerycroft explain`, which shows the log lines of one request
// from all processes.

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "commands.h"
#include "exit_code.h"

namespace celerycroft {

namespace {

using nlohmann::json;

// Lines of a process that belong to no request, such as changes of its view of
// peers and servers, are shown if they are this close to one of its lines about
// the request, before or after it.
constexpr int64_t kContextMs = 3000;
// Fields that PrintText leaves out below the first line of an event.
constexpr std::array<std::string_view, 5> kHeaderFields = {
    "unixMs", "process", "severity", "event", "name"};

// One line of a log.
struct LogLine {
  int64_t unix_ms = 0;
  std::string process;
  json fields;
};

// Appends the log lines of the stream to `lines`. The JSON of a line may follow
// a prefix, such as the time and host that a log collector adds. Ignores lines
// without valid JSON.
void ReadLines(std::istream& stream, std::vector<LogLine>& lines) {
  for (std::string text; std::getline(stream, text);) {
    const size_t begin = text.find("{\"unixMs\"");
    if (begin == std::string::npos)
      continue;
    json fields = json::parse(text.substr(begin), nullptr, false);
    if (fields.is_discarded())
      continue;
    LogLine line;
    line.unix_ms = fields.value("unixMs", int64_t{0});
    line.process = fields.value("process", std::string());
    line.fields = std::move(fields);
    lines.push_back(std::move(line));
  }
}

// Returns the lines of all files, or of standard input if there are none,
// sorted by time.
base::Result<std::vector<LogLine>> ReadLogs(
    const std::vector<std::string>& files) {
  std::vector<LogLine> lines;
  if (files.empty())
    ReadLines(std::cin, lines);
  for (const std::string& file : files) {
    std::ifstream stream(file);
    if (!stream)
      return base::Fail(base::ErrorKind::kNotFound, "can't read " + file,
                        "check the file's name and permissions");
    ReadLines(stream, lines);
  }
  std::ranges::stable_sort(lines, {}, &LogLine::unix_ms);
  return lines;
}

// Returns the lines of the request, and the lines of the same processes that
// belong to no request and are close in time.
std::vector<LogLine> FindTimeline(const std::vector<LogLine>& lines,
                                  const std::string& request_id) {
  std::vector<LogLine> request_lines;
  std::ranges::copy_if(
      lines, std::back_inserter(request_lines), [&](const auto& line) {
        return line.fields.value("request", std::string()) == request_id;
      });
  std::vector<LogLine> timeline;
  std::ranges::copy_if(
      lines, std::back_inserter(timeline), [&](const LogLine& line) {
        const bool has_request = line.fields.contains("request");
        return std::ranges::any_of(request_lines, [&](const LogLine& other) {
          const bool is_near =
              std::abs(line.unix_ms - other.unix_ms) <= kContextMs;
          return has_request ? line.fields == other.fields
                             : is_near && line.process == other.process;
        });
      });
  return timeline;
}

// Prints nothing for an empty text.
void PrintField(const std::string& key, const json& value) {
  const std::string text =
      value.is_string() ? value.get<std::string>() : value.dump();
  if (!text.empty())
    std::cout << "    " << key << ": " << text << "\n";
}

void PrintText(const std::vector<LogLine>& timeline) {
  for (const LogLine& line : timeline) {
    std::cout << line.unix_ms << " " << line.process << " "
              << line.fields.value("event", 0) << " "
              << line.fields.value("name", std::string()) << "\n";
    for (const auto& [key, value] : line.fields.items()) {
      if (std::ranges::find(kHeaderFields, key) == kHeaderFields.end())
        PrintField(key, value);
    }
  }
}

void PrintJson(const std::vector<LogLine>& timeline) {
  json lines = json::array();
  std::ranges::transform(timeline, std::back_inserter(lines), &LogLine::fields);
  std::cout << lines.dump(2) << "\n";
}

}  // namespace

int RunExplain(const CommandLine& line) {
  if (line.operands.empty())
    return ReportMissingArgument(line, "the request ID");
  const std::string& request_id = line.operands.front();
  const auto lines = ReadLogs({line.operands.begin() + 1, line.operands.end()});
  if (!lines)
    return ReportError(lines.error());
  const std::vector<LogLine> timeline = FindTimeline(*lines, request_id);
  if (timeline.empty())
    return ReportError(base::Error(
        base::ErrorKind::kNotFound,
        "no log line belongs to request " + request_id,
        "pass the logs of all nodes, and look at the metrics: only a sample of "
        "successful requests is logged"));
  if (line.output_format == OutputFormat::kJson)
    PrintJson(timeline);
  else
    PrintText(timeline);
  return kExitSuccess;
}

}  // namespace celerycroft
