// Parses callers' HTTP requests and writes the HTTP responses to them.

#ifndef LIBQUERY_CALLER_CODEC_H_
#define LIBQUERY_CALLER_CODEC_H_

#include "LibBase/error.h"
#include "LibHttp/message.h"
#include "LibQuery/request_context.h"

namespace query {

// Returns the name of the outcome in responses and metrics.
std::string_view OutcomeName(Outcome outcome);

base::Result<CallerRequest> ParseCallerRequest(const http::Request& request);

// Writes the response to a request that was parsed. `context` may lack the
// values that filters set, if an earlier filter ended the request.
http::Response ToResponse(const RequestContext& context,
                          const CallerAnswer& answer);

// Writes the response to a request that was refused before it had a context.
http::Response ToErrorResponse(const base::Error& error);

}  // namespace query

#endif  // LIBQUERY_CALLER_CODEC_H_
