// One mistake in a settings or agreement file.

#ifndef LIBCONFIG_ISSUE_H_
#define LIBCONFIG_ISSUE_H_

#include <string>
#include <vector>

namespace config {

struct Issue {
  std::string file;
  std::string path;  // Of the key, for instance `asks[0].burst`.
  std::string problem;
  std::string remedy;

  bool operator==(const Issue&) const = default;
};

using Issues = std::vector<Issue>;

std::string ToString(const Issue& issue);

}  // namespace config

#endif  // LIBCONFIG_ISSUE_H_
