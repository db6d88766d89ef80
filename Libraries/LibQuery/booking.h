// Values of non-idempotent requests.

#ifndef LIBQUERY_BOOKING_H_
#define LIBQUERY_BOOKING_H_

#include <string>
#include <string_view>

#include "LibBase/error.h"
#include "LibBase/time.h"

namespace query {

struct Booking {
  std::string party;
  std::string upstream;
  std::string key;   // Chooses the shard.
  std::string body;  // Passed on to the server as it is.

  bool operator==(const Booking&) const = default;
};

enum class BookingStatus {
  kAnswered,
  kNotRun,   // Proved: no server has run it, nor will.
  kUnknown,  // May have run, or may still run.
};

std::string_view BookingStatusName(BookingStatus status);

struct BookingOutcome {
  BookingStatus status = BookingStatus::kUnknown;
  std::string answer;  // Of the server, for kAnswered.
  base::Error error{base::ErrorKind::kInternal, "", ""};  // Otherwise.

  static BookingOutcome Answered(std::string answer);
  static BookingOutcome NotRun(base::Error error);
  static BookingOutcome Unknown(base::Error error);
  bool operator==(const BookingOutcome&) const = default;
};

}  // namespace query

#endif  // LIBQUERY_BOOKING_H_
