// Names of booking statuses, and construction of booking outcomes.

#include "LibQuery/booking.h"

#include <utility>

namespace query {

std::string_view BookingStatusName(BookingStatus status) {
  switch (status) {
    case BookingStatus::kAnswered:
      return "answered";
    case BookingStatus::kNotRun:
      return "not_run";
    case BookingStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

BookingOutcome BookingOutcome::Answered(std::string answer) {
  BookingOutcome outcome;
  outcome.status = BookingStatus::kAnswered;
  outcome.answer = std::move(answer);
  return outcome;
}

BookingOutcome BookingOutcome::NotRun(base::Error error) {
  return {BookingStatus::kNotRun, "", std::move(error)};
}

BookingOutcome BookingOutcome::Unknown(base::Error error) {
  return {BookingStatus::kUnknown, "", std::move(error)};
}

}  // namespace query
