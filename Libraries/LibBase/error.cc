// The names of error kinds as they appear in answers and logs, and the text of
// errors.

#include "LibBase/error.h"

namespace base {

std::string_view ErrorKindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidInput:
      return "invalid_input";
    case ErrorKind::kUnauthorized:
      return "unauthorized";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kLimitExceeded:
      return "limit_exceeded";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kCancelled:
      return "cancelled";
    case ErrorKind::kProtocol:
      return "protocol";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

std::string Error::ToString() const {
  return std::string(ErrorKindName(kind_)) + ": " + message_ + "; " + remedy_;
}

}  // namespace base
