// Callers' HTTP requests and answers.

#ifndef LIBQUERY_CALLER_CODEC_H_
#define LIBQUERY_CALLER_CODEC_H_

#include "LibBase/error.h"
#include "LibHttp/message.h"
#include "LibQuery/request_context.h"

namespace query {

std::string_view OutcomeName(Outcome outcome);

base::Result<CallerRequest> ParseCallerRequest(const http::Request& request);

// `context` may lack what filters set if the request never reached them.
http::Response ToResponse(const RequestContext& context,
                          const CallerAnswer& answer);

http::Response ToErrorResponse(const base::Error& error);

}  // namespace query

#endif  // LIBQUERY_CALLER_CODEC_H_
