#include "store_mirror.h"

#include "json_read.h"

namespace savorylb {
namespace {

/// Removals kept for VMs that follow; some minutes of a large fleet.
constexpr std::size_t MaxRemovals = 512;

} // namespace

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
    if (it.Removed) {
      mirror.Items.erase(known);
      mirror.Removals.push_back(it);
      if (mirror.Removals.size() > MaxRemovals) {
        mirror.RemovalsSince = mirror.Removals.front().Changed;
        mirror.Removals.pop_front();
      }
    } else {
      mirror.Items[it.Key] = it;
    }
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

MirrorNews newsAfter(const StoreMirror &mirror, Revision after) {
  MirrorNews news;
  news.Page.Read = mirror.Known;
  news.Whole = after < mirror.RemovalsSince;
  for (const auto &[key, item] : mirror.Items)
    if (news.Whole || item.Changed > after)
      news.Page.Items.push_back(item);
  if (!news.Whole)
    for (const StoreItem &it : mirror.Removals)
      if (it.Changed > after && !mirror.Items.count(it.Key))
        news.Page.Items.push_back(it);
  return news;
}

std::string writeNews(const MirrorNews &news) {
  Json::Value value;
  value["known"] = static_cast<Json::Int64>(news.Page.Read.Value);
  value["whole"] = news.Whole;
  value["stale"] = news.Stale;
  value["items"] = Json::arrayValue;
  for (const StoreItem &item : news.Page.Items) {
    Json::Value row;
    row["key"] = item.Key;
    row["changed"] = static_cast<Json::Int64>(item.Changed.Value);
    if (item.Removed)
      row["removed"] = true;
    else
      row["value"] = item.Value;
    value["items"].append(row);
  }
  return platform::writeJson(value);
}

Result<MirrorNews> readNews(const std::string &text) {
  auto value = platform::readObject(text);
  if (!value || !platform::integerIn(*value, "known"))
    return failure(ErrorCode::Malformed, "the news are no JSON object");
  auto flag = [](const Json::Value &in, const char *name) {
    return platform::member(in, name).isBool() &&
           platform::member(in, name).asBool();
  };
  MirrorNews news;
  news.Page.Read = Revision(*platform::integerIn(*value, "known"));
  news.Whole = flag(*value, "whole");
  news.Stale = flag(*value, "stale");
  for (const Json::Value &row : platform::member(*value, "items")) {
    StoreItem item;
    item.Key = platform::textIn(row, "key").value_or("");
    item.Value = platform::textIn(row, "value").value_or("");
    item.Changed = Revision(platform::integerIn(row, "changed").value_or(0));
    item.Removed = flag(row, "removed");
    news.Page.Items.push_back(item);
  }
  return news;
}

} // namespace savorylb
