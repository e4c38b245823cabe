#ifndef SAVORYLB_LIB_UTC_TIME_H
#define SAVORYLB_LIB_UTC_TIME_H

#include "savorylb/units.h"

#include <optional>
#include <string>

namespace savorylb {

/// \param text UTC as `2026-12-04T09:00:00Z`.
/// \returns the time, or nothing when the text is not one.
std::optional<WallTime> parseUtcTime(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_LIB_UTC_TIME_H
