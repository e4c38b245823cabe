#include "savorylb/settings.h"

#include "endpoint.h"
#include "json_fields.h"

namespace savorylb {

namespace {

constexpr int MaxPort = 65535;
constexpr Duration OneDay = Seconds(86400);

bool isHttpUrl(const std::string &text) {
  const std::string scheme = "http://";
  return text.compare(0, scheme.size(), scheme) == 0 &&
         text.size() > scheme.size() && text[scheme.size()] != '/';
}

std::string readUrl(JsonFields &fields, const std::string &name) {
  std::string out = fields.text(name, Need::Required);
  if (!out.empty() && !isHttpUrl(out))
    fields.report(name, "expected a URL that starts with http://");
  return out;
}

std::vector<std::string> readSeeds(JsonFields &fields) {
  std::vector<std::string> out;
  const Json::Value *list = fields.list("seeds", Need::Optional);
  for (Json::ArrayIndex i = 0; list && i < list->size(); ++i) {
    const Json::Value &it = (*list)[i];
    if (it.isString() && isEndpoint(it.asString()))
      out.push_back(it.asString());
    else
      addFinding(fields.source(), it, fields.pathOf("seeds", i),
                 "expected host:port, " + describeFound(it));
  }
  return out;
}

int readPort(JsonFields &fields, const std::string &name, int fallback) {
  return static_cast<int>(
      fields.integer(name, Need::Optional, fallback, 1, MaxPort));
}

void readPorts(JsonFields &fields, Settings &out) {
  out.CallerPort = readPort(fields, "caller_port", out.CallerPort);
  out.PeerPort = readPort(fields, "peer_port", out.PeerPort);
  out.AdminPort = readPort(fields, "admin_port", out.AdminPort);
  if (out.PeerPort == out.CallerPort)
    fields.report("peer_port", "same port as caller_port");
  if (out.AdminPort == out.CallerPort)
    fields.report("admin_port", "same port as caller_port");
  else if (out.AdminPort == out.PeerPort)
    fields.report("admin_port", "same port as peer_port");
}

void readTimes(JsonFields &fields, Settings &out) {
  auto read = [&fields](const char *name, Duration fallback, Duration min) {
    return fields.millis(name, Need::Optional, fallback, min, OneDay);
  };
  out.KeyStalenessLimit =
      read("key_staleness_limit_ms", out.KeyStalenessLimit, Duration(0));
  out.DrainGrace = read("drain_grace_ms", out.DrainGrace, Duration(0));
  out.DrainLimit = read("drain_limit_ms", out.DrainLimit, Duration(0));
  out.IdentityRetention =
      read("identity_retention_ms", out.IdentityRetention, Seconds(1));
  out.DefaultDeadline =
      read("default_deadline_ms", out.DefaultDeadline, Millis(1));
  if (out.DrainLimit < out.DrainGrace)
    fields.report("drain_limit_ms", "shorter than drain_grace_ms");
}

} // namespace

Settings parseSettings(const std::string &file, const std::string &text,
                       Findings &findings) {
  Settings out;
  JsonSource source = makeJsonSource(file, text, findings);
  std::optional<Json::Value> root = parseJson(source, text);
  if (!root)
    return out;
  JsonFields fields(source, *root, "");
  out.Vm = VmId(fields.name("vm", Need::Required));
  out.Zone = ZoneId(fields.name("zone", Need::Required));
  out.Region = RegionId(fields.name("region", Need::Required));
  out.Address = fields.text("address", Need::Optional, out.Address);
  if (out.Address.empty())
    fields.report("address", "must not be empty");
  readPorts(fields, out);
  out.StoreUrl = readUrl(fields, "store_url");
  out.VmListUrl = readUrl(fields, "vm_list_url");
  out.Seeds = readSeeds(fields);
  readTimes(fields, out);
  out.VmListRemovalProvesStop =
      fields.flag("vm_list_removal_proves_stop", out.VmListRemovalProvesStop);
  out.MaxCallerConnections =
      static_cast<int>(fields.integer("max_caller_connections", Need::Optional,
                                      out.MaxCallerConnections, 1, 1'000'000));
  out.MaxHeaderBytes =
      ByteCount(fields.integer("max_header_bytes", Need::Optional,
                               out.MaxHeaderBytes.Value, 1024, 1'048'576));
  out.LogFile = fields.text("log_file", Need::Optional, out.LogFile);
  out.LogDecisions = fields.flag("log_decisions", out.LogDecisions);
  out.AllowFaultInjection =
      fields.flag("allow_fault_injection", out.AllowFaultInjection);
  fields.reportUnknownFields();
  return out;
}

} // namespace savorylb
