#ifndef SAVORYLB_STANDINS_REPORT_TABLE_H
#define SAVORYLB_STANDINS_REPORT_TABLE_H

#include <json/json.h>

#include <string>

namespace savorylb::standin {

/// \param report summary of a run.
/// \returns a text table with one row for each pair of team and service and
/// one for the totals.
std::string reportTable(const Json::Value &report);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_REPORT_TABLE_H
