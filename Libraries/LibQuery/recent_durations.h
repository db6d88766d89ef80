// The longest duration among recent ones.

#ifndef LIBQUERY_RECENT_DURATIONS_H_
#define LIBQUERY_RECENT_DURATIONS_H_

#include <cstddef>
#include <optional>

#include "LibBase/time.h"

namespace query {

// Keeps the longest duration of the current window of time and of the one
// before. Not thread-safe.
class RecentDurations {
 public:
  // `now` must not go back from one call to the next.
  void Add(base::Duration duration, base::Instant now);

  // Returns nothing while there are too few durations to know a longest one.
  std::optional<base::Duration> Longest(base::Instant now);

  // Returns whether no recent duration is known.
  bool IsEmpty(base::Instant now) const;

 private:
  struct Window {
    base::Duration longest{};
    size_t count = 0;
  };

  void Advance(base::Instant now);

  base::Instant current_begin_{};
  Window current_;
  Window previous_;
};

}  // namespace query

#endif  // LIBQUERY_RECENT_DURATIONS_H_
