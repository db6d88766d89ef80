// Finds headers, paths and query parameters in messages.

#include "LibHttp/message.h"

#include <algorithm>
#include <cctype>

namespace http {

namespace {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

}  // namespace

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return EqualsIgnoringCase(header.name, name);
  });
  return found == headers.end() ? std::string_view() : found->value;
}

size_t CountHeaders(const Headers& headers, std::string_view name) {
  return static_cast<size_t>(
      std::ranges::count_if(headers, [&](const Header& header) {
        return EqualsIgnoringCase(header.name, name);
      }));
}

std::string_view Path(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  const size_t question_mark = target.find('?');
  if (question_mark == std::string_view::npos)
    return "";
  std::string_view rest = target.substr(question_mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos)
      return std::string(pair.substr(equals + 1));
  }
  return "";
}

}  // namespace http
