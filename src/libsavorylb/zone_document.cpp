#include "savorylb/zone_document.h"

#include <exception>
#include <json/json.h>
#include <memory>

namespace savorylb {
namespace {

/// Reads fields of JSON objects and keeps the first error.
struct FieldReader {
  std::string Error;

  void fail(const std::string &path, const char *what) {
    if (Error.empty())
      Error = path + ": " + what;
  }

  /// \returns the string, or an empty one when an optional field is missing.
  std::string readText(const Json::Value &from, const char *name,
                       const std::string &path, bool required) {
    const Json::Value &it = from[name];
    if (it.isNull() && !required)
      return {};
    if (!it.isString() || (required && it.asString().empty())) {
      fail(path + name, "expected a string");
      return {};
    }
    return it.asString();
  }

  /// \returns the integer in the range from 0 to `max`, or 0 after an error.
  std::int64_t readInteger(const Json::Value &from, const char *name,
                           const std::string &path, std::int64_t max) {
    const Json::Value &it = from[name];
    if (!it.isInt64() || it.asInt64() < 0 || it.asInt64() > max) {
      fail(path + name, "expected an integer within the valid range");
      return 0;
    }
    return it.asInt64();
  }
};

/// The next write adds one to the revision, which must not overflow.
constexpr std::int64_t MaxRevision = INT64_MAX - 1;

Json::Value formatMember(const ZoneMember &member) {
  Json::Value out(Json::objectValue);
  out["incarnation"] = member.VmIncarnation.Value;
  out["endpoint"] = member.PeerEndpoint;
  out["callerEndpoint"] = member.CallerEndpoint;
  out["successor"] = member.Successor.Value;
  out["successorIncarnation"] = member.SuccessorIncarnation.Value;
  out["ratePpm"] = Json::Int64(member.RateShare.Value);
  return out;
}

ZoneMember readMember(FieldReader &reader, const Json::Value &from,
                      const std::string &path) {
  ZoneMember out;
  if (!from.isObject()) {
    reader.fail(path, "expected an object");
    return out;
  }
  out.VmIncarnation =
      Incarnation(reader.readText(from, "incarnation", path, true));
  out.PeerEndpoint = reader.readText(from, "endpoint", path, true);
  out.CallerEndpoint = reader.readText(from, "callerEndpoint", path, false);
  out.Successor = VmId(reader.readText(from, "successor", path, false));
  out.SuccessorIncarnation =
      Incarnation(reader.readText(from, "successorIncarnation", path, false));
  out.RateShare =
      Ppm(reader.readInteger(from, "ratePpm", path, WholePpm.Value));
  return out;
}

void readTargets(FieldReader &reader, const Json::Value &from,
                 ZoneDocument &doc) {
  if (!from.isObject() && !from.isNull()) {
    reader.fail("targets", "expected an object");
    return;
  }
  for (const auto &it : from.getMemberNames())
    doc.Targets[TargetId(it)] =
        VmId(reader.readText(from, it.c_str(), "targets.", false));
}

void readPartitions(FieldReader &reader, const Json::Value &root,
                    ZoneDocument &doc) {
  const Json::Value &owners = root["partitions"];
  if (!owners.isArray() || owners.size() != PartitionCount) {
    reader.fail("partitions", "expected 16 owners");
    return;
  }
  const Json::Value &since = root["quarantinedAt"];
  if (!since.isNull() && (!since.isArray() || since.size() != PartitionCount)) {
    reader.fail("quarantinedAt", "expected 16 revisions");
    return;
  }
  for (int n = 0; n < PartitionCount; ++n) {
    if (!owners[n].isString())
      reader.fail("partitions", "expected strings");
    else
      doc.Partitions[n] = VmId(owners[n].asString());
    if (since.isNull())
      continue;
    if (!since[n].isInt64() || since[n].asInt64() < 0)
      reader.fail("quarantinedAt", "expected revisions");
    else
      doc.QuarantinedAt[n] = since[n].asInt64();
  }
}

Result<ZoneDocument> readDocument(const Json::Value &root) {
  if (!root.isObject())
    return failure(ErrorCode::Malformed, "zone document: expected an object");
  FieldReader reader;
  ZoneDocument doc = makeZoneDocument(
      ZoneId(reader.readText(root, "zone", "", true)),
      Ppm(reader.readInteger(root, "ratePpm", "", WholePpm.Value)));
  doc.Rev = Revision(reader.readInteger(root, "revision", "", MaxRevision));
  doc.Writer = VmId(reader.readText(root, "writer", "", false));
  doc.WriterIncarnation =
      Incarnation(reader.readText(root, "writerIncarnation", "", false));
  const Json::Value &members = root["members"];
  if (members.isObject()) {
    for (const auto &it : members.getMemberNames())
      doc.Members[VmId(it)] =
          readMember(reader, members[it], "members." + it + ".");
  } else if (!members.isNull()) {
    reader.fail("members", "expected an object");
  }
  readTargets(reader, root["targets"], doc);
  readPartitions(reader, root, doc);
  if (!reader.Error.empty())
    return failure(ErrorCode::Malformed, "zone document: " + reader.Error);
  return doc;
}

} // namespace

std::string formatZoneDocument(const ZoneDocument &doc) {
  Json::Value root(Json::objectValue);
  root["revision"] = Json::Int64(doc.Rev.Value);
  root["zone"] = doc.Zone.Value;
  root["ratePpm"] = Json::Int64(doc.RateShare.Value);
  root["writer"] = doc.Writer.Value;
  root["writerIncarnation"] = doc.WriterIncarnation.Value;
  root["members"] = Json::Value(Json::objectValue);
  for (const auto &it : doc.Members)
    root["members"][it.first.Value] = formatMember(it.second);
  root["targets"] = Json::Value(Json::objectValue);
  for (const auto &it : doc.Targets)
    root["targets"][it.first.Value] = it.second.Value;
  for (const auto &it : doc.Partitions)
    root["partitions"].append(it.Value);
  for (auto it : doc.QuarantinedAt)
    root["quarantinedAt"].append(Json::Int64(it));
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

Result<ZoneDocument> parseZoneDocument(const std::string &text) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  // JsonCpp throws an exception when the nesting is too deep.
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors))
      return failure(ErrorCode::Malformed, "zone document: " + errors);
    return readDocument(root);
  } catch (const std::exception &ec) {
    return failure(ErrorCode::Malformed,
                   std::string("zone document: ") + ec.what());
  }
}

ZoneDocument makeZoneDocument(const ZoneId &zone, Ppm rateShare) {
  ZoneDocument doc;
  doc.Zone = zone;
  doc.RateShare = rateShare;
  doc.Partitions.resize(PartitionCount);
  doc.QuarantinedAt.resize(PartitionCount);
  return doc;
}

} // namespace savorylb
