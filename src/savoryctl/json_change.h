#ifndef SAVORYCTL_JSON_CHANGE_H
#define SAVORYCTL_JSON_CHANGE_H

#include <json/value.h>
#include <optional>
#include <string>

namespace savorylb {

/// One difference between two JSON documents.
struct JsonChange {
  /// Path such as `services[tiles].max_time_ms`.
  std::string Path;
  /// Nothing if the value was added.
  std::optional<Json::Value> Before;
  /// Nothing if the value was removed.
  std::optional<Json::Value> After;
};

/// \returns one line: `+ path: value`, `- path: value` or
/// `~ path: old -> new`.
std::string formatChange(const JsonChange &change);
/// \returns an object with `path`, `before` and `after`.
Json::Value changeToJson(const JsonChange &change);

} // namespace savorylb

#endif // SAVORYCTL_JSON_CHANGE_H
