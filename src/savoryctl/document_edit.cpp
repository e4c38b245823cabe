#include "document_edit.h"

#include "daemon_status.h"
#include "json_text.h"
#include "store_write.h"

namespace savorylb {

namespace {

constexpr int MaxRaces = 5;

CommandResult finished(const EditStep &step, Revision rev, bool changed) {
  CommandResult out = makeResult(ExitCode::Ok, step.Message);
  out.Data["revision"] = Json::Int64(rev.Value);
  out.Data["changed"] = changed;
  return out;
}

} // namespace

CommandResult editDocument(const ToolContext &context, const std::string &key,
                           const std::vector<std::string> &daemons,
                           const Edit &edit) {
  KnownRevision known = askRevisions(context, daemons, key);
  bool superseded = false;
  WriteReport report;
  for (int i = 0; i < MaxRaces; ++i) {
    Result<StoreValue> current = readDocument(context, key);
    if (!current)
      return makeResult(superseded ? ExitCode::Unknown
                                   : ExitCode::StoreUnavailable,
                        "cannot read " + key + ": " + current.error().Message);
    Revision rev = revisionField(current.value().Content);
    if (known.Rev > rev)
      return makeResult(ExitCode::Conflict,
                        "daemons hold revision " +
                            std::to_string(known.Rev.Value) + " of " + key +
                            ", the store " + std::to_string(rev.Value) +
                            "; try again once the store is repaired");
    Revision next = rev + Revision(1);
    EditStep step = edit(current.value().Content, next);
    if (step.Code != ExitCode::Ok && !superseded)
      return makeResult(step.Code, step.Message);
    if (step.Code == ExitCode::Ok && !step.Next)
      return finished(step, rev, superseded);
    // The edit may have been in force and undone by someone else; making it
    // once more would be a second effect.
    if (superseded)
      return makeResult(ExitCode::Unknown,
                        "outcome unknown: the response was lost and " + key +
                            " was changed since to revision " +
                            std::to_string(rev.Value));
    if (step.Next->size() > MaxStoreValue)
      return makeResult(ExitCode::Usage, key + " would be larger than 1 MB");
    report =
        writeDocument(context, key, *step.Next, current.value().ModifyIndex);
    switch (report.Outcome) {
    case WriteOutcome::Applied:
      return finished(step, next, true);
    case WriteOutcome::NotWritten:
      return makeResult(ExitCode::StoreUnavailable,
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
                    "others kept changing " + key + ": " + report.Message);
}

} // namespace savorylb
