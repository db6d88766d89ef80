// The filter chain: each filter ends the request or passes it on.

#ifndef LIBQUERY_FILTER_H_
#define LIBQUERY_FILTER_H_

#include <functional>
#include <memory>
#include <vector>

#include "LibQuery/request_context.h"

namespace query {

class Filter {
 public:
  using Next = std::function<void(ContextPtr)>;

  virtual ~Filter() = default;

  // Calls `next` at most once, perhaps later; otherwise responds. A filter
  // that wants to see the answer wraps `respond`.
  virtual void Handle(ContextPtr context, Next next) = 0;
};

class FilterChain {
 public:
  explicit FilterChain(std::vector<std::unique_ptr<Filter>> filters);

  // The last filter responds to every request that reaches it.
  void Run(ContextPtr context) const;

 private:
  void RunFrom(size_t index, ContextPtr context) const;

  const std::vector<std::unique_ptr<Filter>> filters_;
};

}  // namespace query

#endif  // LIBQUERY_FILTER_H_
