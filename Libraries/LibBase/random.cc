// Takes seeds from the operating system.

#include "LibBase/random.h"

#include <random>

namespace base {

uint64_t EntropySeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace base
