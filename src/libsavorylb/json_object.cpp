#include "json_object.h"

#include <memory>

namespace savorylb {

Result<Json::Value> readJsonObject(const std::string &text) {
  Json::CharReaderBuilder builder;
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors))
    return failure(ErrorCode::Malformed, "invalid JSON: " + errors);
  if (!root.isObject())
    return failure(ErrorCode::Malformed, "must be an object");
  return root;
}

} // namespace savorylb
