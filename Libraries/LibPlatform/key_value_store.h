// The interface of the platform's key-value service, whose values are written
// by compare-and-swap.

#ifndef LIBPLATFORM_KEY_VALUE_STORE_H_
#define LIBPLATFORM_KEY_VALUE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "LibBase/error.h"
#include "LibBase/time.h"

namespace platform {

struct StoredValue {
  std::string value;
  uint64_t version = 0;  // Rises with every write of the key.

  bool operator==(const StoredValue&) const = default;
};

// The version of a key that does not exist.
inline constexpr uint64_t kAbsent = 0;

class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  using ReadCallback =
      std::function<void(base::Result<std::optional<StoredValue>>)>;
  using WriteCallback = std::function<void(base::Result<uint64_t>)>;

  // Calls back with the value of `key`, or nullopt if the key does not exist.
  virtual void Get(const std::string& key, ReadCallback callback) = 0;

  // Calls back like Get, but only once the key's version exceeds `above`, or
  // after `wait`.
  virtual void Watch(const std::string& key,
                     uint64_t above,
                     base::Duration wait,
                     ReadCallback callback) = 0;

  // Writes `value` and calls back with its version if the key's version is
  // `expected`; fails with kConflict otherwise.
  // NOTE: After any other failure the write may have taken effect.
  virtual void CompareAndSwap(const std::string& key,
                              uint64_t expected,
                              const std::string& value,
                              WriteCallback callback) = 0;
};

}  // namespace platform

#endif  // LIBPLATFORM_KEY_VALUE_STORE_H_
