#include "store_mirror.h"

#include "content_coding.h"
#include "json_read.h"

#include <algorithm>

namespace savorylb {

using platform::StoreItem;
using platform::StorePage;

namespace {

/// Removals kept for followers; they cover some minutes of a large fleet.
constexpr std::size_t MaxRemovals = 512;

std::vector<StoreItem> applyPage(StoreMirror &mirror, const StorePage &page) {
  std::vector<StoreItem> applied;
  for (const StoreItem &it : page.Items) {
    auto known = mirror.Items.find(it.Key);
    if (known != mirror.Items.end() &&
        it.ModRevision <= known->second.ModRevision)
      continue;
    if (it.Removed && known == mirror.Items.end())
      continue;
    applied.push_back(it);
    mirror.ChangedAt = std::max(mirror.ChangedAt, it.ModRevision);
    if (it.Removed) {
      mirror.Items.erase(known);
      mirror.Removals.push_back(it);
      if (mirror.Removals.size() > MaxRemovals) {
        mirror.RemovalsSince = mirror.Removals.front().ModRevision;
        mirror.Removals.pop_front();
      }
    } else {
      mirror.Items[it.Key] = it;
    }
  }
  if (page.StoreRevision > mirror.KnownRevision)
    mirror.KnownRevision = page.StoreRevision;
  return applied;
}

bool needsSnapshot(const StoreMirror &mirror, StorePosition after) {
  return after < mirror.RemovalsSince || after.Era != mirror.KnownRevision.Era;
}

} // namespace

std::vector<StoreItem> applyChanges(StoreMirror &mirror,
                                    const StorePage &page) {
  if (isListed(mirror) && page.StoreRevision.Era != mirror.KnownRevision.Era)
    return {};
  return applyPage(mirror, page);
}

std::vector<StoreItem> applySnapshot(StoreMirror &mirror,
                                     const StorePage &page) {
  if (page.StoreRevision.Era < mirror.KnownRevision.Era)
    return {};
  StorePage changes = page;
  std::map<std::string, bool> listed;
  for (const StoreItem &it : page.Items)
    listed[it.Key] = true;
  for (const auto &[key, item] : mirror.Items) {
    // The list lacks documents that were written after it was read.
    if (listed.count(key) || item.ModRevision > page.StoreRevision)
      continue;
    StoreItem removal;
    removal.Key = key;
    removal.ModRevision = page.StoreRevision;
    removal.Removed = true;
    changes.Items.push_back(removal);
  }
  bool fromCopy =
      isListed(mirror) && mirror.KnownRevision.Era < page.StoreRevision.Era;
  for (StoreItem &it : changes.Items)
    it.FromCopy = fromCopy;
  std::vector<StoreItem> applied = applyPage(mirror, changes);
  // Followers that are behind the list need a snapshot: the list does not show
  // keys that were both written and removed since the previous one.
  if (page.StoreRevision >= mirror.KnownRevision) {
    mirror.RemovalsSince = page.StoreRevision;
    mirror.Removals.clear();
  }
  return applied;
}

bool hasChangesSince(const StoreMirror &mirror, StorePosition after) {
  return needsSnapshot(mirror, after) || mirror.ChangedAt > after;
}

std::optional<StorePosition> firstChangeSince(const StoreMirror &mirror,
                                              StorePosition after) {
  if (needsSnapshot(mirror, after))
    return StorePosition();
  if (!hasChangesSince(mirror, after))
    return std::nullopt;
  StorePosition first = mirror.ChangedAt;
  auto consider = [&](const StoreItem &it) {
    if (it.ModRevision > after)
      first = std::min(first, it.ModRevision);
  };
  for (const auto &[key, item] : mirror.Items)
    consider(item);
  for (const StoreItem &it : mirror.Removals)
    consider(it);
  return first;
}

MirrorUpdate updateSince(const StoreMirror &mirror, StorePosition after) {
  MirrorUpdate update;
  update.Page.StoreRevision = mirror.KnownRevision;
  update.Snapshot = needsSnapshot(mirror, after);
  for (const auto &[key, item] : mirror.Items)
    if (update.Snapshot || item.ModRevision > after)
      update.Page.Items.push_back(item);
  if (!update.Snapshot)
    for (const StoreItem &it : mirror.Removals)
      if (it.ModRevision > after && !mirror.Items.count(it.Key))
        update.Page.Items.push_back(it);
  return update;
}

std::string writePosition(StorePosition position) {
  // Earlier builds read the digits up to the first other character.
  return std::to_string(position.Number.Value) + "@" +
         std::to_string(position.Era.Value);
}

StorePosition readPosition(const std::string &text, StoreEra era) {
  std::size_t at = text.find('@');
  if (at != std::string::npos)
    era = StoreEra(std::atoll(text.c_str() + at + 1));
  return {era, Revision(std::atoll(text.c_str()))};
}

std::string writeMirrorUpdate(const MirrorUpdate &update) {
  Json::Value value;
  const StorePosition &known = update.Page.StoreRevision;
  value["known"] = static_cast<Json::Int64>(known.Number.Value);
  // All documents of a mirror are of its era.
  value["era"] = static_cast<Json::Int64>(known.Era.Value);
  value["whole"] = update.Snapshot;
  value["stale"] = update.Stale;
  value["age_us"] = static_cast<Json::Int64>(update.Age.count());
  value["items"] = Json::arrayValue;
  for (const StoreItem &item : update.Page.Items) {
    Json::Value row;
    row["key"] = item.Key;
    row["changed"] = static_cast<Json::Int64>(item.ModRevision.Number.Value);
    if (item.Removed)
      row["removed"] = true;
    else
      row["value"] = item.Value;
    value["items"].append(row);
  }
  return platform::writeJson(value);
}

Result<MirrorUpdate> readMirrorUpdate(const std::string &text) {
  auto value = platform::parseObject(text);
  if (!value || !platform::integerMember(*value, "known"))
    return failure(ErrorCode::Malformed,
                   "the mirror update is not a JSON object with a revision");
  auto flag = [](const Json::Value &in, const char *name) {
    return platform::member(in, name).isBool() &&
           platform::member(in, name).asBool();
  };
  MirrorUpdate update;
  // VMs of earlier builds send no era.
  StoreEra era(platform::integerMember(*value, "era").value_or(0));
  update.Page.StoreRevision = {
      era, Revision(*platform::integerMember(*value, "known"))};
  update.Snapshot = flag(*value, "whole");
  update.Stale = flag(*value, "stale");
  // VMs of earlier builds send no age.
  update.Age =
      std::max(Duration(0),
               Duration(platform::integerMember(*value, "age_us").value_or(0)));
  for (const Json::Value &row : platform::member(*value, "items")) {
    StoreItem item;
    item.Key = platform::stringMember(row, "key").value_or("");
    item.Value = platform::stringMember(row, "value").value_or("");
    item.ModRevision = {
        era, Revision(platform::integerMember(row, "changed").value_or(0))};
    item.Removed = flag(row, "removed");
    update.Page.Items.push_back(item);
  }
  return update;
}

Result<MirrorUpdate> readMirrorUpdate(const HttpMessage &response) {
  auto body = readBody(response);
  if (!body)
    return failure(body.error().Code, body.error().Message);
  return readMirrorUpdate(body.value());
}

} // namespace savorylb
