#include "savorylb/block_parts.h"

#include "savorylb/block_table.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>

using namespace savorylb;

namespace {

BlockPart makeBlocks(std::uint32_t number) {
  BlockPart out;
  for (int i = 0; i < 200; ++i)
    out.Sites.emplace_back("site-" + std::to_string(i));
  for (std::uint32_t i = 0; i < number; ++i) {
    BlockEntry entry;
    entry.First = ((1U << 16) + i) << 8;
    entry.PrefixLength = 24;
    entry.Site = static_cast<std::uint16_t>(i % 200);
    out.Blocks.push_back(entry);
  }
  return out;
}

BlockPart parseValid(const std::string &text) {
  Findings findings;
  BlockPart out = parseBlockPart("k", text, findings);
  STRCMP_EQUAL("", formatFindings(findings).c_str());
  return out;
}

std::string findingsOf(const std::string &text) {
  Findings findings;
  parseBlockPart("k", text, findings);
  return formatFindings(findings);
}

} // namespace

TEST_GROUP(BlockParts){};

// Guards against a part that is too large for the store, and against blocks
// that are lost or written to two parts.
TEST(BlockParts, FullSizeFitsIntoTheStore) {
  BlockPart all = makeBlocks(530'000);
  std::vector<BlockPart> parts = splitBlocks(all, 1);
  std::vector<BlockEntry> seen;
  for (const BlockPart &it : parts) {
    std::string text = formatBlockPart(it);
    CHECK(text.size() <= MaxPartBytes);
    BlockPart back = parseValid(text);
    LONGS_EQUAL(it.Blocks.size(), back.Blocks.size());
    seen.insert(seen.end(), back.Blocks.begin(), back.Blocks.end());
  }
  std::sort(seen.begin(), seen.end(), isBefore);
  LONGS_EQUAL(530'000, seen.size());
  CHECK(std::adjacent_find(seen.begin(), seen.end(), isSameBlock) ==
        seen.end());
}

// Guards against a change to one block that rewrites all parts.
TEST(BlockParts, OneBlockChangesOnePart) {
  BlockPart all = makeBlocks(50'000);
  std::vector<BlockPart> before = splitBlocks(all, 8);
  all.Blocks[7].Site = 3;
  std::reverse(all.Blocks.begin(), all.Blocks.end());
  std::vector<BlockPart> after = splitBlocks(all, 8);
  LONGS_EQUAL(8, after.size());
  int changed = 0;
  for (std::size_t i = 0; i < 8; ++i)
    changed += formatBlockPart(before[i]) != formatBlockPart(after[i]);
  LONGS_EQUAL(1, changed);
}

// Guards against the use of a part that is partly malformed.
TEST(BlockParts, MistakesAreFindings) {
  auto with = [](const std::string &blocks) {
    return "{\"revision\":1,\"sites\":[\"a\",\"b\"],\"blocks\":\"" + blocks +
           "\"}";
  };
  LONGS_EQUAL(2, parseValid(with("10.0.0.0/8=0 10.1.0.0/16=1")).Blocks.size());
  LONGS_EQUAL(0, parseValid(with("")).Blocks.size());
  for (const char *it : {"10.0.0.0/8", "10.0.0.0/8=2", "10.0.0.0/8=",
                         "10.0.0.0/8=-1", "10.0.0.0/8=99999999999", "x=0",
                         "10.0.0.0/8=0  10.1.0.0/16=1", "10.1.0.0/8=0"})
    STRCMP_CONTAINS("k:1: blocks[", findingsOf(with(it)).c_str());
  STRCMP_CONTAINS("blocks", findingsOf("{\"revision\":1}").c_str());
  STRCMP_CONTAINS("blocks",
                  findingsOf("{\"revision\":1,\"blocks\":[]}").c_str());
  STRCMP_CONTAINS("revision", findingsOf("{\"blocks\":\"\"}").c_str());
  CHECK(!findingsOf("[]").empty());
  CHECK(!findingsOf("{").empty());
  Findings findings;
  parseBlockIndex("k", "{\"revision\":1,\"parts\":[1,-2]}", findings);
  STRCMP_CONTAINS("parts[1]", formatFindings(findings).c_str());
}

// Guards against findings that do not name the line of an operator's file.
TEST(BlockParts, ListNamesLines) {
  Findings findings;
  BlockPart all = parseBlockList("f",
                                 "# comment\n10.0.0.0/8 a # near\n\n"
                                 "10.1.0.0/16\tb\r\n10.0.0.0/8 b\n"
                                 "10.0.0.1/8 a\n10.2.0.0/16\n",
                                 findings);
  LONGS_EQUAL(2, all.Blocks.size());
  LONGS_EQUAL(2, all.Sites.size());
  LONGS_EQUAL(3, findings.size());
  LONGS_EQUAL(5, findings[0].Line);
  STRCMP_CONTAINS("first on line 2", findings[0].Message.c_str());
  LONGS_EQUAL(6, findings[1].Line);
  LONGS_EQUAL(7, findings[2].Line);
}

// Guards against parts that override configured blocks, and against the use of
// blocks whose site is no longer configured.
TEST(BlockParts, JoinConfiguredBlocks) {
  auto part = std::make_shared<const BlockPart>(
      parseValid("{\"revision\":1,\"sites\":[\"a\",\"gone\",\"b\"],\"blocks\":"
                 "\"10.0.0.0/8=0 10.1.0.0/16=2 11.0.0.0/8=1\"}"));
  std::vector<SiteSpec> sites(2);
  sites[0].Name = SiteId("b");
  sites[1].Name = SiteId("a");
  BlockTable table =
      makeBlockTable({{"10.1.0.0/16", SiteId("a")}}, sites, {part});
  auto siteAt = [&](const char *address) {
    const SiteSpec *site = findSite(table, *parseIpv4(address));
    return site ? site->Name.Value : "";
  };
  STRCMP_EQUAL("a", siteAt("10.0.0.1").c_str());
  STRCMP_EQUAL("a", siteAt("10.1.0.1").c_str());
  STRCMP_EQUAL("", siteAt("11.0.0.1").c_str());
}
