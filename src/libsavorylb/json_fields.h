#ifndef SAVORYLB_LIB_JSON_FIELDS_H
#define SAVORYLB_LIB_JSON_FIELDS_H

#include "json_source.h"
#include "need.h"
#include "savorylb/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savorylb {

/// Reads the fields of one JSON object and collects what is wrong with them.
///
/// Each field asked for counts as known; finish() reports all others.
class JsonFields {
public:
  /// \param source where findings go; must outlive this object.
  /// \param value the object; any other type is a finding.
  /// \param path path of the object, empty for the whole document.
  JsonFields(const JsonSource &source, const Json::Value &value,
             std::string path);

  /// \returns the field's value, or null after a finding if it is required.
  const Json::Value *find(const std::string &name, Need need);
  /// Text of at most 1024 bytes.
  std::string text(const std::string &name, Need need,
                   const std::string &fallback = "");
  /// A name: letters, digits, `.`, `_` and `-`, at most 64 of them.
  std::string name(const std::string &name, Need need);
  /// A list of distinct names.
  std::vector<std::string> names(const std::string &name, Need need);
  std::int64_t integer(const std::string &name, Need need,
                       std::int64_t fallback, std::int64_t min,
                       std::int64_t max);
  /// Milliseconds; fractions are kept to a microsecond.
  Duration millis(const std::string &name, Need need, Duration fallback,
                  Duration min, Duration max);
  /// A percentage above 0 and up to 100.
  Ppm percent(const std::string &name, Need need, Ppm fallback);
  bool flag(const std::string &name, bool fallback);
  /// UTC as `2026-12-04T09:00:00Z`, or milliseconds since the epoch.
  WallTime time(const std::string &name, Need need);
  /// \returns the list, or null.
  const Json::Value *list(const std::string &name, Need need);
  /// \returns the object, or null.
  const Json::Value *object(const std::string &name, Need need);

  /// Records a finding at a field, or at the object when it is absent.
  void report(const std::string &field, const std::string &message);
  /// \returns the path of a field.
  std::string pathOf(const std::string &field) const;
  /// \returns the path of an element of a list field.
  std::string pathOf(const std::string &field, Json::ArrayIndex index) const;
  /// Reports fields that nobody asked for, with the nearest known name.
  void finish();

  const JsonSource &source() const { return Source; }
  const Json::Value &value() const { return Value; }
  const std::string &path() const { return Path; }

private:
  const JsonSource &Source;
  const Json::Value &Value;
  std::string Path;
  std::vector<std::string> Known;
};

/// Checks a name and records a finding when it is not one.
/// \returns the name, empty after a finding.
std::string readName(const JsonSource &source, const Json::Value &value,
                     const std::string &path);
/// Checks a number of milliseconds.
Duration readMillis(const JsonSource &source, const Json::Value &value,
                    const std::string &path, Duration min, Duration max);
/// Checks a percentage above 0 and up to 100.
Ppm readPercent(const JsonSource &source, const Json::Value &value,
                const std::string &path);

/// \returns "found a string" and the like, for messages.
std::string foundType(const Json::Value &value);
/// \returns `; did you mean "x"?` for the nearest known name, or nothing.
std::string suggestName(const std::string &name,
                        const std::vector<std::string> &known);

} // namespace savorylb

#endif // SAVORYLB_LIB_JSON_FIELDS_H
