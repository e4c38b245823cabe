#ifndef SAVORYLB_LIB_JSON_SOURCE_H
#define SAVORYLB_LIB_JSON_SOURCE_H

#include "savorylb/finding.h"

#include <cstddef>
#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace savorylb {

/// A JSON text and the list that receives its findings.
struct JsonSource {
  std::string File;
  /// Offset of the first character of each line, in increasing order.
  std::vector<std::ptrdiff_t> LineStarts;
  Findings *Found = nullptr;
};

/// \returns a source for a text; findings must outlive it.
JsonSource makeJsonSource(const std::string &file, const std::string &text,
                          Findings &findings);

/// Parses JSON with comments. A syntax error or a duplicate field causes a
/// finding.
/// \returns the value, or nothing after a finding.
std::optional<Json::Value> parseJson(const JsonSource &source,
                                     const std::string &text);

/// \returns the line on which a parsed value starts, counted from 1.
int lineOf(const JsonSource &source, const Json::Value &value);

/// Records a finding at a parsed value.
void addFinding(const JsonSource &source, const Json::Value &at,
                const std::string &path, const std::string &message);

} // namespace savorylb

#endif // SAVORYLB_LIB_JSON_SOURCE_H
