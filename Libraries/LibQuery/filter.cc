// The filter chain.

#include "LibQuery/filter.h"

#include <cassert>
#include <utility>

namespace query {

FilterChain::FilterChain(std::vector<std::unique_ptr<Filter>> filters)
    : filters_(std::move(filters)) {}

void FilterChain::Run(ContextPtr context) const {
  RunFrom(0, std::move(context));
}

void FilterChain::RunFrom(size_t index, ContextPtr context) const {
  assert(index < filters_.size());
  filters_[index]->Handle(std::move(context), [this, index](ContextPtr passed) {
    RunFrom(index + 1, std::move(passed));
  });
}

}  // namespace query
