#include "store_write.h"

#include "json_text.h"

namespace savorylb {

namespace {

constexpr int MaxAttempts = 4;
constexpr Duration InitialRetryDelay = Millis(100);

void waitBeforeAttempt(const ToolContext &context, int attempt) {
  if (attempt > 0)
    context.Sleep(InitialRetryDelay * (1 << (attempt - 1)));
}

bool isAmbiguousError(ErrorCode code) {
  switch (code) {
  case ErrorCode::Timeout:
  case ErrorCode::Unknown:
  case ErrorCode::Malformed:
    return true;
  default:
    return false;
  }
}

// Decides from the stored value whether a write took effect. Revisions only
// increase, so if the stored revision is not higher than the written one, the
// write cannot have taken effect and been replaced since: that is a plain
// conflict.
WriteReport classifyStoredValue(const std::string &content,
                                const StoreValue &current,
                                bool mayHaveTakenEffect) {
  if (current.Content == content)
    return {WriteOutcome::Applied, {}, ""};
  Revision storedRev = revisionField(current.Content);
  bool superseded = mayHaveTakenEffect && storedRev > revisionField(content);
  return {superseded ? WriteOutcome::Superseded : WriteOutcome::Conflict,
          storedRev,
          "the store holds revision " + std::to_string(storedRev.Value)};
}

} // namespace

Result<StoreValue> readDocument(const ToolContext &context,
                                const std::string &key) {
  Result<StoreValue> out =
      failure(ErrorCode::Unavailable, "the store was not queried");
  for (int i = 0; i < MaxAttempts; ++i) {
    waitBeforeAttempt(context, i);
    out = context.Store.Get(key);
    if (out)
      return out;
    if (out.error().Code == ErrorCode::NotFound)
      return StoreValue{};
  }
  return out;
}

WriteReport writeDocument(const ToolContext &context, const std::string &key,
                          const std::string &content,
                          std::uint64_t expectedIndex) {
  bool mayHaveTakenEffect = false;
  std::string message;
  for (int i = 0; i < MaxAttempts; ++i) {
    waitBeforeAttempt(context, i);
    Result<void> written =
        context.Store.CompareAndSwap(key, content, expectedIndex);
    if (written)
      return {WriteOutcome::Applied, {}, ""};
    message = written.error().Message;
    bool conflict = written.error().Code == ErrorCode::Conflict;
    mayHaveTakenEffect =
        mayHaveTakenEffect || isAmbiguousError(written.error().Code);
    if (!conflict && !mayHaveTakenEffect)
      continue;
    Result<StoreValue> current = readDocument(context, key);
    if (current && current.value().ModifyIndex != expectedIndex)
      return classifyStoredValue(content, current.value(), mayHaveTakenEffect);
    if (conflict && !mayHaveTakenEffect)
      return {WriteOutcome::Conflict, {}, message};
  }
  return {mayHaveTakenEffect ? WriteOutcome::Unknown : WriteOutcome::NotWritten,
          {},
          message};
}

} // namespace savorylb
