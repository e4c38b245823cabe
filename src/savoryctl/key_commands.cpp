#include "key_commands.h"

#include "document_edit.h"
#include "json_text.h"
#include "store_keys.h"
#include "store_write.h"

#include "savorylb/config.h"
#include "savorylb/key_ring.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <algorithm>

namespace savorylb {

namespace {

// Edits a key ring and sets `changed` if it needs to be written. The result has
// a message on success and on errors.
using KeyRingEditFunction =
    std::function<EditResult(KeyRing &ring, bool &changed)>;

EditResult applyKeyRingEdit(const std::string &current, Revision next,
                            const KeyRingEditFunction &edit) {
  KeyRing ring;
  if (!current.empty()) {
    Result<KeyRing> parsed = parseKeyRing(current);
    if (!parsed)
      return {ExitCode::Usage,
              "invalid keys in the store: " + parsed.error().Message,
              {}};
    ring = parsed.value();
  }
  bool changed = false;
  EditResult result = edit(ring, changed);
  if (result.Code != ExitCode::Ok || !changed)
    return result;
  ring.Rev = next;
  result.NewContent = formatKeyRing(ring);
  return result;
}

CommandResult editKeyRing(const ToolContext &context,
                          const std::vector<std::string> &daemons,
                          const KeyRingEditFunction &edit) {
  return editDocument(context, KeyRingKey, daemons,
                      [&edit](const std::string &current, Revision next) {
                        return applyKeyRingEdit(current, next, edit);
                      });
}

// Adds an entry. Labels and keys are unique. An existing entry equal to the new
// one is the result of an earlier attempt of the same grant; any other entry
// with the same label or key is a conflict.
EditResult addEntry(KeyRing &ring, const KeyEntry &entry, bool &changed) {
  for (const KeyEntry &it : ring.Entries) {
    if (it.Label != entry.Label && it.Digest != entry.Digest)
      continue;
    bool same = it.Label == entry.Label && it.Digest == entry.Digest &&
                it.Team == entry.Team && !it.Revoked;
    if (!same)
      return {ExitCode::Conflict,
              it.Label == entry.Label
                  ? "label \"" + entry.Label + "\" is in use" +
                        (it.Revoked ? " by a withdrawn key" : "")
                  : "the key of \"" + entry.Label +
                        "\" is already granted "
                        "under another label",
              {}};
    return {ExitCode::Ok, "key \"" + entry.Label + "\" is in force", {}};
  }
  ring.Entries.push_back(entry);
  changed = true;
  return {ExitCode::Ok, "key \"" + entry.Label + "\" is in force", {}};
}

// \returns an error if the store cannot be read, or if it holds a valid
// configuration without the team.
std::optional<CommandResult> checkTeam(const ToolContext &context,
                                       const std::string &team) {
  Result<StoreValue> value = readDocument(context, ConfigKey);
  if (!value)
    return makeResult(ExitCode::Unavailable,
                      "not granted: " + value.error().Message);
  Findings findings;
  Config config = parseConfig(ConfigKey, value.value().Content, findings);
  if (value.value().Content.empty() || !findings.empty() ||
      findTeam(config, TeamId(team)))
    return std::nullopt;
  return makeResult(ExitCode::NotFound, "no team \"" + team + "\"");
}

} // namespace

std::string digestOfKey(const std::string &key) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(key);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

CommandResult grantKey(const ToolContext &context, const std::string &team,
                       const std::string &label,
                       const std::vector<std::string> &daemons) {
  if (team.empty() || label.empty())
    return makeResult(ExitCode::Usage, "team and label must not be empty");
  if (std::optional<CommandResult> missing = checkTeam(context, team))
    return *missing;
  std::string key = context.RandomHex();
  if (key.size() < 64)
    return makeResult(ExitCode::Usage, "the system's random source failed");
  KeyEntry entry{digestOfKey(key), TeamId(team), label, false};
  CommandResult out =
      editKeyRing(context, daemons, [&entry](KeyRing &ring, bool &changed) {
        return addEntry(ring, entry, changed);
      });
  if (out.Code == ExitCode::Ok) {
    out.Data["key"] = key;
    out.Text += key + "\n";
  } else if (out.Code == ExitCode::Unknown) {
    addWarning(out,
               "withdraw label \"" + label +
                   "\" before you grant it again; its key was not printed");
  }
  return out;
}

CommandResult importKeys(const ToolContext &context, const std::string &file,
                         const std::string &text,
                         const std::vector<std::string> &daemons) {
  Result<Json::Value> list = parseJsonText(text);
  if (!list || !list.value().isArray())
    return makeResult(ExitCode::Usage, file + ": expected a list of keys");
  std::vector<KeyEntry> entries;
  for (const Json::Value &it : list.value()) {
    for (const char *name : {"team", "label", "key"})
      if (!it.isObject() || !it[name].isString() || it[name].asString().empty())
        return makeResult(ExitCode::Usage, file + ": key " +
                                               std::to_string(entries.size()) +
                                               " has no " + name);
    entries.push_back({digestOfKey(it["key"].asString()),
                       TeamId(it["team"].asString()), it["label"].asString(),
                       false});
  }
  return editKeyRing(context, daemons,
                     [&entries](KeyRing &ring, bool &changed) -> EditResult {
                       for (const KeyEntry &entry : entries) {
                         EditResult result = addEntry(ring, entry, changed);
                         if (result.Code != ExitCode::Ok)
                           return result;
                       }
                       return {ExitCode::Ok,
                               std::to_string(entries.size()) + " keys are in "
                                                                "force",
                               {}};
                     });
}

CommandResult withdrawKey(const ToolContext &context, const std::string &label,
                          const std::vector<std::string> &daemons) {
  return editKeyRing(
      context, daemons, [&label](KeyRing &ring, bool &changed) -> EditResult {
        bool found = false;
        for (KeyEntry &it : ring.Entries) {
          if (it.Label != label)
            continue;
          found = true;
          changed = changed || !it.Revoked;
          it.Revoked = true;
        }
        if (!found)
          return {ExitCode::NotFound, "no key \"" + label + "\"", {}};
        return {ExitCode::Ok, "key \"" + label + "\" is withdrawn", {}};
      });
}

CommandResult listKeys(const ToolContext &context) {
  Result<StoreValue> value = readDocument(context, KeyRingKey);
  if (!value)
    return makeResult(ExitCode::Unavailable, value.error().Message);
  KeyRing ring;
  if (!value.value().Content.empty()) {
    Result<KeyRing> parsed = parseKeyRing(value.value().Content);
    if (!parsed)
      return makeResult(ExitCode::Usage, parsed.error().Message);
    ring = parsed.value();
  }
  CommandResult out;
  out.Data["revision"] = Json::Int64(ring.Rev.Value);
  out.Data["keys"] = Json::Value(Json::arrayValue);
  for (const KeyEntry &it : ring.Entries) {
    Json::Value entry;
    entry["label"] = it.Label;
    entry["team"] = it.Team.Value;
    entry["state"] = it.Revoked ? "withdrawn" : "in force";
    // The first digits of the digest suffice to compare two listings by eye.
    entry["digest"] = it.Digest.substr(0, 12);
    out.Text += it.Label + "  " + it.Team.Value + "  " +
                entry["state"].asString() + "  " + entry["digest"].asString() +
                "\n";
    out.Data["keys"].append(entry);
  }
  if (ring.Entries.empty())
    out.Text = "no keys\n";
  return out;
}

} // namespace savorylb
