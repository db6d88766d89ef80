// Parses JSON with comments, up to a limit of nesting levels.

#ifndef LIBCONFIG_JSON_TEXT_H_
#define LIBCONFIG_JSON_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "LibConfig/issue.h"

namespace config {

// Returns null and adds an issue if `text` is not valid JSON or is nested too
// deeply. `file` is the name that the issue gives for the file.
nlohmann::json ParseJsonWithComments(std::string_view text,
                                     const std::string& file,
                                     Issues& issues);

}  // namespace config

#endif  // LIBCONFIG_JSON_TEXT_H_
