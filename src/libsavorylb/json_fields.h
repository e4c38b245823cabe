#ifndef SAVORYLB_LIB_JSON_FIELDS_H
#define SAVORYLB_LIB_JSON_FIELDS_H

#include "json_source.h"
#include "need.h"
#include "savorylb/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace savorylb {

/// Reads the fields of a JSON object and records findings about them.
///
/// Each field that is read counts as known; reportUnknownFields() reports the
/// others.
class JsonFields {
public:
  /// \param source receives the findings; must outlive this object.
  /// \param value the object, which must outlive this object; a value of
  /// another type causes a finding. \param path path of the object, empty for
  /// the whole document.
  JsonFields(const JsonSource &source, const Json::Value &value,
             std::string path);

  /// \returns the value of a field, or null if it is absent; the absence of a
  /// required field causes a finding.
  const Json::Value *find(const std::string &name, Need need);
  /// Reads a string of at most 1024 bytes.
  std::string text(const std::string &name, Need need,
                   const std::string &fallback = "");
  /// Reads a name: 1 to 64 letters, digits, `.`, `_` or `-`.
  std::string name(const std::string &name, Need need);
  /// Reads a list of distinct names.
  std::vector<std::string> names(const std::string &name, Need need);
  /// Reads an integer from min to max.
  std::int64_t integer(const std::string &name, Need need,
                       std::int64_t fallback, std::int64_t min,
                       std::int64_t max);
  /// Reads a number of milliseconds with a precision of a microsecond.
  Duration millis(const std::string &name, Need need, Duration fallback,
                  Duration min, Duration max);
  /// Reads a percentage above 0 and up to 100.
  Ppm percent(const std::string &name, Need need, Ppm fallback);
  /// Reads a boolean.
  bool flag(const std::string &name, bool fallback);
  /// Reads UTC such as `2026-12-04T09:00:00Z`, or milliseconds since the epoch.
  WallTime time(const std::string &name, Need need);
  /// \returns the list, or null if it is absent or of another type.
  const Json::Value *list(const std::string &name, Need need);
  /// \returns the object, or null if it is absent or of another type.
  const Json::Value *object(const std::string &name, Need need);

  /// Records a finding at a field, or at the object if the field is absent.
  void report(const std::string &field, const std::string &message);
  /// \returns the path of a field.
  std::string pathOf(const std::string &field) const;
  /// \returns the path of an element of a list field.
  std::string pathOf(const std::string &field, Json::ArrayIndex index) const;
  /// Reports fields that were not read, with the nearest known name.
  void reportUnknownFields();

  const JsonSource &source() const { return Source; }
  const Json::Value &value() const { return Value; }
  const std::string &path() const { return Path; }

private:
  const JsonSource &Source;
  const Json::Value &Value;
  std::string Path;
  std::vector<std::string> Known;
};

/// Reads a name and records a finding if it is not valid.
/// \returns the name, empty after a finding.
std::string readName(const JsonSource &source, const Json::Value &value,
                     const std::string &path);
/// Reads a number of milliseconds from min to max.
/// \returns the time, or min after a finding.
Duration readMillis(const JsonSource &source, const Json::Value &value,
                    const std::string &path, Duration min, Duration max);
/// Reads a percentage above 0 and up to 100.
/// \returns the share, or 100% after a finding.
Ppm readPercent(const JsonSource &source, const Json::Value &value,
                const std::string &path);

/// \returns a description such as "found a list", for messages.
std::string describeFound(const Json::Value &value);
/// \returns `; did you mean "x"?` with the nearest known name, or an empty
/// string.
std::string suggestName(const std::string &name,
                        const std::vector<std::string> &known);

} // namespace savorylb

#endif // SAVORYLB_LIB_JSON_FIELDS_H
