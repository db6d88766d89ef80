// Reads a JSON object key by key. Every mistake is collected with its file,
// path and remedy, so that one run reports all of them.

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

// Both bounds are included.
struct IntegerRange {
  int64_t min;
  int64_t max;
};

// Both bounds are included.
struct NumberRange {
  double min;
  double max;
};

// Reads the values of one JSON object. `file` and `path` say in the issues
// where the object stands. `value` and `issues` must outlive the reader.
class JsonObjectReader {
 public:
  JsonObjectReader(const nlohmann::json& value,
                   std::string file,
                   std::string path,
                   Issues& issues);

  // These return the value of `key`. They report a missing or invalid value and
  // return a placeholder for it, so that reading goes on. The optional ones
  // return `default_value` if the key is missing, without a report.
  std::string String(std::string_view key);
  std::string OptionalString(std::string_view key, std::string default_value);
  int64_t Integer(std::string_view key, IntegerRange range);
  int64_t OptionalInteger(std::string_view key,
                          IntegerRange range,
                          int64_t default_value);
  double OptionalNumber(std::string_view key,
                        NumberRange range,
                        double default_value);
  bool OptionalBool(std::string_view key, bool default_value);
  // Returns an `IP:PORT` with a numeric IPv4 address.
  std::string Address(std::string_view key);
  std::string OptionalAddress(std::string_view key, std::string default_value);

  // Returns a list of addresses in the form that Address returns.
  std::vector<std::string> Addresses(std::string_view key);

  // These call `action` with a reader for the object under `key`, or with each
  // object or string of the list under `key`. They report unknown keys of the
  // objects once `action` returns.
  using ElementAction = std::function<void(JsonObjectReader&)>;
  void Object(std::string_view key, const ElementAction& action);
  void ForEachObject(std::string_view key, const ElementAction& action);
  void ForEachString(std::string_view key,
                     const std::function<void(const std::string&)>& action);
  // Returns whether the object has the key, and marks the key as known.
  bool Has(std::string_view key);

  // Adds an issue for `key`, or for the whole object if `key` is empty.
  void Report(std::string_view key, std::string problem, std::string remedy);

  // Reports the keys of the object that none of the calls above has named.
  void RejectUnknownKeys();

 private:
  // Returns null if the key is missing. Marks the key as known.
  const nlohmann::json* Find(std::string_view key);
  // Does the same as Find, and reports a missing key.
  const nlohmann::json* Require(std::string_view key);
  // Returns `text`, and reports it if it is not an address. An empty text isn't
  // reported, since String has reported it already.
  std::string CheckedAddress(std::string_view key, std::string text);
  // Returns the path of a key of this object for an issue.
  std::string PathOf(std::string_view key) const;

  const nlohmann::json& value_;
  std::string file_;
  std::string path_;
  Issues& issues_;
  std::set<std::string, std::less<>> known_keys_;
};

// Returns whether `text` is an `IP:PORT` with a numeric IPv4 address.
bool IsAddress(std::string_view text);

}  // namespace config

#endif  // LIBCONFIG_JSON_OBJECT_READER_H_
