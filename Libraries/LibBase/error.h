// Errors with a kind, a message that says what is wrong, and a remedy that says
// what the reader can do about it.

#ifndef LIBBASE_ERROR_H_
#define LIBBASE_ERROR_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace base {

enum class ErrorKind {
  kInvalidInput,
  kUnauthorized,
  kNotFound,
  kLimitExceeded,
  kOverloaded,
  kTimeout,
  kUnavailable,
  kConflict,
  kCancelled,
  kProtocol,
  kInternal,
};

// Returns the name of `kind` as it appears in answers and logs.
std::string_view ErrorKindName(ErrorKind kind);

class Error {
 public:
  Error(ErrorKind kind, std::string message, std::string remedy)
      : kind_(kind), message_(std::move(message)), remedy_(std::move(remedy)) {}

  ErrorKind kind() const { return kind_; }
  const std::string& message() const { return message_; }
  const std::string& remedy() const { return remedy_; }
  // Returns the error as one line: kind, message and remedy.
  std::string ToString() const;

  bool operator==(const Error&) const = default;

 private:
  ErrorKind kind_;
  std::string message_;
  std::string remedy_;
};

// A value, or the error that explains why there is none.
template <typename T>
using Result = tl::expected<T, Error>;

// Returns an error that converts to a failed Result of any type.
inline tl::unexpected<Error> Fail(ErrorKind kind,
                                  std::string message,
                                  std::string remedy) {
  return tl::make_unexpected(
      Error(kind, std::move(message), std::move(remedy)));
}

}  // namespace base

// Evaluates to the value of a Result. If the Result holds an error, returns
// that error from the enclosing function instead.
#define TRY(expression)                                          \
  ({                                                             \
    auto try_result = (expression);                              \
    if (!try_result)                                             \
      return tl::make_unexpected(std::move(try_result).error()); \
    std::move(try_result).value();                               \
  })

// Does the same as TRY for a Result without a value.
#define TRY_VOID(expression)                                     \
  do {                                                           \
    auto try_result = (expression);                              \
    if (!try_result)                                             \
      return tl::make_unexpected(std::move(try_result).error()); \
  } while (false)

#endif  // LIBBASE_ERROR_H_
