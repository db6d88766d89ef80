// HTTP requests and responses as plain values, without Beast types.

#ifndef LIBHTTP_MESSAGE_H_
#define LIBHTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibBase/time.h"

namespace http {

// One header field.
struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

// Returns the value of the first header named `name`, compared without regard
// to case, or an empty string if there is none.
std::string_view FindHeader(const Headers& headers, std::string_view name);

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  // For a received request: the estimated time by which the client waits longer
  // than the server works, because opening the connection, the request and the
  // response take time on the network.
  base::Duration transit{};

  bool operator==(const Request&) const = default;
};

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusPayloadTooLarge = 413;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusInternalError = 500;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

// Whether the connection stays open after a response.
enum class Persistence { kKeepAlive, kClose };

struct Response {
  int status = kStatusOk;
  // Empty if the type is in `headers` or the response has none.
  std::string content_type = "application/json";
  std::string body;
  Headers headers;
  Persistence persistence = Persistence::kKeepAlive;

  bool operator==(const Response&) const = default;
};

// Returns the value of the parameter `name` in the query part of `target`, or
// an empty string if there is none. Percent-encoded characters aren't decoded.
std::string QueryParameter(std::string_view target, std::string_view name);

// Returns how many headers have this name, in any case.
size_t CountHeaders(const Headers& headers, std::string_view name);

// Returns `target` without its query part.
std::string_view Path(std::string_view target);

}  // namespace http

#endif  // LIBHTTP_MESSAGE_H_
