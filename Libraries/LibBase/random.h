// Randomness as an interface, and the hash that routing decisions share.

#ifndef LIBBASE_RANDOM_H_
#define LIBBASE_RANDOM_H_

#include <atomic>
#include <cstdint>
#include <string_view>

namespace base {

// The finalizer of SplitMix64 (Steele, Lea, Flood: "Fast splittable
// pseudorandom number generators", 2014).
constexpr uint64_t Mix(uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// A hash that is equal on all hosts and builds, unlike std::hash.
constexpr uint64_t StableHash(std::string_view text, uint64_t seed = 0) {
  uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  return Mix(hash);
}

class Random {
 public:
  virtual ~Random() = default;
  virtual uint64_t Next() = 0;

  // Uniform in [0, bound); `bound` must be positive.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  // Uniform in [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
};

// A thread-safe generator whose sequence depends on its seed alone.
class SeededRandom final : public Random {
 public:
  explicit SeededRandom(uint64_t seed) : state_(seed) {}
  uint64_t Next() override {
    return Mix(state_.fetch_add(0x9e3779b97f4a7c15ULL));
  }

 private:
  std::atomic<uint64_t> state_;
};

// A seed from the operating system.
uint64_t EntropySeed();

}  // namespace base

#endif  // LIBBASE_RANDOM_H_
