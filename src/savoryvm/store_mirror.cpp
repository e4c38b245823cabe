#include "store_mirror.h"

#include "json_read.h"

namespace savorylb {

using platform::StoreItem;
using platform::StorePage;

std::vector<StoreItem> applyChanges(StoreMirror &mirror,
                                    const StorePage &page) {
  std::vector<StoreItem> fresh;
  for (const StoreItem &it : page.Items) {
    auto known = mirror.Items.find(it.Key);
    if (known != mirror.Items.end() && it.Changed <= known->second.Changed)
      continue;
    if (it.Removed && known == mirror.Items.end())
      continue;
    fresh.push_back(it);
    if (it.Removed)
      mirror.Items.erase(known);
    else
      mirror.Items[it.Key] = it;
  }
  if (page.Read > mirror.Known)
    mirror.Known = page.Read;
  return fresh;
}

std::vector<StoreItem> applyList(StoreMirror &mirror, const StorePage &page) {
  StorePage changes = page;
  std::map<std::string, bool> listed;
  for (const StoreItem &it : page.Items)
    listed[it.Key] = true;
  for (const auto &[key, item] : mirror.Items) {
    // A document written after the list was read is not in it.
    if (listed.count(key) || item.Changed > page.Read)
      continue;
    StoreItem removal;
    removal.Key = key;
    removal.Changed = page.Read;
    removal.Removed = true;
    changes.Items.push_back(removal);
  }
  return applyChanges(mirror, changes);
}

std::string writeMirror(const StoreMirror &mirror) {
  Json::Value value;
  value["known"] = static_cast<Json::Int64>(mirror.Known.Value);
  value["items"] = Json::arrayValue;
  for (const auto &[key, item] : mirror.Items) {
    Json::Value row;
    row["key"] = key;
    row["changed"] = static_cast<Json::Int64>(item.Changed.Value);
    row["value"] = item.Value;
    value["items"].append(row);
  }
  return platform::writeJson(value);
}

Result<StorePage> readMirror(const std::string &text) {
  auto value = platform::readObject(text);
  if (!value)
    return failure(ErrorCode::Malformed, "the mirror is no JSON object");
  StorePage page;
  page.Read = Revision(platform::integerIn(*value, "known").value_or(0));
  for (const Json::Value &row : platform::member(*value, "items")) {
    StoreItem item;
    item.Key = platform::textIn(row, "key").value_or("");
    item.Value = platform::textIn(row, "value").value_or("");
    item.Changed = Revision(platform::integerIn(row, "changed").value_or(0));
    page.Items.push_back(item);
  }
  return page;
}

} // namespace savorylb
