#include "block_commands.h"

#include "config_commands.h"
#include "daemon_status.h"
#include "json_text.h"
#include "store_keys.h"
#include "store_write.h"

#include "savorylb/block_parts.h"
#include "savorylb/config.h"

#include <algorithm>
#include <optional>
#include <set>

namespace savorylb {

namespace {

/// A document in the store, and the highest revision of it that the store or a
/// daemon holds; a new revision must exceed it.
struct StoredDocument {
  StoreValue Value;
  Revision Rev;
  /// Daemons hold a newer revision, so the store was restored to an older
  /// state.
  bool StoreIsOlder = false;
};

/// State of one run of `blocks apply`.
struct BlockWriter {
  const ToolContext &Context;
  const std::vector<std::string> &Daemons;
  std::set<std::string> FailedDaemons{};
  int PartsWritten = 0;
  CommandResult FailureResult{};

  bool fail(ExitCode code, const std::string &message) {
    FailureResult = makeResult(code, message);
    FailureResult.Data["parts_written"] = PartsWritten;
    return false;
  }

  std::optional<StoredDocument> read(const std::string &key) {
    HighestRevision highest = queryHighestRevision(Context, Daemons, key);
    FailedDaemons.insert(highest.FailedDaemons.begin(),
                         highest.FailedDaemons.end());
    Result<StoreValue> value = readDocument(Context, key);
    if (!value) {
      fail(ExitCode::Unavailable,
           "not applied: " + key + ": " + value.error().Message);
      return std::nullopt;
    }
    Revision stored = revisionField(value.value().Content);
    return StoredDocument{value.value(), std::max(stored, highest.Rev),
                          stored < highest.Rev};
  }

  bool write(const std::string &key, const std::string &content,
             std::uint64_t index) {
    WriteReport report = writeDocument(Context, key, content, index);
    switch (report.Outcome) {
    case WriteOutcome::Applied:
      return true;
    case WriteOutcome::Conflict:
      return fail(ExitCode::Conflict,
                  "conflict: not applied, another change of " + key +
                      " was written first; " + report.Message);
    case WriteOutcome::NotWritten:
      return fail(ExitCode::Unavailable,
                  "not applied: " + key + ": " + report.Message);
    default:
      return fail(ExitCode::Unknown, "outcome unknown for " + key + ": " +
                                         report.Message +
                                         "; apply the same file again");
    }
  }

  /// Writes a part unless the store already holds the same blocks.
  /// \returns its revision, or nothing if the command fails.
  std::optional<Revision> writePart(std::size_t number, BlockPart part) {
    std::string key = BlockPartsPrefix + std::to_string(number);
    std::optional<StoredDocument> stored = read(key);
    if (!stored)
      return std::nullopt;
    part.Rev = stored->Rev;
    bool present = stored->Value.ModifyIndex > 0 && stored->Rev > Revision(0);
    if (present && !stored->StoreIsOlder &&
        formatBlockPart(part) == stored->Value.Content)
      return part.Rev;
    part.Rev = stored->Rev + Revision(1);
    if (!write(key, formatBlockPart(part), stored->Value.ModifyIndex))
      return std::nullopt;
    ++PartsWritten;
    return part.Rev;
  }
};

/// Adds a finding for each site that the configuration in the store lacks.
/// Findings in that configuration itself are ignored.
/// \returns false, with FailureResult set, if the store cannot be read.
bool checkSites(BlockWriter &writer, const std::string &file,
                const BlockPart &all, Findings &findings) {
  Result<StoreValue> value = readDocument(writer.Context, ConfigKey);
  if (!value)
    return writer.fail(ExitCode::Unavailable,
                       "not applied: " + value.error().Message);
  Findings ignored;
  Config config = parseConfig(ConfigKey, value.value().Content, ignored);
  std::set<SiteId> configured;
  for (const SiteSpec &it : config.Sites)
    configured.insert(it.Name);
  for (const SiteId &it : all.Sites)
    if (configured.count(it) == 0)
      findings.push_back(
          {file, 1, "",
           "site \"" + it.Value + "\" is not in the configuration in force"});
  return true;
}

/// \returns the initial number of parts to split into: that of the stored
/// index, rounded up to a power of two, or 1 if there is none.
std::size_t initialPartCount(const BlockIndex &index) {
  std::size_t out = 1;
  while (out < index.MinRevisions.size())
    out *= 2;
  return out;
}

CommandResult appliedResult(const BlockWriter &writer, const BlockIndex &index,
                            std::size_t blocks, bool changed) {
  CommandResult out = makeResult(
      ExitCode::Ok,
      std::string(changed ? "applied" : "already in force as") + " revision " +
          std::to_string(index.Rev.Value) + ": " + std::to_string(blocks) +
          " blocks, " + std::to_string(writer.PartsWritten) + " of " +
          std::to_string(index.MinRevisions.size()) + " parts written");
  out.Data["revision"] = Json::Int64(index.Rev.Value);
  out.Data["changed"] = changed;
  out.Data["blocks"] = Json::UInt64(blocks);
  out.Data["parts"] = Json::UInt64(index.MinRevisions.size());
  out.Data["parts_written"] = writer.PartsWritten;
  for (const std::string &it : writer.FailedDaemons)
    addWarning(out, "daemon " + it + " did not report its revisions");
  return out;
}

} // namespace

CommandResult applyBlocks(const ToolContext &context, const std::string &file,
                          const std::string &text,
                          const std::vector<std::string> &daemons) {
  Findings findings;
  BlockPart all = parseBlockList(file, text, findings);
  BlockWriter writer{context, daemons};
  if (findings.empty() && !checkSites(writer, file, all, findings))
    return writer.FailureResult;
  if (!findings.empty())
    return findingsResult(findings);
  // Read before the parts, so that a concurrent change by another operator
  // leads to a conflict.
  std::optional<StoredDocument> stored = writer.read(BlockIndexKey);
  if (!stored)
    return writer.FailureResult;
  Findings ignored;
  BlockIndex current;
  if (!stored->Value.Content.empty())
    current = parseBlockIndex(BlockIndexKey, stored->Value.Content, ignored);
  std::vector<BlockPart> parts = splitBlocks(all, initialPartCount(current));
  for (const BlockPart &it : parts)
    // The revision is not set yet; its digits may add up to 20 bytes.
    if (formatBlockPart(it).size() + 20 > MaxPartBytes)
      return makeResult(ExitCode::Usage, file + ": too many blocks");
  BlockIndex next;
  for (std::size_t n = 0; n < parts.size(); ++n) {
    std::optional<Revision> rev = writer.writePart(n, std::move(parts[n]));
    if (!rev)
      return writer.FailureResult;
    next.MinRevisions.push_back(*rev);
  }
  if (!stored->StoreIsOlder && stored->Rev > Revision(0) &&
      next.MinRevisions == current.MinRevisions)
    return appliedResult(writer, current, all.Blocks.size(), false);
  next.Rev = stored->Rev + Revision(1);
  if (!writer.write(BlockIndexKey, formatBlockIndex(next),
                    stored->Value.ModifyIndex))
    return writer.FailureResult;
  return appliedResult(writer, next, all.Blocks.size(), true);
}

} // namespace savorylb
