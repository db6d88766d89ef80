// Random order and random choice of a list's elements.

#ifndef LIBBASE_SAMPLING_H_
#define LIBBASE_SAMPLING_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "LibBase/random.h"

namespace base {

// Fisher and Yates' shuffle.
template <typename T>
void Shuffle(std::vector<T>& items, Random& random) {
  for (size_t i = items.size(); i > 1; --i)
    std::swap(items[i - 1], items[random.Below(i)]);
}

// Keeps `count` elements, each with the same chance; all if there are fewer.
template <typename T>
void KeepSample(std::vector<T>& items, size_t count, Random& random) {
  while (items.size() > count) {
    std::swap(items[random.Below(items.size())], items.back());
    items.pop_back();
  }
}

}  // namespace base

#endif  // LIBBASE_SAMPLING_H_
