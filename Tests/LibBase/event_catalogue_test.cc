// The documentation and the code must list the same events.

#include <doctest/doctest.h>

#include <fstream>
#include <regex>
#include <set>
#include <string>

#include "LibBase/log.h"

namespace {

TEST_CASE("docs/EVENTS.md lists exactly the events of the code") {
  std::set<std::string> events_in_code;
  for (const base::EventDescription& event : base::EventCatalogue())
    events_in_code.insert(std::to_string(static_cast<int>(event.event)) + " " +
                          std::string(event.name));
  std::set<std::string> events_in_docs;
  std::ifstream page(CELERYCROFT_SOURCE_DIR "/docs/EVENTS.md");
  const std::regex row(R"(\| (\d+) \| `(\w+)` \|.*)");
  for (std::string line; std::getline(page, line);) {
    std::smatch match;
    if (std::regex_match(line, match, row))
      events_in_docs.insert(match[1].str() + " " + match[2].str());
  }
  CHECK(events_in_code == events_in_docs);
}

}  // namespace
