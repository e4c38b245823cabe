#ifndef SAVORYCTL_JSON_TEXT_H
#define SAVORYCTL_JSON_TEXT_H

#include "savorylb/error.h"
#include "savorylb/units.h"

#include <json/value.h>
#include <string>

namespace savorylb {

/// \returns the parsed JSON, comments allowed, or Malformed.
Result<Json::Value> parseJsonText(const std::string &text);
/// \returns JSON on one line, fields in name order.
std::string writeCompact(const Json::Value &value);
/// \returns JSON for people, with a line end.
std::string writePretty(const Json::Value &value);
/// \returns the `revision` field of a document, zero without one.
Revision revisionField(const std::string &text);
/// \returns UTC as `2026-12-04T09:00:00Z`.
std::string formatUtc(WallTime time);

} // namespace savorylb

#endif // SAVORYCTL_JSON_TEXT_H
