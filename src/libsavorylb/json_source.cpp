#include "json_source.h"

#include <algorithm>
#include <cstdlib>
#include <json/reader.h>
#include <memory>

namespace savorylb {

namespace {

// jsoncpp reports errors as "* Line 3, Column 7\n  message\n".
Finding syntaxFinding(const std::string &file, const std::string &errors) {
  Finding out{file, 1, "", "invalid JSON"};
  const std::string mark = "Line ";
  std::size_t at = errors.find(mark);
  if (at != std::string::npos)
    out.Line =
        std::max(1, static_cast<int>(std::strtol(
                        errors.c_str() + at + mark.size(), nullptr, 10)));
  std::size_t text = errors.find("\n  ");
  if (text != std::string::npos) {
    std::size_t end = errors.find('\n', text + 1);
    out.Message += ": " + errors.substr(text + 3, end == std::string::npos
                                                      ? std::string::npos
                                                      : end - text - 3);
  }
  return out;
}

} // namespace

JsonSource makeJsonSource(const std::string &file, const std::string &text,
                          Findings &findings) {
  JsonSource out{file, {0}, &findings};
  for (std::size_t i = 0; i < text.size(); ++i)
    if (text[i] == '\n')
      out.LineStarts.push_back(static_cast<std::ptrdiff_t>(i + 1));
  return out;
}

std::optional<Json::Value> parseJson(const JsonSource &source,
                                     const std::string &text) {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["allowTrailingCommas"] = false;
  builder["stackLimit"] = 64;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &root, &errors))
      return root;
  } catch (const Json::Exception &ex) {
    // Thrown for nesting beyond the stack limit.
    errors = std::string("\n  ") + ex.what();
  }
  source.Found->push_back(syntaxFinding(source.File, errors));
  return std::nullopt;
}

int lineOf(const JsonSource &source, const Json::Value &value) {
  auto it = std::upper_bound(source.LineStarts.begin(), source.LineStarts.end(),
                             value.getOffsetStart());
  return std::max(1, static_cast<int>(it - source.LineStarts.begin()));
}

void addFinding(const JsonSource &source, const Json::Value &at,
                const std::string &path, const std::string &message) {
  source.Found->push_back(
      Finding{source.File, lineOf(source, at), path, message});
}

} // namespace savorylb
