#include "json_fields.h"

#include "utc_time.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace savorylb {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxTextLength = 1024;

std::size_t editDistance(const std::string &a, const std::string &b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j)
    row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      std::size_t above = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1,
                         diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
      diagonal = above;
    }
  }
  return row[b.size()];
}

std::string unitSuffix(const std::string &field) {
  auto endsWith = [&field](const std::string &end) {
    return field.size() > end.size() &&
           field.compare(field.size() - end.size(), end.size(), end) == 0;
  };
  if (endsWith("_bytes") || field == "bytes_per_second")
    return " of bytes";
  return "";
}

std::string formatNumber(double value) {
  std::string out = std::to_string(value);
  out.erase(out.find_last_not_of('0') + 1);
  if (!out.empty() && out.back() == '.')
    out.pop_back();
  return out;
}

double toMillis(Duration time) {
  return static_cast<double>(time.count()) / 1000.0;
}

} // namespace

std::string describeFound(const Json::Value &value) {
  switch (value.type()) {
  case Json::nullValue:
    return "found null";
  case Json::intValue:
  case Json::uintValue:
  case Json::realValue:
    return "found the number " + value.asString();
  case Json::stringValue:
    return "found the string \"" + value.asString().substr(0, 64) + "\"";
  case Json::booleanValue:
    return value.asBool() ? "found true" : "found false";
  case Json::arrayValue:
    return "found a list";
  case Json::objectValue:
    return "found an object";
  }
  return "found another type";
}

std::string suggestName(const std::string &name,
                        const std::vector<std::string> &known) {
  // Longer names are not compared, since the cost is quadratic.
  if (name.size() > MaxNameLength)
    return "";
  const std::string *best = nullptr;
  std::size_t least = 0;
  for (const std::string &it : known) {
    std::size_t distance = editDistance(name, it);
    if (!best || distance < least) {
      best = &it;
      least = distance;
    }
  }
  // With a limit of a third of the longer name, `max_time` still finds
  // `max_time_ms`, and unrelated names are not suggested.
  if (!best ||
      least > std::max<std::size_t>(2, std::max(name.size(), best->size()) / 3))
    return "";
  return "; did you mean \"" + *best + "\"?";
}

std::string readName(const JsonSource &source, const Json::Value &value,
                     const std::string &path) {
  if (!value.isString()) {
    addFinding(source, value, path, "expected a name, " + describeFound(value));
    return "";
  }
  std::string out = value.asString();
  bool good = !out.empty() && out.size() <= MaxNameLength &&
              std::all_of(out.begin(), out.end(), [](char c) {
                return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '.' || c == '_' ||
                       c == '-';
              });
  if (good)
    return out;
  addFinding(source, value, path,
             "expected a name of 1 to 64 letters, digits, '.', '_' or '-', " +
                 describeFound(value));
  return "";
}

Duration readMillis(const JsonSource &source, const Json::Value &value,
                    const std::string &path, Duration min, Duration max) {
  if (!value.isNumeric()) {
    addFinding(source, value, path,
               "expected a number of milliseconds, " + describeFound(value));
    return min;
  }
  double millis = value.asDouble();
  if (!(millis >= toMillis(min) && millis <= toMillis(max))) {
    addFinding(source, value, path,
               "expected " + formatNumber(toMillis(min)) + " to " +
                   formatNumber(toMillis(max)) + " milliseconds, " +
                   describeFound(value));
    return min;
  }
  return Duration(std::llround(millis * 1000.0));
}

Ppm readPercent(const JsonSource &source, const Json::Value &value,
                const std::string &path) {
  double percent = value.isNumeric() ? value.asDouble() : 0;
  // The smallest share that parts per million can hold is 0.0001%.
  if (percent >= 0.0001 && percent <= 100)
    return Ppm(std::llround(percent * 10'000));
  addFinding(source, value, path,
             "expected a percentage above 0 and up to 100, " +
                 describeFound(value));
  return WholePpm;
}

JsonFields::JsonFields(const JsonSource &source, const Json::Value &value,
                       std::string path)
    : Source(source), Value(value), Path(std::move(path)) {
  if (!Value.isObject())
    addFinding(Source, Value, Path,
               "expected an object, " + describeFound(Value));
}

std::string JsonFields::pathOf(const std::string &field) const {
  return Path.empty() ? field : Path + "." + field;
}

std::string JsonFields::pathOf(const std::string &field,
                               Json::ArrayIndex index) const {
  return pathOf(field) + "[" + std::to_string(index) + "]";
}

const Json::Value *JsonFields::find(const std::string &name, Need need) {
  Known.push_back(name);
  if (!Value.isObject())
    return nullptr;
  const Json::Value *out = Value.find(name.data(), name.data() + name.size());
  if (!out && need == Need::Required)
    addFinding(Source, Value, pathOf(name), "required field is missing");
  return out;
}

std::string JsonFields::text(const std::string &name, Need need,
                             const std::string &fallback) {
  const Json::Value *value = find(name, need);
  if (!value)
    return fallback;
  if (!value->isString()) {
    report(name, "expected a string, " + describeFound(*value));
    return fallback;
  }
  std::string out = value->asString();
  if (out.size() > MaxTextLength)
    report(name, "longer than 1024 bytes");
  if (out.empty() && need == Need::Required)
    report(name, "must not be empty");
  return out;
}

std::string JsonFields::name(const std::string &name, Need need) {
  const Json::Value *value = find(name, need);
  return value ? readName(Source, *value, pathOf(name)) : "";
}

std::vector<std::string> JsonFields::names(const std::string &name, Need need) {
  std::vector<std::string> out;
  std::set<std::string> seen;
  const Json::Value *value = list(name, need);
  for (Json::ArrayIndex i = 0; value && i < value->size(); ++i) {
    const Json::Value &it = (*value)[i];
    std::string text = readName(Source, it, pathOf(name, i));
    if (!text.empty() && !seen.insert(text).second)
      addFinding(Source, it, pathOf(name, i), "\"" + text + "\" is repeated");
    out.push_back(std::move(text));
  }
  if (value && value->empty() && need == Need::Required)
    report(name, "must not be empty");
  return out;
}

std::int64_t JsonFields::integer(const std::string &name, Need need,
                                 std::int64_t fallback, std::int64_t min,
                                 std::int64_t max) {
  const Json::Value *value = find(name, need);
  if (!value)
    return fallback;
  // isInt64() also accepts integral reals, and rejects booleans.
  if (!value->isInt64()) {
    report(name, "expected a whole number" + unitSuffix(name) + ", " +
                     describeFound(*value));
    return fallback;
  }
  std::int64_t out = value->asInt64();
  if (out >= min && out <= max)
    return out;
  report(name, "expected " + std::to_string(min) + " to " +
                   std::to_string(max) + unitSuffix(name) + ", " +
                   describeFound(*value));
  return fallback;
}

Duration JsonFields::millis(const std::string &name, Need need,
                            Duration fallback, Duration min, Duration max) {
  const Json::Value *value = find(name, need);
  return value ? readMillis(Source, *value, pathOf(name), min, max) : fallback;
}

Ppm JsonFields::percent(const std::string &name, Need need, Ppm fallback) {
  const Json::Value *value = find(name, need);
  return value ? readPercent(Source, *value, pathOf(name)) : fallback;
}

bool JsonFields::flag(const std::string &name, bool fallback) {
  const Json::Value *value = find(name, Need::Optional);
  if (!value)
    return fallback;
  if (value->isBool())
    return value->asBool();
  report(name, "expected true or false, " + describeFound(*value));
  return fallback;
}

WallTime JsonFields::time(const std::string &name, Need need) {
  const Json::Value *value = find(name, need);
  if (!value)
    return WallTime{};
  if (value->isInt64() && value->asInt64() >= 0)
    return WallTime(Millis(value->asInt64()));
  std::optional<WallTime> out;
  if (value->isString())
    out = parseUtcTime(value->asString());
  if (out)
    return *out;
  report(name, "expected a time such as \"2026-12-04T09:00:00Z\" or "
               "milliseconds since the epoch, " +
                   describeFound(*value));
  return WallTime{};
}

const Json::Value *JsonFields::list(const std::string &name, Need need) {
  const Json::Value *value = find(name, need);
  if (!value || value->isArray())
    return value;
  report(name, "expected a list, " + describeFound(*value));
  return nullptr;
}

const Json::Value *JsonFields::object(const std::string &name, Need need) {
  const Json::Value *value = find(name, need);
  if (!value || value->isObject())
    return value;
  report(name, "expected an object, " + describeFound(*value));
  return nullptr;
}

void JsonFields::report(const std::string &field, const std::string &message) {
  const Json::Value *at =
      Value.isObject() ? Value.find(field.data(), field.data() + field.size())
                       : nullptr;
  addFinding(Source, at ? *at : Value, pathOf(field), message);
}

void JsonFields::reportUnknownFields() {
  if (!Value.isObject())
    return;
  for (auto it = Value.begin(); it != Value.end(); ++it) {
    std::string name = it.name();
    if (std::find(Known.begin(), Known.end(), name) == Known.end())
      addFinding(Source, *it, pathOf(name),
                 "unknown field" + suggestName(name, Known));
  }
}

} // namespace savorylb
