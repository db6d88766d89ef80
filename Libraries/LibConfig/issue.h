// Mistakes in a file or in other JSON input.

#ifndef LIBCONFIG_ISSUE_H_
#define LIBCONFIG_ISSUE_H_

#include <string>
#include <vector>

namespace config {

// One mistake, with its place and a remedy.
struct Issue {
  std::string file;
  std::string path;  // Path of the key, for example `asks[0].burst`.
  std::string problem;
  std::string remedy;

  bool operator==(const Issue&) const = default;
};

using Issues = std::vector<Issue>;

// Returns the issue as one line.
std::string ToString(const Issue& issue);

}  // namespace config

#endif  // LIBCONFIG_ISSUE_H_
