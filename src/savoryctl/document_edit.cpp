#include "document_edit.h"

#include "daemon_status.h"
#include "json_text.h"
#include "store_write.h"

namespace savorylb {

namespace {

constexpr int MaxEditAttempts = 5;

CommandResult successResult(const EditResult &result, Revision rev,
                            bool changed) {
  CommandResult out = makeResult(ExitCode::Ok, result.Message);
  out.Data["revision"] = Json::Int64(rev.Value);
  out.Data["changed"] = changed;
  return out;
}

} // namespace

CommandResult editDocument(const ToolContext &context, const std::string &key,
                           const std::vector<std::string> &daemons,
                           const EditFunction &edit) {
  HighestRevision highest = queryHighestRevision(context, daemons, key);
  bool superseded = false;
  WriteReport report;
  for (int i = 0; i < MaxEditAttempts; ++i) {
    Result<StoreValue> current = readDocument(context, key);
    if (!current)
      return makeResult(superseded ? ExitCode::Unknown : ExitCode::Unavailable,
                        "cannot read " + key + ": " + current.error().Message);
    Revision rev = revisionField(current.value().Content);
    if (highest.Rev > rev)
      return makeResult(ExitCode::Conflict,
                        "daemons hold revision " +
                            std::to_string(highest.Rev.Value) + " of " + key +
                            ", the store " + std::to_string(rev.Value) +
                            "; retry after the store has been repaired");
    Revision next = rev + Revision(1);
    EditResult result = edit(current.value().Content, next);
    if (result.Code != ExitCode::Ok && !superseded)
      return makeResult(result.Code, result.Message);
    if (result.Code == ExitCode::Ok && !result.NewContent)
      return successResult(result, rev, superseded);
    // The lost write may have been in force until another writer undid it;
    // writing the edit again would apply it twice.
    if (superseded)
      return makeResult(ExitCode::Unknown,
                        "outcome unknown: the response was lost and " + key +
                            " has changed since to revision " +
                            std::to_string(rev.Value));
    if (result.NewContent->size() > MaxStoreValueBytes)
      return makeResult(ExitCode::Usage, key + " would be larger than 1 MB");
    report = writeDocument(context, key, *result.NewContent,
                           current.value().ModifyIndex);
    switch (report.Outcome) {
    case WriteOutcome::Applied:
      return successResult(result, next, true);
    case WriteOutcome::NotWritten:
      return makeResult(ExitCode::Unavailable,
                        "not written: " + report.Message);
    case WriteOutcome::Unknown:
      return makeResult(ExitCode::Unknown,
                        "outcome unknown: " + report.Message);
    case WriteOutcome::Superseded:
      superseded = true;
      break;
    case WriteOutcome::Conflict:
      break;
    }
  }
  return makeResult(ExitCode::Conflict,
                    "gave up after repeated conflicting changes of " + key +
                        ": " + report.Message);
}

} // namespace savorylb
