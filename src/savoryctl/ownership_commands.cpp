#include "ownership_commands.h"

#include "document_edit.h"
#include "json_text.h"
#include "store_keys.h"

#include "savorylb/zone_document.h"

#include <iterator>
#include <optional>

namespace savorylb {

namespace {

Json::Value zoneToJson(const ZoneDocument &doc) {
  Json::Value out;
  out["zone"] = doc.Zone.Value;
  out["revision"] = Json::Int64(doc.Rev.Value);
  out["rate_ppm"] = Json::Int64(doc.RateShare.Value);
  out["members"] = Json::Value(Json::objectValue);
  Ppm assigned;
  for (const auto &[vm, member] : doc.Members) {
    Json::Value &entry = out["members"][vm.Value];
    entry["incarnation"] = member.VmIncarnation.Value;
    entry["endpoint"] = member.PeerEndpoint;
    entry["successor"] = member.Successor.Value;
    entry["rate_ppm"] = Json::Int64(member.RateShare.Value);
    entry["targets"] = 0;
    entry["partitions"] = 0;
    assigned += member.RateShare;
  }
  out["unassigned_rate_ppm"] = Json::Int64((doc.RateShare - assigned).Value);
  out["unowned_targets"] = Json::Value(Json::arrayValue);
  out["unowned_partitions"] = Json::Value(Json::arrayValue);
  for (const auto &[target, vm] : doc.Targets)
    if (out["members"].isMember(vm.Value)) {
      Json::Value &count = out["members"][vm.Value]["targets"];
      count = count.asInt() + 1;
    } else {
      out["unowned_targets"].append(target.Value);
    }
  for (std::size_t i = 0; i < doc.Partitions.size(); ++i)
    if (out["members"].isMember(doc.Partitions[i].Value)) {
      Json::Value &count =
          out["members"][doc.Partitions[i].Value]["partitions"];
      count = count.asInt() + 1;
    } else {
      out["unowned_partitions"].append(Json::UInt64(i));
    }
  out["quarantined_partitions"] = Json::Value(Json::arrayValue);
  for (std::size_t i = 0; i < doc.QuarantinedAt.size(); ++i)
    if (doc.QuarantinedAt[i] != 0)
      out["quarantined_partitions"].append(Json::UInt64(i));
  return out;
}

std::string formatZone(const Json::Value &zone) {
  std::string out =
      zone["zone"].asString() + "  revision " + zone["revision"].asString() +
      "  rate " + zone["rate_ppm"].asString() + " ppm, unassigned " +
      zone["unassigned_rate_ppm"].asString() +
      "  unowned: " + writeCompact(zone["unowned_targets"]) + " partitions " +
      writeCompact(zone["unowned_partitions"]) + "  quarantined " +
      writeCompact(zone["quarantined_partitions"]) + "\n";
  for (const std::string &vm : zone["members"].getMemberNames()) {
    const Json::Value &it = zone["members"][vm];
    out += "  " + vm + "  " + it["endpoint"].asString() + "  successor " +
           it["successor"].asString() + "  targets " +
           it["targets"].asString() + "  partitions " +
           it["partitions"].asString() + "  rate " + it["rate_ppm"].asString() +
           " ppm\n";
  }
  return out;
}

// Leaves the Successor field of other members unchanged even if it names this
// VM. Only the member itself may name a new successor, after that VM has
// granted it a lease; a successor without a granted lease could take over at
// once.
void removeMember(ZoneDocument &doc, const VmId &vm, Revision next) {
  doc.Members.erase(vm);
  for (auto it = doc.Targets.begin(); it != doc.Targets.end();)
    it = it->second == vm ? doc.Targets.erase(it) : std::next(it);
  doc.QuarantinedAt.resize(doc.Partitions.size());
  for (std::size_t i = 0; i < doc.Partitions.size(); ++i) {
    if (doc.Partitions[i] != vm)
      continue;
    doc.Partitions[i] = VmId();
    doc.QuarantinedAt[i] = next.Value;
  }
}

} // namespace

CommandResult showOwnership(const ToolContext &context) {
  Result<StoreListing> listing = context.Store.List(ZonePrefix, 0, Duration(0));
  if (!listing && listing.error().Code != ErrorCode::NotFound)
    return makeResult(ExitCode::Unavailable, listing.error().Message);
  CommandResult out;
  out.Data["zones"] = Json::Value(Json::arrayValue);
  StoreListing zones = listing ? listing.value() : StoreListing{};
  for (const auto &[key, value] : zones.Values) {
    Result<ZoneDocument> doc = parseZoneDocument(value.Content);
    if (!doc) {
      addWarning(out, key + ": " + doc.error().Message);
      continue;
    }
    Json::Value zone = zoneToJson(doc.value());
    out.Text += formatZone(zone);
    out.Data["zones"].append(zone);
  }
  if (zones.Values.empty())
    out.Text = "no owner maps\n";
  return out;
}

CommandResult reclaimOwnership(const ToolContext &context,
                               const std::string &vm, const std::string &zone,
                               bool confirmed) {
  if (!confirmed)
    return makeResult(ExitCode::Usage,
                      "reclaim releases everything that the VM owns; if the VM "
                      "still runs, limits will be exceeded. Repeat with --yes "
                      "once it has certainly stopped");
  const std::string writerIncarnation = context.RandomHex().substr(0, 16);
  std::optional<Incarnation> removedIncarnation;
  auto edit = [&](const std::string &current, Revision next) -> EditResult {
    if (current.empty())
      return {ExitCode::NotFound, "no owner map for zone " + zone, {}};
    Result<ZoneDocument> doc = parseZoneDocument(current);
    if (!doc)
      return {ExitCode::Usage, doc.error().Message, {}};
    auto member = doc.value().Members.find(VmId(vm));
    if (member == doc.value().Members.end())
      return removedIncarnation
                 ? EditResult{ExitCode::Ok,
                              vm + " is no longer a member of zone " + zone,
                              {}}
                 : EditResult{ExitCode::NotFound,
                              vm + " is not a member of zone " + zone,
                              {}};
    // If the incarnation changed during a conflict, the VM was restarted and is
    // running.
    if (removedIncarnation &&
        *removedIncarnation != member->second.VmIncarnation)
      return {ExitCode::Conflict, vm + " was restarted in the meantime", {}};
    removedIncarnation = member->second.VmIncarnation;
    removeMember(doc.value(), VmId(vm), next);
    doc.value().Rev = next;
    doc.value().Writer = VmId("savoryctl");
    doc.value().WriterIncarnation = Incarnation(writerIncarnation);
    return {ExitCode::Ok, vm + " is no longer a member of zone " + zone,
            formatZoneDocument(doc.value())};
  };
  return editDocument(context, ZonePrefix + zone, {}, edit);
}

} // namespace savorylb
