#ifndef SAVORYCTL_JSON_DIFF_H
#define SAVORYCTL_JSON_DIFF_H

#include "json_change.h"

#include <json/value.h>
#include <vector>

namespace savorylb {

/// Compares two JSON documents. List elements are matched by their `name` or
/// `cidr`, so that a changed order is no difference.
/// \returns the changes from the first document to the second.
std::vector<JsonChange> diffJson(const Json::Value &before,
                                 const Json::Value &after);

} // namespace savorylb

#endif // SAVORYCTL_JSON_DIFF_H
