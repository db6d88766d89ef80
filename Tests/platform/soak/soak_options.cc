// Parses the arguments with getopt_long.

#include "soak_options.h"

#include <getopt.h>

#include <boost/algorithm/string/join.hpp>
#include <functional>
#include <map>
#include <stdexcept>
#include <vector>

#include "scenario.h"
#include "store_drill.h"

namespace soak {

namespace {

constexpr char kUsage[] =
    "usage: celerycroft-soak [--deployment NAME] [--plan NAME | --drill NAME] "
    "[--seed N]\n"
    "  [--load FACTOR] [--work FACTOR] [--share SHARE] [--seconds N] "
    "[--disturb]\n"
    "  [--program FILE] [--template FILE] [--folder DIR]\n";

}  // namespace

std::string UsageText() {
  return std::string(kUsage) +
         "deployments: " + boost::join(DeploymentNames(), ", ") +
         "\nplans: " + boost::join(StopPlanNames(), ", ") +
         "\ndrills: " + boost::join(DrillPlanNames(), ", ") + "\n";
}

std::optional<SoakOptions> ParseOptions(int argc, char** argv) {
  SoakOptions options;
  const std::map<std::string, std::function<void(const std::string&)>> setters =
      {{"deployment", [&](const auto& text) { options.deployment = text; }},
       {"plan", [&](const auto& text) { options.plan = text; }},
       {"drill",
        [&](const auto& text) {
          options.drill = text;
          options.plan = "none";
        }},
       {"program", [&](const auto& text) { options.program = text; }},
       {"template", [&](const auto& text) { options.template_file = text; }},
       {"folder", [&](const auto& text) { options.folder = text; }},
       {"seed", [&](const auto& text) { options.seed = std::stoull(text); }},
       {"load", [&](const auto& text) { options.load = std::stod(text); }},
       {"work", [&](const auto& text) { options.work = std::stod(text); }},
       {"share", [&](const auto& text) { options.share = std::stod(text); }},
       {"seconds",
        [&](const auto& text) { options.seconds = std::stoi(text); }},
       {"disturb", [&](const auto&) { options.disturb = true; }}};
  std::vector<option> names;
  for (const auto& [name, setter] : setters)
    names.push_back({name.c_str(),
                     name == "disturb" ? no_argument : required_argument,
                     nullptr, 1});
  names.push_back({});
  int index = 0;
  while (true) {
    const int code = getopt_long(argc, argv, "", names.data(), &index);
    if (code == -1)
      return optind == argc ? std::optional(options) : std::nullopt;
    if (code != 1)
      return std::nullopt;
    try {
      setters.at(names[static_cast<size_t>(index)].name)(optarg ? optarg : "");
    } catch (const std::logic_error&) {
      return std::nullopt;
    }
  }
}

}  // namespace soak
