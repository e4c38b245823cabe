#include "config_parts.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace savorylb {

namespace {

constexpr Duration MaxDistance = Seconds(10);
// The site index of a client block has 16 bits.
constexpr Json::ArrayIndex MaxSites = 65535;

void readRegions(JsonFields &root, Config &out) {
  const Json::Value *list = root.list("regions", Need::Required);
  std::set<std::string> regions;
  std::set<std::string> zones;
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    JsonFields fields(root.source(), (*list)[i], root.pathOf("regions", i));
    RegionSpec region;
    region.Name = RegionId(fields.name("name", Need::Required));
    checkUnique(fields, "name", region.Name.Value, regions);
    for (std::string &it : fields.names("zones", Need::Required)) {
      if (!it.empty() && !zones.insert(it).second)
        fields.report("zones", "\"" + it + "\" is repeated");
      region.Zones.emplace_back(std::move(it));
    }
    region.Draining = fields.flag("draining", false);
    fields.reportUnknownFields();
    out.Regions.push_back(std::move(region));
  }
  if (list && list->empty())
    root.report("regions", "must not be empty");
}

void readLinks(JsonFields &root, const ConfigNames &names, Config &out) {
  const Json::Value *list = root.list("links", Need::Optional);
  std::set<std::pair<std::string, std::string>> seen;
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    JsonFields fields(root.source(), (*list)[i], root.pathOf("links", i));
    LinkSpec link;
    link.From = RegionId(fields.name("from", Need::Required));
    link.To = RegionId(fields.name("to", Need::Required));
    checkKnownField(fields, "from", link.From.Value, "region", names.Regions);
    checkKnownField(fields, "to", link.To.Value, "region", names.Regions);
    if (!link.From.empty() && link.From == link.To)
      fields.report("to", "a link must connect two different regions");
    // Links are bidirectional, so b-a duplicates a-b.
    if (!seen.insert(std::minmax(link.From.Value, link.To.Value)).second)
      fields.report("to", "duplicate link");
    link.BytesPerSecond = ByteCount(fields.integer(
        "bytes_per_second", Need::Required, 1, 1, 1'000'000'000'000));
    link.Delay = fields.millis("delay_ms", Need::Required, Duration(0),
                               Duration(0), MaxDistance);
    fields.reportUnknownFields();
    out.Links.push_back(std::move(link));
  }
}

void readDistances(JsonFields &fields, const ConfigNames &names,
                   SiteSpec &site) {
  const Json::Value *distances = fields.object("distance_ms", Need::Required);
  if (!distances)
    return;
  for (auto it = distances->begin(); it != distances->end(); ++it) {
    std::string region = it.name();
    std::string path = fields.pathOf("distance_ms") + "." + region;
    checkKnown(fields.source(), *it, path, region, "region", names.Regions);
    site.Distance[RegionId(region)] =
        readMillis(fields.source(), *it, path, Duration(0), MaxDistance);
  }
  if (distances->empty())
    fields.report("distance_ms", "must name at least one region");
}

void readSites(JsonFields &root, const ConfigNames &names, Config &out) {
  const Json::Value *list = root.list("sites", Need::Optional);
  if (list && list->size() > MaxSites)
    root.report("sites", "more than 65535 sites");
  std::set<std::string> seen;
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    JsonFields fields(root.source(), (*list)[i], root.pathOf("sites", i));
    SiteSpec site;
    site.Name = SiteId(fields.name("name", Need::Required));
    checkUnique(fields, "name", site.Name.Value, seen);
    readDistances(fields, names, site);
    fields.reportUnknownFields();
    out.Sites.push_back(std::move(site));
  }
}

// Reads a decimal number of up to three digits without leading zeros.
std::optional<std::uint32_t> readOctet(const std::string &text, std::size_t &at,
                                       std::uint32_t max) {
  std::size_t start = at;
  std::uint32_t out = 0;
  while (at < text.size() && at - start < 3 && text[at] >= '0' &&
         text[at] <= '9')
    out = out * 10 + static_cast<std::uint32_t>(text[at++] - '0');
  if (at == start || out > max || (at - start > 1 && text[start] == '0'))
    return std::nullopt;
  return out;
}

// Returns an error message, or an empty string for a valid block.
std::string cidrError(const std::string &text) {
  constexpr const char *Expected = "expected an IPv4 block such as 10.1.0.0/16";
  std::uint32_t address = 0;
  std::size_t at = 0;
  for (int i = 0; i < 4; ++i) {
    std::optional<std::uint32_t> octet = readOctet(text, at, 255);
    if (!octet || at >= text.size() || text[at++] != (i < 3 ? '.' : '/'))
      return Expected;
    address = address << 8 | *octet;
  }
  std::optional<std::uint32_t> length = readOctet(text, at, 32);
  if (!length || at != text.size())
    return Expected;
  std::uint64_t hosts = (std::uint64_t{1} << (32 - *length)) - 1;
  return (address & hosts) == 0 ? "" : "address bits are set beyond the prefix";
}

void readBlocks(JsonFields &root, const ConfigNames &names, Config &out) {
  const Json::Value *list = root.list("blocks", Need::Optional);
  std::set<std::string> seen;
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    JsonFields fields(root.source(), (*list)[i], root.pathOf("blocks", i));
    BlockSpec block;
    block.Cidr = fields.text("cidr", Need::Required);
    std::string error = block.Cidr.empty() ? "" : cidrError(block.Cidr);
    if (!error.empty())
      fields.report("cidr", error);
    checkUnique(fields, "cidr", block.Cidr, seen);
    block.Site = SiteId(fields.name("site", Need::Required));
    checkKnownField(fields, "site", block.Site.Value, "site", names.Sites);
    fields.reportUnknownFields();
    out.Blocks.push_back(std::move(block));
  }
}

} // namespace

void readNetwork(JsonFields &root, const ConfigNames &names, Config &out) {
  readRegions(root, out);
  readLinks(root, names, out);
  readSites(root, names, out);
  readBlocks(root, names, out);
}

} // namespace savorylb
