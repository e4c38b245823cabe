#include "savorylb/block_parts.h"

#include "json_fields.h"

#include <algorithm>
#include <json/writer.h>
#include <limits>
#include <map>
#include <utility>

namespace savorylb {

namespace {

constexpr std::size_t MaxSites = 65535;
/// Limits the output for a file of the wrong format, which would otherwise give
/// a finding for each line.
constexpr std::size_t MaxFindings = 20;

std::int64_t readRevision(JsonFields &fields) {
  return fields.integer("revision", Need::Required, 0, 0,
                        std::numeric_limits<std::int64_t>::max());
}

std::string writeJson(const Json::Value &value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

/// Parses `CIDR=n`, where n is an index into the sites of the part.
bool readEntry(const std::string &text, std::size_t sites, BlockEntry &entry) {
  std::size_t equals = text.find('=');
  if (equals == std::string::npos || !parseBlock(text.substr(0, equals), entry))
    return false;
  std::size_t number = 0;
  if (equals + 1 == text.size() || text.size() - equals > 6)
    return false;
  for (std::size_t i = equals + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9')
      return false;
    number = number * 10 + static_cast<std::size_t>(text[i] - '0');
  }
  entry.Site = static_cast<std::uint16_t>(number);
  return number < sites;
}

void readEntries(const std::string &key, const std::string &text,
                 BlockPart &out, Findings &findings) {
  std::size_t number = 0;
  for (std::size_t at = 0; at < text.size() && findings.size() < MaxFindings;
       ++number) {
    std::size_t end = std::min(text.find(' ', at), text.size());
    std::string word = text.substr(at, std::min<std::size_t>(end - at, 40));
    BlockEntry entry;
    if (readEntry(word, out.Sites.size(), entry))
      out.Blocks.push_back(entry);
    else
      findings.push_back({key, 1, "blocks[" + std::to_string(number) + "]",
                          "expected CIDR=n with n below " +
                              std::to_string(out.Sites.size()) + ", found \"" +
                              word + "\""});
    at = end + 1;
  }
}

/// \returns the words of a line without its comment.
std::vector<std::string> splitWords(const std::string &line) {
  std::vector<std::string> out;
  std::string content = line.substr(0, line.find('#'));
  for (std::size_t at = 0;
       (at = content.find_first_not_of(" \t\r", at)) != std::string::npos;) {
    std::size_t stop =
        std::min(content.find_first_of(" \t\r", at), content.size());
    out.push_back(content.substr(at, stop - at));
    at = stop;
  }
  return out;
}

/// Parses the lines of an operator's file.
struct ListReader {
  const std::string &File;
  BlockPart &Out;
  Findings &Errors;
  /// Index of each site in Out.Sites.
  std::map<std::string, std::uint16_t> Numbers{};
  /// Line on which each block first appeared.
  std::map<std::pair<std::uint32_t, std::uint8_t>, int> Lines{};

  void report(int line, const std::string &message) {
    Errors.push_back({File, line, "", message});
  }

  void read(int line, const std::vector<std::string> &words) {
    BlockEntry entry;
    if (words.size() != 2)
      return report(line, "expected an IPv4 block and a site");
    if (!parseBlock(words[0], entry))
      return report(line, "\"" + words[0] +
                              "\" is not an IPv4 block such as 10.1.0.0/16, "
                              "or it has host bits set");
    auto [first, added] =
        Lines.try_emplace({entry.First, entry.PrefixLength}, line);
    if (!added)
      return report(line, words[0] + " is repeated, first on line " +
                              std::to_string(first->second));
    auto site = Numbers.find(words[1]);
    if (site == Numbers.end()) {
      if (Out.Sites.size() == MaxSites)
        return report(line, "more than 65535 sites");
      site = Numbers.emplace(words[1], Out.Sites.size()).first;
      Out.Sites.emplace_back(words[1]);
    }
    entry.Site = site->second;
    Out.Blocks.push_back(entry);
  }
};

std::size_t partIndex(const BlockEntry &entry, std::size_t parts) {
  std::uint64_t h = (std::uint64_t(entry.First) << 8) | entry.PrefixLength;
  h *= 0x9e3779b97f4a7c15ULL;
  h ^= h >> 32;
  h *= 0xff51afd7ed558ccdULL;
  return (h >> 40) & (parts - 1);
}

/// Sorts blocks and sites, so that equal sets of blocks give identical
/// documents.
BlockPart normalized(const BlockPart &all, std::vector<BlockEntry> blocks) {
  BlockPart out;
  std::map<SiteId, std::uint16_t> numbers;
  for (const BlockEntry &it : blocks)
    numbers.emplace(all.Sites[it.Site], std::uint16_t(0));
  for (auto &[site, number] : numbers) {
    number = static_cast<std::uint16_t>(out.Sites.size());
    out.Sites.push_back(site);
  }
  std::sort(blocks.begin(), blocks.end(), isBefore);
  for (BlockEntry &it : blocks)
    it.Site = numbers[all.Sites[it.Site]];
  out.Blocks = std::move(blocks);
  return out;
}

} // namespace

BlockPart parseBlockPart(const std::string &key, const std::string &text,
                         Findings &findings) {
  BlockPart out;
  JsonSource source = makeJsonSource(key, text, findings);
  std::optional<Json::Value> root = parseJson(source, text);
  if (!root)
    return out;
  JsonFields fields(source, *root, "");
  out.Rev = Revision(readRevision(fields));
  for (std::string &it : fields.names("sites", Need::Optional))
    out.Sites.emplace_back(std::move(it));
  const Json::Value *blocks = fields.find("blocks", Need::Required);
  if (blocks && !blocks->isString())
    fields.report("blocks", "expected a string, " + describeFound(*blocks));
  fields.reportUnknownFields();
  if (out.Sites.size() > MaxSites)
    fields.report("sites", "more than 65535 sites");
  if (findings.empty())
    readEntries(key, blocks->asString(), out, findings);
  return out;
}

std::string formatBlockPart(const BlockPart &part) {
  std::string blocks;
  blocks.reserve(part.Blocks.size() * 22);
  for (const BlockEntry &it : part.Blocks) {
    if (!blocks.empty())
      blocks += ' ';
    blocks += formatBlock(it) + "=" + std::to_string(it.Site);
  }
  Json::Value root(Json::objectValue);
  root["revision"] = Json::Int64(part.Rev.Value);
  root["blocks"] = blocks;
  root["sites"] = Json::Value(Json::arrayValue);
  for (const SiteId &it : part.Sites)
    root["sites"].append(it.Value);
  return writeJson(root);
}

BlockIndex parseBlockIndex(const std::string &key, const std::string &text,
                           Findings &findings) {
  BlockIndex out;
  JsonSource source = makeJsonSource(key, text, findings);
  std::optional<Json::Value> root = parseJson(source, text);
  if (!root)
    return out;
  JsonFields fields(source, *root, "");
  out.Rev = Revision(readRevision(fields));
  const Json::Value *parts = fields.list("parts", Need::Required);
  if (parts && parts->size() > MaxBlockParts)
    fields.report("parts",
                  "more than " + std::to_string(MaxBlockParts) + " parts");
  for (Json::ArrayIndex i = 0; parts && i < parts->size(); ++i) {
    const Json::Value &it = (*parts)[i];
    if (it.isInt64() && it.asInt64() > 0)
      out.MinRevisions.emplace_back(it.asInt64());
    else
      addFinding(source, it, fields.pathOf("parts", i), "expected a revision");
  }
  fields.reportUnknownFields();
  return out;
}

std::string formatBlockIndex(const BlockIndex &index) {
  Json::Value root(Json::objectValue);
  root["revision"] = Json::Int64(index.Rev.Value);
  root["parts"] = Json::Value(Json::arrayValue);
  for (Revision it : index.MinRevisions)
    root["parts"].append(Json::Int64(it.Value));
  return writeJson(root);
}

BlockPart parseBlockList(const std::string &file, const std::string &text,
                         Findings &findings) {
  BlockPart out;
  ListReader reader{file, out, findings};
  int line = 0;
  for (std::size_t at = 0; at < text.size() && findings.size() < MaxFindings;) {
    std::size_t end = std::min(text.find('\n', at), text.size());
    std::vector<std::string> words = splitWords(text.substr(at, end - at));
    ++line;
    if (!words.empty())
      reader.read(line, words);
    at = end + 1;
  }
  if (findings.size() == MaxFindings)
    reader.report(line, "the rest of the file was not read");
  return out;
}

std::vector<BlockPart> splitBlocks(const BlockPart &all, std::size_t parts) {
  while (true) {
    std::vector<std::vector<BlockEntry>> split(parts);
    for (const BlockEntry &it : all.Blocks)
      split[partIndex(it, parts)].push_back(it);
    std::vector<BlockPart> out;
    bool fits = true;
    for (std::vector<BlockEntry> &it : split) {
      out.push_back(normalized(all, std::move(it)));
      // 20 bytes are reserved for the revision, which is set later.
      fits = fits && formatBlockPart(out.back()).size() + 20 <= MaxPartBytes;
    }
    if (fits || parts >= MaxBlockParts)
      return out;
    parts *= 2;
  }
}

} // namespace savorylb
