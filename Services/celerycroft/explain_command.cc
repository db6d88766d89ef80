// `celerycroft explain`: what the logs of all processes say of one request.

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

// Changes of what a process believed are shown this long before a request's
// lines and after them.
constexpr int64_t kContextMs = 3000;
// Fields that stand in the first line of an event.
constexpr std::array<std::string_view, 5> kShownFirst = {
    "unixMs", "process", "severity", "event", "name"};

// A process's name, time and what it wrote.
struct LogLine {
  int64_t unix_ms = 0;
  std::string process;
  json fields;
};

// Lines may stand behind a prefix, such as a collector's time and host.
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

base::Result<std::vector<LogLine>> ReadLogs(
    const std::vector<std::string>& files) {
  std::vector<LogLine> lines;
  if (files.empty())
    ReadLines(std::cin, lines);
  for (const std::string& file : files) {
    std::ifstream stream(file);
    if (!stream)
      return base::Fail(base::ErrorKind::kNotFound, "can't read " + file,
                        "check the file's name and rights");
    ReadLines(stream, lines);
  }
  std::ranges::stable_sort(lines, {}, &LogLine::unix_ms);
  return lines;
}

// The request's own lines, and what its processes came to believe around them.
std::vector<LogLine> Timeline(const std::vector<LogLine>& lines,
                              const std::string& id) {
  std::vector<LogLine> own;
  std::ranges::copy_if(lines, std::back_inserter(own), [&](const auto& line) {
    return line.fields.value("request", std::string()) == id;
  });
  std::vector<LogLine> timeline;
  std::ranges::copy_if(
      lines, std::back_inserter(timeline), [&](const LogLine& line) {
        const bool is_request = line.fields.contains("request");
        return std::ranges::any_of(own, [&](const LogLine& other) {
          const bool is_near =
              std::abs(line.unix_ms - other.unix_ms) <= kContextMs;
          return is_request ? line.fields == other.fields
                            : is_near && line.process == other.process;
        });
      });
  return timeline;
}

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
      if (std::ranges::find(kShownFirst, key) == kShownFirst.end())
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
    return ReportMissing(line, "the request's ID");
  const std::string& id = line.operands.front();
  const auto lines = ReadLogs({line.operands.begin() + 1, line.operands.end()});
  if (!lines)
    return ReportError(lines.error());
  const std::vector<LogLine> timeline = Timeline(*lines, id);
  if (timeline.empty())
    return ReportError(base::Error(
        base::ErrorKind::kNotFound, "no line names request " + id,
        "a request that went well is written only as a sample; look at the "
        "metrics, and give the logs of all nodes"));
  if (line.output == Output::kJson)
    PrintJson(timeline);
  else
    PrintText(timeline);
  return kExitSuccess;
}

}  // namespace celerycroft
