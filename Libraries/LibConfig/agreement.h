// What one party may ask of the shared upstreams, and what it expects.

#ifndef LIBCONFIG_AGREEMENT_H_
#define LIBCONFIG_AGREEMENT_H_

#include <string>
#include <vector>

#include "LibBase/time.h"

namespace config {

enum class Preference { kLatency, kCoverage };
enum class BookingRight { kNone, kGranted };

// The right of a party to one upstream. A sub-request is one call to one
// server; hedges and retries count as well.
struct UpstreamTerms {
  std::string upstream;
  double sub_requests_per_second = 0;  // Positive.
  double burst = 0;                    // Sub-requests; positive.
  int concurrency = 0;                 // Whole requests at once, per node.
  double extra_load_share = 0;         // Of primary sub-requests; 0 to 1.
  BookingRight booking = BookingRight::kNone;

  bool operator==(const UpstreamTerms&) const = default;
};

struct Expectation {
  base::Duration deadline{};
  double min_coverage = 1;  // 0 to 1.
  Preference preference = Preference::kLatency;

  bool operator==(const Expectation&) const = default;
};

struct Agreement {
  std::string party;
  std::vector<std::string> key_digests;  // SHA-256, lower-case hexadecimal.
  std::vector<UpstreamTerms> upstream_terms;  // At most one per upstream.
  Expectation expectation;

  const UpstreamTerms* FindUpstreamTerms(const std::string& upstream) const;
  bool operator==(const Agreement&) const = default;
};

}  // namespace config

#endif  // LIBCONFIG_AGREEMENT_H_
