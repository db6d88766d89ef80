// Each call runs an io_context of its own until the answer has arrived.

#include "blocking_client.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "LibPlatform/http_key_value_store.h"

namespace celerycroft {

namespace {

// The initial value of a result, which the callback replaces.
base::Error NoAnswer() {
  return base::Error(base::ErrorKind::kInternal,
                     "the call ended without an answer",
                     "report this as a defect");
}

}  // namespace

http::ExchangeResult ExchangeAndWait(const std::string& address,
                                     http::Request request,
                                     base::Duration timeout) {
  boost::asio::io_context io;
  http::ExchangeResult answer = tl::make_unexpected(
      http::ExchangeError{NoAnswer(), http::SentState::kMaybeSent});
  http::ExchangeOnce(
      io, address, std::move(request), timeout,
      [&](http::ExchangeResult result) { answer = std::move(result); });
  io.run();
  return answer;
}

base::Result<std::optional<platform::StoredValue>> BlockingStore::Get(
    const std::string& key) {
  boost::asio::io_context io;
  platform::HttpKeyValueStore store(io, address_);
  base::Result<std::optional<platform::StoredValue>> answer =
      tl::make_unexpected(NoAnswer());
  store.Get(key, [&](auto read) { answer = std::move(read); });
  io.run();
  return answer;
}

base::Result<uint64_t> BlockingStore::CompareAndSwap(const std::string& key,
                                                     uint64_t expected,
                                                     const std::string& value) {
  boost::asio::io_context io;
  platform::HttpKeyValueStore store(io, address_);
  base::Result<uint64_t> answer = tl::make_unexpected(NoAnswer());
  store.CompareAndSwap(key, expected, value,
                       [&](auto written) { answer = std::move(written); });
  io.run();
  return answer;
}

}  // namespace celerycroft
