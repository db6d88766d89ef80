// Reads typed values from JSON objects and reports every mistake.

#include "LibConfig/json_object_reader.h"

#include <arpa/inet.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace config {

using nlohmann::json;

namespace {

constexpr int kMaxPort = 65535;

std::string RangeRemedy(IntegerRange range) {
  return "give an integer from " + std::to_string(range.min) + " to " +
         std::to_string(range.max);
}

}  // namespace

std::string ToString(const Issue& issue) {
  return issue.file + ": " +
         (issue.path.empty() ? "(whole file)" : issue.path) + ": " +
         issue.problem + "; " + issue.remedy;
}

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  const std::string host(text.substr(0, colon));
  in_addr parsed;
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1)
    return false;
  const std::string_view port_text = text.substr(colon + 1);
  int port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto result = std::from_chars(port_text.data(), end, port);
  return result.ec == std::errc() && result.ptr == end && port > 0 &&
         port <= kMaxPort;
}

JsonObjectReader::JsonObjectReader(const json& value,
                                   std::string file,
                                   std::string path,
                                   Issues& issues)
    : value_(value),
      file_(std::move(file)),
      path_(std::move(path)),
      issues_(issues) {
  if (!value_.is_object())
    Report("", "is not an object", "write a JSON object in braces");
}

std::string JsonObjectReader::PathOf(std::string_view key) const {
  if (path_.empty() || key.empty())
    return path_ + std::string(key);
  return path_ + "." + std::string(key);
}

void JsonObjectReader::Report(std::string_view key,
                              std::string problem,
                              std::string remedy) {
  issues_.push_back(
      {file_, PathOf(key), std::move(problem), std::move(remedy)});
}

const json* JsonObjectReader::Find(std::string_view key) {
  known_keys_.emplace(key);
  if (!value_.is_object())
    return nullptr;
  const auto found = value_.find(std::string(key));
  return found == value_.end() ? nullptr : &*found;
}

const json* JsonObjectReader::Require(std::string_view key) {
  const json* found = Find(key);
  if (!found && value_.is_object())
    Report(key, "is missing", "add the key");
  return found;
}

bool JsonObjectReader::Has(std::string_view key) {
  return Find(key) != nullptr;
}

std::string JsonObjectReader::String(std::string_view key) {
  const json* found = Require(key);
  if (!found)
    return "";
  if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
    Report(key, "is not a non-empty string", "give a string in quotes");
    return "";
  }
  return found->get<std::string>();
}

std::string JsonObjectReader::OptionalString(std::string_view key,
                                             std::string default_value) {
  return Find(key) ? String(key) : std::move(default_value);
}

int64_t JsonObjectReader::Integer(std::string_view key, IntegerRange range) {
  const json* found = Require(key);
  if (!found)
    return range.min;
  const bool fits_int64 =
      found->is_number_integer() &&
      !(found->is_number_unsigned() && found->get<uint64_t>() > INT64_MAX);
  const int64_t number = fits_int64 ? found->get<int64_t>() : 0;
  if (!fits_int64 || number < range.min || number > range.max) {
    Report(key, "is " + found->dump(), RangeRemedy(range));
    return range.min;
  }
  return number;
}

int64_t JsonObjectReader::OptionalInteger(std::string_view key,
                                          IntegerRange range,
                                          int64_t default_value) {
  return Find(key) ? Integer(key, range) : default_value;
}

double JsonObjectReader::OptionalNumber(std::string_view key,
                                        NumberRange range,
                                        double default_value) {
  const json* found = Find(key);
  if (!found)
    return default_value;
  const double number = found->is_number() ? found->get<double>() : 0;
  if (!found->is_number() || number < range.min || number > range.max) {
    Report(key, "is " + found->dump(),
           "give a number from " + std::to_string(range.min) + " to " +
               std::to_string(range.max));
    return default_value;
  }
  return number;
}

bool JsonObjectReader::OptionalBool(std::string_view key, bool default_value) {
  const json* found = Find(key);
  if (!found)
    return default_value;
  if (!found->is_boolean()) {
    Report(key, "is " + found->dump(), "write true or false");
    return default_value;
  }
  return found->get<bool>();
}

std::string JsonObjectReader::CheckedAddress(std::string_view key,
                                             std::string text) {
  if (!text.empty() && !IsAddress(text))
    Report(key, "is '" + text + "'",
           "give a numeric IPv4 address and a port, such as 127.0.0.11:8080");
  return text;
}

std::string JsonObjectReader::Address(std::string_view key) {
  return CheckedAddress(key, String(key));
}

std::vector<std::string> JsonObjectReader::Addresses(std::string_view key) {
  std::vector<std::string> addresses;
  ForEachString(key, [&](const std::string& address) {
    if (!IsAddress(address))
      Report(key, "contains '" + address + "'",
             "give numeric IPv4 addresses with ports, such as 127.0.0.11:8080");
    addresses.push_back(address);
  });
  return addresses;
}

std::string JsonObjectReader::OptionalAddress(std::string_view key,
                                              std::string default_value) {
  return Find(key) ? Address(key) : std::move(default_value);
}

void JsonObjectReader::Object(std::string_view key,
                              const ElementAction& action) {
  const json* found = Require(key);
  if (!found)
    return;
  JsonObjectReader element(*found, file_, PathOf(key), issues_);
  action(element);
  element.RejectUnknownKeys();
}

void JsonObjectReader::ForEachObject(std::string_view key,
                                     const ElementAction& action) {
  const json* found = Require(key);
  if (!found)
    return;
  if (!found->is_array()) {
    Report(key, "is not a list", "write a list in brackets");
    return;
  }
  size_t index = 0;
  for (const json& item : *found) {
    JsonObjectReader element(item, file_,
                             PathOf(key) + "[" + std::to_string(index++) + "]",
                             issues_);
    action(element);
    element.RejectUnknownKeys();
  }
}

void JsonObjectReader::ForEachString(
    std::string_view key,
    const std::function<void(const std::string&)>& action) {
  const json* found = Require(key);
  if (!found)
    return;
  if (!found->is_array()) {
    Report(key, "is not a list", "write a list in brackets");
    return;
  }
  for (const json& item : *found) {
    if (item.is_string())
      action(item.get<std::string>());
    else
      Report(key, "contains " + item.dump(), "give only strings in quotes");
  }
}

void JsonObjectReader::RejectUnknownKeys() {
  if (!value_.is_object())
    return;
  for (const auto& [key, unused] : value_.items()) {
    if (!known_keys_.contains(key))
      Report(key, "is not a known key", "remove it or correct its spelling");
  }
}

}  // namespace config
