// The agreement with one party: its limits and rights at the shared upstreams,
// and the deadline and coverage that it expects.

#ifndef LIBCONFIG_AGREEMENT_H_
#define LIBCONFIG_AGREEMENT_H_

#include <string>
#include <vector>

#include "LibBase/time.h"

namespace config {

// What matters more to a party: fast answers or complete ones.
enum class Preference { kLatency, kCoverage };

// Whether a party may make bookings at an upstream.
enum class BookingRight { kNone, kGranted };

// The limits and rights of a party at one upstream. A sub-request is one call
// to one server; hedges and retries count as sub-requests, too.
struct UpstreamTerms {
  std::string upstream;
  double sub_requests_per_second = 0;  // Positive.
  double burst = 0;                    // In sub-requests; positive.
  int concurrency = 0;  // Requests (not sub-requests) at once, per node.
  // Hedges and retries as a share of the primary sub-requests; 0 to 1.
  double extra_load_share = 0;
  BookingRight booking = BookingRight::kNone;

  bool operator==(const UpstreamTerms&) const = default;
};

// What a party expects of the answers to its queries.
struct Expectation {
  // How long a query may take if its request names no deadline.
  base::Duration default_time_allowed{};
  // Share of the shards, from 0 to 1, that an answer must cover to meet the
  // agreement.
  double min_coverage = 1;
  Preference preference = Preference::kLatency;

  bool operator==(const Expectation&) const = default;
};

// The agreement with one party, as published by the operators.
struct Agreement {
  std::string party;
  // SHA-256 digests of the party's keys in lower-case hexadecimal.
  std::vector<std::string> key_digests;
  std::vector<UpstreamTerms> upstream_terms;  // At most one entry per upstream.
  Expectation expectation;

  // Returns null if the agreement has no terms for the upstream.
  const UpstreamTerms* FindUpstreamTerms(const std::string& upstream) const;
  bool operator==(const Agreement&) const = default;
};

}  // namespace config

#endif  // LIBCONFIG_AGREEMENT_H_
