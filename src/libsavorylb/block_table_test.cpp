#include "savorylb/block_table.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <random>

using namespace savorylb;

namespace {

std::string cidr(std::uint32_t first, int length) {
  return std::to_string(first >> 24) + "." + std::to_string(first >> 16 & 255) +
         "." + std::to_string(first >> 8 & 255) + "." +
         std::to_string(first & 255) + "/" + std::to_string(length);
}

std::vector<SiteSpec> makeSites(int number) {
  std::vector<SiteSpec> sites(static_cast<std::size_t>(number));
  for (int i = 0; i < number; ++i)
    sites[static_cast<std::size_t>(i)].Name = SiteId("s" + std::to_string(i));
  return sites;
}

std::string siteAt(const BlockTable &table, const char *address) {
  const SiteSpec *site = findSite(table, *parseIpv4(address));
  return site ? site->Name.Value : "";
}

} // namespace

TEST_GROUP(BlockTable){};

// Guards against a nested block that hides other addresses of its enclosing
// block.
TEST(BlockTable, LongestPrefixWins) {
  BlockTable table = makeBlockTable({{"10.0.0.0/8", SiteId("s0")},
                                     {"10.1.0.0/16", SiteId("s1")},
                                     {"10.1.2.0/24", SiteId("s2")},
                                     {"10.1.2.0/32", SiteId("s3")},
                                     {"10.1.2.0/24", SiteId("s1")},
                                     {"192.168.0.0/33", SiteId("s0")},
                                     {"192.168.0.1/16", SiteId("s0")},
                                     {"192.169.0.0/16", SiteId("none")}},
                                    makeSites(4));
  LONGS_EQUAL(4, table.Blocks.size());
  STRCMP_EQUAL("s3", siteAt(table, "10.1.2.0").c_str());
  STRCMP_EQUAL("s2", siteAt(table, "10.1.2.255").c_str());
  STRCMP_EQUAL("s1", siteAt(table, "10.1.3.0").c_str());
  STRCMP_EQUAL("s0", siteAt(table, "10.255.255.255").c_str());
  STRCMP_EQUAL("", siteAt(table, "11.0.0.0").c_str());
  STRCMP_EQUAL("", siteAt(table, "0.0.0.0").c_str());
  CHECK(findSite(makeBlockTable({}, {}), 1) == nullptr);
}

// Guards against wrong matches in random nested tables, by comparison with a
// linear search.
TEST(BlockTable, AgreesWithLinearSearch) {
  constexpr unsigned Seed = 99;
  std::printf("seed %u\n", Seed);
  std::mt19937 rng(Seed);
  for (int round = 0; round < 50; ++round) {
    std::vector<BlockSpec> blocks;
    struct LinearBlock {
      std::uint32_t First;
      int Length;
      std::string Site;
    };
    std::vector<LinearBlock> plain;
    for (int i = 0; i < 200; ++i) {
      int length = static_cast<int>(rng() % 33);
      std::uint32_t mask = length == 0 ? 0 : ~0U << (32 - length);
      // Only a few bits vary, so that blocks are deeply nested.
      std::uint32_t first = (rng() & 0x81010101U) & mask;
      std::string site = "s" + std::to_string(rng() % 9);
      blocks.push_back({cidr(first, length), SiteId(site)});
      plain.push_back({first, length, site});
    }
    BlockTable table = makeBlockTable(blocks, makeSites(9));
    for (int i = 0; i < 500; ++i) {
      std::uint32_t address = i % 2 ? rng() : rng() & 0x81010101U;
      const LinearBlock *best = nullptr;
      for (const LinearBlock &block : plain) {
        std::uint32_t mask = block.Length ? ~0U << (32 - block.Length) : 0;
        if ((address & mask) == block.First &&
            (!best || block.Length > best->Length))
          best = &block;
      }
      const SiteSpec *site = findSite(table, address);
      STRCMP_EQUAL(best ? best->Site.c_str() : "",
                   site ? site->Name.Value.c_str() : "");
    }
  }
}

// Guards against accepting text that other tools interpret differently, such as
// octal numbers.
TEST(BlockTable, OnlyPlainAddressesAreRead) {
  CHECK(parseIpv4("255.0.10.1") == 0xff000a01U);
  for (const char *text : {"", "1.2.3", "1.2.3.4.5", "256.1.1.1", "01.2.3.4",
                           "1.2.3.-4", "1..2.3", "::1", " 1.2.3.4", "1.2.3.4 "})
    CHECK_FALSE(parseIpv4(text).has_value());
}
