// Reads an object of a JSON file key by key and collects every mistake with
// its file, path and remedy, so that one run reports them all.

#ifndef LIBCONFIG_JSON_OBJECT_READER_H_
#define LIBCONFIG_JSON_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibConfig/issue.h"

namespace config {

struct IntegerRange {
  int64_t min;
  int64_t max;
};

struct NumberRange {
  double min;
  double max;
};

class JsonObjectReader {
 public:
  // `issues` outlives the reader.
  JsonObjectReader(const nlohmann::json& value,
                   std::string file,
                   std::string path,
                   Issues& issues);

  // Each accessor reports a missing or wrong value and then returns the
  // fallback, so that reading goes on.
  std::string String(std::string_view key);
  std::string OptionalString(std::string_view key, std::string fallback);
  int64_t Integer(std::string_view key, IntegerRange range);
  int64_t OptionalInteger(std::string_view key,
                          IntegerRange range,
                          int64_t fallback);
  double OptionalNumber(std::string_view key,
                        NumberRange range,
                        double fallback);
  bool OptionalBool(std::string_view key, bool fallback);
  // An `IP:PORT` with a numeric IPv4 address.
  std::string Address(std::string_view key);
  std::string OptionalAddress(std::string_view key, std::string fallback);

  // A list of such.
  std::vector<std::string> Addresses(std::string_view key);

  using ElementAction = std::function<void(JsonObjectReader&)>;
  void Object(std::string_view key, const ElementAction& action);
  void ForEachObject(std::string_view key, const ElementAction& action);
  void ForEachString(std::string_view key,
                     const std::function<void(const std::string&)>& action);
  // Also marks the key as known.
  bool Has(std::string_view key);

  void Report(std::string_view key, std::string problem, std::string remedy);

  // Reports the keys that no accessor asked for.
  void RejectUnknownKeys();

 private:
  const nlohmann::json* Find(std::string_view key);
  const nlohmann::json* Require(std::string_view key);
  std::string CheckedAddress(std::string_view key, std::string text);
  std::string PathOf(std::string_view key) const;

  const nlohmann::json& value_;
  std::string file_;
  std::string path_;
  Issues& issues_;
  std::set<std::string, std::less<>> known_;
};

// Whether `text` is an `IP:PORT` with a numeric IPv4 address.
bool IsAddress(std::string_view text);

}  // namespace config

#endif  // LIBCONFIG_JSON_OBJECT_READER_H_
