#ifndef SAVORYLB_LIBSAVORYLB_JSON_OBJECT_H
#define SAVORYLB_LIBSAVORYLB_JSON_OBJECT_H

#include "savorylb/error.h"

#include <json/json.h>
#include <string>

namespace savorylb {

/// Reads a stored document strictly: no repeated keys, nothing after the end.
/// \param text the document.
/// \returns its root object, or what is wrong with the text.
Result<Json::Value> readJsonObject(const std::string &text);

} // namespace savorylb

#endif // SAVORYLB_LIBSAVORYLB_JSON_OBJECT_H
