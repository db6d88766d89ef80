// The requests are GET /kv/KEY, GET /kv/KEY?above=VERSION&waitMs=N, and
// PUT /kv/KEY?expected=VERSION. The response's header Store-Version holds the
// version of the value.

#include "LibPlatform/http_key_value_store.h"

#include <charconv>
#include <utility>

#include "LibHttp/client.h"

namespace platform {

using base::Error;
using base::ErrorKind;

namespace {

constexpr base::Duration kCallTimeout = std::chrono::milliseconds(1000);

uint64_t ParseVersion(const http::Response& response) {
  const std::string_view text =
      http::FindHeader(response.headers, "Store-Version");
  uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

tl::unexpected<Error> StatusError(const http::Response& response) {
  return base::Fail(
      ErrorKind::kUnavailable,
      "the key-value service answered " + std::to_string(response.status),
      "check the service; the configuration in force is kept");
}

}  // namespace

HttpKeyValueStore::HttpKeyValueStore(boost::asio::io_context& io,
                                     std::string address)
    : io_(io), address_(std::move(address)) {}

void HttpKeyValueStore::Read(std::string target,
                             base::Duration timeout,
                             ReadCallback callback) {
  http::ExchangeOnce(
      io_, address_, {"GET", std::move(target), {}, ""}, timeout,
      [callback = std::move(callback)](http::ExchangeResult result) {
        if (!result)
          callback(tl::make_unexpected(result.error().error));
        else if (result->status == http::kStatusOk)
          callback(StoredValue{result->body, ParseVersion(*result)});
        else if (result->status == http::kStatusNotFound)
          callback(std::nullopt);
        else
          callback(StatusError(*result));
      });
}

void HttpKeyValueStore::Get(const std::string& key, ReadCallback callback) {
  Read("/kv/" + key, kCallTimeout, std::move(callback));
}

void HttpKeyValueStore::Watch(const std::string& key,
                              uint64_t above,
                              base::Duration wait,
                              ReadCallback callback) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  Read("/kv/" + key + "?above=" + std::to_string(above) +
           "&waitMs=" + std::to_string(wait_ms),
       wait + kCallTimeout, std::move(callback));
}

void HttpKeyValueStore::CompareAndSwap(const std::string& key,
                                       uint64_t expected,
                                       const std::string& value,
                                       WriteCallback callback) {
  http::ExchangeOnce(
      io_, address_,
      {"PUT",
       "/kv/" + key + "?expected=" + std::to_string(expected),
       {},
       value},
      kCallTimeout,
      [callback = std::move(callback)](http::ExchangeResult result) {
        if (!result)
          callback(tl::make_unexpected(result.error().error));
        else if (result->status == http::kStatusOk)
          callback(ParseVersion(*result));
        else if (result->status == http::kStatusConflict)
          callback(base::Fail(ErrorKind::kConflict,
                              "another writer changed the key in the meantime",
                              "read the key again before you write it"));
        else
          callback(StatusError(*result));
      });
}

}  // namespace platform
