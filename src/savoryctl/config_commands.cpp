#include "config_commands.h"

#include "daemon_status.h"
#include "history.h"
#include "json_diff.h"
#include "json_text.h"
#include "store_keys.h"
#include "store_write.h"

#include "savorylb/config.h"

#include <algorithm>

namespace savorylb {

namespace {

Json::Value withoutRevision(const std::string &text) {
  Result<Json::Value> value = parseJsonText(text);
  if (!value || !value.value().isObject())
    return Json::Value(Json::objectValue);
  value.value().removeMember("revision");
  return value.value();
}

// The document to store: without comments, which daemons and savoryctl would
// drop when they rewrite it, and with the given revision.
std::string withRevision(Json::Value document, Revision rev) {
  document["revision"] = Json::Int64(rev.Value);
  return writeCompact(document);
}

CommandResult conflictResult(Revision storedRevision,
                             const std::string &message) {
  CommandResult out = makeResult(ExitCode::Conflict, message);
  out.Data["store_revision"] = Json::Int64(storedRevision.Value);
  return out;
}

CommandResult writeFailure(const WriteReport &report, Revision rev) {
  switch (report.Outcome) {
  case WriteOutcome::Conflict:
    return conflictResult(
        report.StoredRevision,
        "conflict: not applied, another change was written first; " +
            report.Message);
  case WriteOutcome::NotWritten:
    return makeResult(ExitCode::Unavailable, "not applied: " + report.Message);
  default:
    return makeResult(ExitCode::Unknown,
                      "outcome unknown for revision " +
                          std::to_string(rev.Value) + ": " + report.Message +
                          "; apply the same file again to find out");
  }
}

CommandResult appliedResult(const ToolContext &context, Revision rev,
                            bool changed) {
  CommandResult out =
      makeResult(ExitCode::Ok, (changed ? "applied revision "
                                        : "already in force as revision ") +
                                   std::to_string(rev.Value));
  out.Data["revision"] = Json::Int64(rev.Value);
  out.Data["changed"] = changed;
  if (changed && !recordHistory(context, rev))
    addWarning(out, "the history could not be written");
  return out;
}

} // namespace

CommandResult findingsResult(const Findings &findings) {
  CommandResult out;
  out.Code = ExitCode::Usage;
  out.Text = formatFindings(findings);
  out.Data["findings"] = Json::Value(Json::arrayValue);
  for (const Finding &it : findings) {
    Json::Value finding;
    finding["file"] = it.File;
    finding["line"] = it.Line;
    finding["path"] = it.Path;
    finding["message"] = it.Message;
    out.Data["findings"].append(finding);
  }
  return out;
}

CommandResult validateConfig(const std::string &file, const std::string &text) {
  Findings findings;
  parseConfig(file, text, findings);
  Result<Json::Value> document = parseJsonText(text);
  std::size_t size = document ? writeCompact(document.value()).size() : 0;
  if (size > MaxStoreValueBytes)
    findings.push_back({file, 1, "",
                        "the document has " + std::to_string(size) +
                            " bytes, the store takes at most 1000000"});
  return findings.empty() ? makeResult(ExitCode::Ok, file + ": no findings")
                          : findingsResult(findings);
}

CommandResult applyConfig(const ToolContext &context,
                          const ApplyRequest &request) {
  CommandResult valid = validateConfig(request.File, request.Text);
  if (valid.Code != ExitCode::Ok)
    return valid;
  Json::Value document = withoutRevision(request.Text);
  HighestRevision highest =
      queryHighestRevision(context, request.Daemons, ConfigKey);
  Result<StoreValue> current = readDocument(context, ConfigKey);
  if (!current)
    return makeResult(ExitCode::Unavailable,
                      "not applied: " + current.error().Message);
  const std::string &content = current.value().Content;
  Revision storedRev = revisionField(content);
  if (request.ExpectedRevision &&
      Revision(*request.ExpectedRevision) != storedRev)
    return conflictResult(storedRev, "conflict: not applied, the store holds "
                                     "revision " +
                                         std::to_string(storedRev.Value));
  // A store that was restored to an older state may hold this content in a
  // revision that daemons ignore; it is then written again with a higher one.
  if (!content.empty() && storedRev >= highest.Rev &&
      withoutRevision(content) == withoutRevision(writeCompact(document)))
    return appliedResult(context, storedRev, false);
  Revision rev = std::max(storedRev, highest.Rev) + Revision(1);
  WriteReport report =
      writeDocument(context, ConfigKey, withRevision(document, rev),
                    current.value().ModifyIndex);
  CommandResult out = report.Outcome == WriteOutcome::Applied
                          ? appliedResult(context, rev, true)
                          : writeFailure(report, rev);
  for (const std::string &it : highest.FailedDaemons)
    addWarning(out, "daemon " + it + " did not report its revisions");
  return out;
}

CommandResult diffConfig(const ToolContext &context, const std::string &file,
                         const std::string &text) {
  CommandResult valid = validateConfig(file, text);
  if (valid.Code != ExitCode::Ok)
    return valid;
  Result<StoreValue> current = readDocument(context, ConfigKey);
  if (!current)
    return makeResult(ExitCode::Unavailable, current.error().Message);
  std::vector<JsonChange> changes =
      diffJson(withoutRevision(current.value().Content), withoutRevision(text));
  CommandResult out;
  out.Data["revision"] =
      Json::Int64(revisionField(current.value().Content).Value);
  out.Data["changes"] = Json::Value(Json::arrayValue);
  for (const JsonChange &it : changes) {
    out.Data["changes"].append(changeToJson(it));
    out.Text += formatChange(it) + "\n";
  }
  if (changes.empty())
    out.Text = "no difference\n";
  return out;
}

} // namespace savorylb
