// The filter of a stopping node's requests.

#ifndef LIBQUERY_DRAIN_FILTER_H_
#define LIBQUERY_DRAIN_FILTER_H_

#include "LibQuery/forward_filters.h"
#include "LibQuery/request_drain.h"

namespace query {

// Refuses requests that the drain doesn't take, and lets it cancel the others.
// Needs the route and the deadline.
class DrainFilter final : public ForwardFilter {
 public:
  // `drain` outlives the filter.
  explicit DrainFilter(RequestDrain& drain) : drain_(drain) {}
  void Handle(ForwardContextPtr context, Next next) override;

 private:
  RequestDrain& drain_;
};

}  // namespace query

#endif  // LIBQUERY_DRAIN_FILTER_H_
