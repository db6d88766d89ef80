// Puts lists into random order and takes random samples of them.

#ifndef LIBBASE_SAMPLING_H_
#define LIBBASE_SAMPLING_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "LibBase/random.h"

namespace base {

// Puts `items` into random order with the Fisher-Yates shuffle.
template <typename T>
void Shuffle(std::vector<T>& items, Random& random) {
  for (size_t i = items.size(); i > 1; --i)
    std::swap(items[i - 1], items[random.Below(i)]);
}

// Keeps a random sample of `count` elements and removes the others. Keeps all
// elements if there are fewer. Each element has the same chance to be kept.
template <typename T>
void KeepSample(std::vector<T>& items, size_t count, Random& random) {
  while (items.size() > count) {
    std::swap(items[random.Below(items.size())], items.back());
    items.pop_back();
  }
}

}  // namespace base

#endif  // LIBBASE_SAMPLING_H_
