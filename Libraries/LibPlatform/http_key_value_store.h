// Calls the platform's key-value service over HTTP.

#ifndef LIBPLATFORM_HTTP_KEY_VALUE_STORE_H_
#define LIBPLATFORM_HTTP_KEY_VALUE_STORE_H_

#include <string>

#include "LibPlatform/key_value_store.h"

namespace boost::asio {
class io_context;
}

namespace platform {

class HttpKeyValueStore final : public KeyValueStore {
 public:
  HttpKeyValueStore(boost::asio::io_context& io, std::string address);

  void Get(const std::string& key, ReadCallback callback) override;
  void Watch(const std::string& key,
             uint64_t above,
             base::Duration wait,
             ReadCallback callback) override;
  void CompareAndSwap(const std::string& key,
                      uint64_t expected,
                      const std::string& value,
                      WriteCallback callback) override;

 private:
  void Read(std::string target, base::Duration timeout, ReadCallback callback);

  boost::asio::io_context& io_;
  const std::string address_;
};

}  // namespace platform

#endif  // LIBPLATFORM_HTTP_KEY_VALUE_STORE_H_
