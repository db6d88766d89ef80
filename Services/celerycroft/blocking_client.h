// Blocking calls over HTTP, for commands that wait for each answer.

#ifndef CELERYCROFT_BLOCKING_CLIENT_H_
#define CELERYCROFT_BLOCKING_CLIENT_H_

#include <string>

#include "LibBase/error.h"
#include "LibBase/time.h"
#include "LibHttp/client.h"
#include "LibPlatform/key_value_store.h"

namespace celerycroft {

// Sends the request on a new connection and returns the answer.
http::ExchangeResult ExchangeAndWait(const std::string& address,
                                     http::Request request,
                                     base::Duration timeout);

// A blocking client of the key-value service.
class BlockingStore {
 public:
  explicit BlockingStore(std::string address) : address_(std::move(address)) {}

  base::Result<std::optional<platform::StoredValue>> Get(
      const std::string& key);
  base::Result<uint64_t> CompareAndSwap(const std::string& key,
                                        uint64_t expected,
                                        const std::string& value);

 private:
  const std::string address_;
};

}  // namespace celerycroft

#endif  // CELERYCROFT_BLOCKING_CLIENT_H_
