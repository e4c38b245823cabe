#ifndef SAVORYCTL_JSON_DIFF_H
#define SAVORYCTL_JSON_DIFF_H

#include "json_change.h"

#include <json/value.h>
#include <vector>

namespace savorylb {

/// Compares two documents. List elements with a `name` (or `cidr`) are
/// matched by it, so that moved elements are no change.
/// \returns the changes from the first to the second.
std::vector<JsonChange> diffJson(const Json::Value &before,
                                 const Json::Value &after);

} // namespace savorylb

#endif // SAVORYCTL_JSON_DIFF_H
