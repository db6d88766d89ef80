// Prints what a soak saw and how it is judged.

#ifndef SOAK_REPORT_H_
#define SOAK_REPORT_H_

#include "observation.h"

namespace soak {

// Prints how many attempts ended in which way, and how many hosts were stopped.
void PrintSummary(const Observation& seen);

// Prints each breach of the rules. Returns whether all rules held.
bool PrintVerdict(const Observation& seen);

}  // namespace soak

#endif  // SOAK_REPORT_H_
