// JSON with comments, bounded in nesting.

#ifndef LIBCONFIG_JSON_TEXT_H_
#define LIBCONFIG_JSON_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "LibConfig/issue.h"

namespace config {

// Returns null and reports an issue when `text` is no JSON.
nlohmann::json ParseJsonWithComments(std::string_view text,
                                     const std::string& file,
                                     Issues& issues);

}  // namespace config

#endif  // LIBCONFIG_JSON_TEXT_H_
