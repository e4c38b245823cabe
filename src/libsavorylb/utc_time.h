#ifndef SAVORYLB_LIB_UTC_TIME_H
#define SAVORYLB_LIB_UTC_TIME_H

#include "savorylb/units.h"

#include <optional>
#include <string>

namespace savorylb {

/// Parses UTC in the form `2026-12-04T09:00:00Z`.
/// \returns the time, or nothing if the text is not a valid time.
std::optional<WallTime> parseUtcTime(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_LIB_UTC_TIME_H
