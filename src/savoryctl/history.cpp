#include "history.h"

#include "json_text.h"
#include "store_keys.h"

#include <map>

namespace savorylb {

namespace {

// \returns the keys of the records by revision. Keys sort as text, but
// revisions must sort as numbers.
std::map<std::int64_t, std::string>
keysByRevision(const StoreListing &listing) {
  std::map<std::int64_t, std::string> out;
  for (const auto &[key, value] : listing.Values) {
    Revision rev = revisionField(value.Content);
    if (rev > Revision(0))
      out[rev.Value] = key;
  }
  return out;
}

void removeOldest(const ToolContext &context) {
  if (!context.Store.Remove)
    return;
  Result<StoreListing> listing =
      context.Store.List(HistoryPrefix, 0, Duration(0));
  if (!listing)
    return;
  std::map<std::int64_t, std::string> keys = keysByRevision(listing.value());
  while (keys.size() > MaxHistoryRecords) {
    // If this fails, a later apply removes the record.
    (void)context.Store.Remove(keys.begin()->second);
    keys.erase(keys.begin());
  }
}

} // namespace

bool recordHistory(const ToolContext &context, Revision rev) {
  Json::Value record;
  record["revision"] = Json::Int64(rev.Value);
  record["time"] = formatUtc(context.Now());
  record["operator"] = context.Operator;
  Result<void> written = context.Store.CompareAndSwap(
      HistoryPrefix + std::to_string(rev.Value), writeCompact(record), 0);
  removeOldest(context);
  return written.has_value();
}

CommandResult showHistory(const ToolContext &context) {
  Result<StoreListing> listing =
      context.Store.List(HistoryPrefix, 0, Duration(0));
  CommandResult out;
  out.Data["history"] = Json::Value(Json::arrayValue);
  if (!listing && listing.error().Code != ErrorCode::NotFound)
    return makeResult(ExitCode::Unavailable, listing.error().Message);
  StoreListing records = listing ? listing.value() : StoreListing{};
  std::map<std::int64_t, std::string> keys = keysByRevision(records);
  for (auto it = keys.rbegin();
       it != keys.rend() && out.Data["history"].size() < MaxHistoryRecords;
       ++it) {
    Result<Json::Value> record =
        parseJsonText(records.Values[it->second].Content);
    if (!record)
      continue;
    out.Text += std::to_string(it->first) + "  " +
                record.value()["time"].asString() + "  " +
                record.value()["operator"].asString() + "\n";
    out.Data["history"].append(record.value());
  }
  if (out.Text.empty())
    out.Text = "no history\n";
  return out;
}

} // namespace savorylb
