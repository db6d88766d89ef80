// Connects requests of callers to the node's drain.

#include "LibQuery/drain_filter.h"

#include <utility>

namespace query {

void DrainFilter::Handle(ForwardContextPtr context, Next next) {
  if (!context->cancellation)
    context->cancellation = std::make_shared<http::Cancellation>();
  const auto id = drain_.TryTake(
      context->route->name, context->deadline,
      [cancellation = context->cancellation] { cancellation->Cancel(); });
  if (!id) {
    ForwardAnswer refusal = ForwardAnswer::Failed(
        ForwardOutcome::kNotRun,
        base::Error(base::ErrorKind::kUnavailable,
                    "this node stops before the request would end",
                    "send it to another node"));
    refusal.retry_after = base::Duration::zero();
    context->respond(std::move(refusal));
    return;
  }
  context->respond = [this, id = *id, respond = std::move(context->respond)](
                         ForwardAnswer answer) {
    drain_.OnEnded(id);
    respond(std::move(answer));
  };
  next(std::move(context));
}

}  // namespace query
