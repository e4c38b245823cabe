#ifndef SAVORYLB_LIBSAVORYLB_JSON_OBJECT_H
#define SAVORYLB_LIBSAVORYLB_JSON_OBJECT_H

#include "savorylb/error.h"

#include <json/json.h>
#include <string>

namespace savorylb {

/// Parses a stored document strictly: duplicate keys and text after the end are
/// errors.
/// \returns the root object, or an error that describes the first problem.
Result<Json::Value> readJsonObject(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYLB_JSON_OBJECT_H
