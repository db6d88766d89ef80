// Parses JSON with nlohmann::json. All files that people write are read with
// this parser, which therefore allows comments.

#include "LibConfig/json_text.h"

#include <nlohmann/json.hpp>

namespace config {

using nlohmann::json;

namespace {

constexpr int kMaxNestingLevels = 32;

}  // namespace

json ParseJsonWithComments(std::string_view text,
                           const std::string& file,
                           Issues& issues) {
  bool too_deep = false;
  const auto limit_depth = [&](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxNestingLevels;
    return depth <= kMaxNestingLevels;
  };
  try {
    json document = json::parse(text, limit_depth, true, true);
    if (!too_deep)
      return document;
    issues.push_back(
        {file, "", "is nested too deeply",
         "use at most " + std::to_string(kMaxNestingLevels) + " levels"});
  } catch (const json::exception& error) {
    issues.push_back(
        {file, "", error.what(), "write valid JSON; comments are allowed"});
  }
  return nullptr;
}

}  // namespace config
