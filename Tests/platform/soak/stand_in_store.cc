// Serves the store's listing and watch calls.

#include "stand_in_store.h"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "wire.h"

namespace soak {

using nlohmann::json;

namespace {

namespace wire = platform::wire;

// How long the platform's store takes to answer.
constexpr base::Duration kAnswerTime = std::chrono::milliseconds(4);

std::string EncodeBase64(const std::string& bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

uint64_t ParseNumber(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

json ToJson(const std::string& key,
            const std::string& value,
            uint64_t revision) {
  return {{"key", key},
          {"value", EncodeBase64(value)},
          {"revision", revision},
          {"created_rev", revision},
          {"lease", 0}};
}

}  // namespace

StandInStore::StandInStore(boost::asio::io_context& io,
                           const std::string& address)
    : io_(io), address_(address), scheduler_(io) {
  Listen();
}

void StandInStore::Listen() {
  auto server = http::Server::Create(
      io_, address_, {}, [this](const auto& request, auto respond) {
        scheduler_.After(kAnswerTime,
                         [this, request, respond = std::move(respond)] {
                           Handle(request, respond);
                         });
      });
  if (!server)
    throw std::runtime_error(server.error().ToString());
  server_ = *std::move(server);
}

void StandInStore::Put(const std::string& key, const std::string& value) {
  Change(key, value);
}

void StandInStore::Remove(const std::string& key) {
  if (contents_.items.contains(key))
    Change(key, std::nullopt);
}

void StandInStore::Change(const std::string& key,
                          std::optional<std::string> value) {
  ++contents_.revision;
  if (value)
    contents_.items[key] = {*value, contents_.revision};
  else
    contents_.items.erase(key);
  contents_.history.push_back({key, std::move(value), contents_.revision});
  const auto has_news = [this](const auto& watch) { return HasNews(*watch); };
  std::vector<std::shared_ptr<Watch>> due;
  std::ranges::copy_if(watches_, std::back_inserter(due), has_news);
  std::erase_if(watches_, has_news);
  std::ranges::for_each(due, [this](const auto& watch) { Answer(*watch); });
}

void StandInStore::GoAway() {
  server_ = nullptr;
  for (const auto& watch : std::exchange(watches_, {}))
    watch->respond(MakeResponse(http::kStatusUnavailable, ""));
}

void StandInStore::Return() {
  Listen();
}

void StandInStore::ReturnFrom(Contents copy) {
  contents_ = std::move(copy);
  ++era_;
  Listen();
}

void StandInStore::Handle(const http::Request& request,
                          const http::Responder& respond) {
  if (!server_) {
    respond(MakeResponse(http::kStatusUnavailable, ""));
    return;
  }
  const std::string prefix = http::QueryParameter(request.target, "prefix");
  const std::string after = http::QueryParameter(request.target, "after");
  if (http::Path(request.target) == wire::kRangePath) {
    respond(List(prefix, after));
    return;
  }
  const std::chrono::milliseconds wait(
      ParseNumber(http::QueryParameter(request.target, "wait_ms")));
  StartWatch({prefix, ParseNumber(after), respond}, wait);
}

http::Response StandInStore::MakeResponse(int status, std::string body) const {
  http::Response response;
  response.status = status;
  response.headers = {{wire::kStoreEra, std::to_string(era_)}};
  response.body = std::move(body);
  return response;
}

http::Response StandInStore::List(const std::string& prefix,
                                  const std::string& after_key) {
  json items = json::array();
  for (const auto& [key, item] : contents_.items) {
    if (key.starts_with(prefix) && key > after_key)
      items.push_back(ToJson(key, item.value, item.revision));
  }
  return MakeResponse(http::kStatusOk, json{{"items", items},
                                            {"has_more", false},
                                            {"at_rev", contents_.revision}}
                                           .dump());
}

void StandInStore::StartWatch(Watch watch, base::Duration wait) {
  if (watch.after > contents_.revision) {
    watch.respond(MakeResponse(http::kStatusGone, ""));
    return;
  }
  if (HasNews(watch)) {
    Answer(watch);
    return;
  }
  watches_.push_back(std::make_shared<Watch>(std::move(watch)));
  scheduler_.After(wait, [this, waiting = watches_.back()] {
    if (std::erase(watches_, waiting) > 0)
      Answer(*waiting);
  });
}

bool StandInStore::HasNews(const Watch& watch) const {
  return std::ranges::any_of(contents_.history,
                             [&](const Contents::Change& change) {
                               return change.key.starts_with(watch.prefix) &&
                                      change.revision > watch.after;
                             });
}

void StandInStore::Answer(const Watch& watch) {
  json events = json::array();
  for (const auto& [key, value, revision] : contents_.history) {
    if (!key.starts_with(watch.prefix) || revision <= watch.after)
      continue;
    if (value)
      events.push_back(ToJson(key, *value, revision));
    else
      events.push_back(
          {{"key", key}, {"revision", revision}, {"deleted", true}});
  }
  watch.respond(MakeResponse(
      http::kStatusOk,
      json{{"events", events}, {"at_rev", contents_.revision}}.dump()));
}

}  // namespace soak
