#include "block_state.h"

#include "daemon.h"
#include "savorylb/clock.h"
#include "savorylb/event_log.h"

#include <optional>

namespace savorylb {
namespace {

/// \returns the number of the part with this key, nothing when there is none.
std::optional<std::size_t> partNumber(const std::string &key) {
  for (std::size_t n = 0; n < MaxBlockParts; ++n)
    if (key == blockPartKey(n))
      return n;
  return std::nullopt;
}

/// Activates the parts once all that the index lists are held, so that no
/// lookup uses an incomplete change.
void activateBlocks(Daemon &daemon) {
  BlockState &state = daemon.Documents.Blocks;
  if (state.Index.Rev == state.ActiveRev)
    return;
  std::vector<std::shared_ptr<const BlockPart>> parts;
  for (std::size_t n = 0; n < state.Index.MinRevisions.size(); ++n) {
    auto it = state.Parts.find(n);
    if (it == state.Parts.end() ||
        it->second->Rev < state.Index.MinRevisions[n])
      return;
    parts.push_back(it->second);
  }
  state.ActiveParts = std::move(parts);
  state.ActiveRev = state.Index.Rev;
  std::size_t total = 0;
  updateSnapshot(daemon, [&](Snapshot &it) {
    auto table = std::make_shared<const BlockTable>(
        makeBlockTable(it.Conf.Blocks, it.Conf.Sites, state.ActiveParts));
    total = table->Blocks.size();
    it.Blocks = table;
    it.BlocksRev = state.ActiveRev;
  });
  logEvent(EventCode::BlocksActivated,
           {{"revision", state.ActiveRev.Value},
            {"parts", static_cast<std::int64_t>(state.ActiveParts.size())},
            {"blocks", static_cast<std::int64_t>(total)}});
}

} // namespace

std::string blockPartKey(std::size_t number) {
  return BlockPartsPrefix + std::to_string(number);
}

std::string applyBlockDocument(Daemon &daemon, const std::string &key,
                               const std::string &content) {
  Findings findings;
  BlockState &state = daemon.Documents.Blocks;
  if (key == BlockIndexKey) {
    BlockIndex index = parseBlockIndex(key, content, findings);
    if (!findings.empty())
      return formatFindings(findings);
    state.Index = std::move(index);
  } else {
    std::optional<std::size_t> number = partNumber(key);
    if (!number)
      return key + ": there is no such part";
    BlockPart part = parseBlockPart(key, content, findings);
    if (!findings.empty())
      return formatFindings(findings);
    state.Parts[*number] = std::make_shared<const BlockPart>(std::move(part));
  }
  activateBlocks(daemon);
  return "";
}

void fetchBlockParts(Daemon &daemon, const std::string &indexContent) {
  Findings findings;
  BlockIndex index = parseBlockIndex(BlockIndexKey, indexContent, findings);
  if (!findings.empty())
    return;
  for (std::size_t n = 0; n < index.MinRevisions.size() && !daemon.Stopping;
       ++n) {
    std::string key = blockPartKey(n);
    if (heldRevision(daemon, key) == index.MinRevisions[n])
      continue;
    Result<StoreValue> value = daemon.Store.Get(key);
    if (value)
      receiveDocument(daemon, key, value.value().Content,
                      value.value().ModifyIndex, DocumentSource::Store);
    else if (value.error().Code != ErrorCode::NotFound)
      // The next response of the store watch retries.
      return;
  }
}

} // namespace savorylb
