// Bookings: requests that are not idempotent and must run at most once.

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
  std::string key;   // Determines the shard.
  std::string body;  // Passed on to the server unchanged.

  bool operator==(const Booking&) const = default;
};

enum class BookingStatus {
  kAnswered,
  kNotRun,   // It is proved that no server has run or will run the booking.
  kUnknown,  // The booking may have run, or may still run.
};

std::string_view BookingStatusName(BookingStatus status);

struct BookingOutcome {
  BookingStatus status = BookingStatus::kUnknown;
  std::string answer;  // The server's answer; set for kAnswered only.
  // The reason for any other status.
  base::Error error{base::ErrorKind::kInternal, "", ""};

  static BookingOutcome Answered(std::string answer);
  static BookingOutcome NotRun(base::Error error);
  static BookingOutcome Unknown(base::Error error);
  bool operator==(const BookingOutcome&) const = default;
};

}  // namespace query

#endif  // LIBQUERY_BOOKING_H_
