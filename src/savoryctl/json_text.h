#ifndef SAVORYCTL_JSON_TEXT_H
#define SAVORYCTL_JSON_TEXT_H

#include "savorylb/error.h"
#include "savorylb/units.h"

#include <json/value.h>
#include <string>

namespace savorylb {

/// \returns the parsed JSON, which may contain comments, or Malformed.
Result<Json::Value> parseJsonText(const std::string &text);
/// \returns JSON on one line, with fields sorted by name.
std::string writeCompact(const Json::Value &value);
/// \returns indented JSON that ends with a newline.
std::string writePretty(const Json::Value &value);
/// \returns the `revision` field of a document, 0 if it has none.
Revision revisionField(const std::string &text);
/// \returns the time in UTC, such as `2026-12-04T09:00:00Z`.
std::string formatUtc(WallTime time);

} // namespace savorylb

#endif // SAVORYCTL_JSON_TEXT_H
