// An interface for random numbers, and hashes that are equal on all hosts.

#ifndef LIBBASE_RANDOM_H_
#define LIBBASE_RANDOM_H_

#include <atomic>
#include <cstdint>
#include <string_view>

namespace base {

// Hashes a number with the finalizer of SplitMix64 (Steele, Lea, Flood: "Fast
// splittable pseudorandom number generators", 2014).
constexpr uint64_t Mix(uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Returns a hash of `text` that is equal on all hosts and in all builds, unlike
// that of std::hash, so that nodes make the same routing decisions.
constexpr uint64_t StableHash(std::string_view text, uint64_t seed = 0) {
  uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  return Mix(hash);
}

// A source of random numbers.
class Random {
 public:
  virtual ~Random() = default;
  // Returns a number that is uniformly distributed over all values of the type.
  virtual uint64_t Next() = 0;

  // Returns a number from [0, bound). The modulo bias is negligible for bounds
  // far below 2^64. `bound` must be positive.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  // Returns a number that is uniformly distributed over [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
};

// A thread-safe generator whose sequence depends only on its seed.
class SeededRandom final : public Random {
 public:
  explicit SeededRandom(uint64_t seed) : state_(seed) {}
  uint64_t Next() override {
    return Mix(state_.fetch_add(0x9e3779b97f4a7c15ULL));
  }

 private:
  std::atomic<uint64_t> state_;
};

// Returns a seed from the operating system's source of entropy.
uint64_t EntropySeed();

}  // namespace base

#endif  // LIBBASE_RANDOM_H_
