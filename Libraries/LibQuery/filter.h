// A chain of request filters. Each filter either responds to the request or
// passes it to the next filter.

#ifndef LIBQUERY_FILTER_H_
#define LIBQUERY_FILTER_H_

#include <cassert>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "LibQuery/request_context.h"

namespace query {

// One step of a chain. `Context` is the state of a request that all filters
// share.
template <typename Context>
class BasicFilter {
 public:
  using Next = std::function<void(std::shared_ptr<Context>)>;

  virtual ~BasicFilter() = default;

  // Either calls `next` once, possibly after returning, or calls
  // `context->respond`. A filter that needs the answer of a later one replaces
  // `context->respond` by a function that wraps it.
  virtual void Handle(std::shared_ptr<Context> context, Next next) = 0;
};

template <typename Context>
class BasicFilterChain {
 public:
  using Filters = std::vector<std::unique_ptr<BasicFilter<Context>>>;

  explicit BasicFilterChain(Filters filters) : filters_(std::move(filters)) {}

  // Passes the request to the first filter. The last filter must respond to
  // every request that reaches it.
  void Run(std::shared_ptr<Context> context) const {
    RunFrom(0, std::move(context));
  }

 private:
  void RunFrom(size_t index, std::shared_ptr<Context> context) const {
    assert(index < filters_.size());
    filters_[index]->Handle(std::move(context),
                            [this, index](std::shared_ptr<Context> passed) {
                              RunFrom(index + 1, std::move(passed));
                            });
  }

  const Filters filters_;
};

using Filter = BasicFilter<RequestContext>;
using FilterChain = BasicFilterChain<RequestContext>;

}  // namespace query

#endif  // LIBQUERY_FILTER_H_
