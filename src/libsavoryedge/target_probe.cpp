#include "target_probe.h"

#include "limited_socket.h"
#include "savorylb/clock.h"
#include "url.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <json/json.h>

namespace savorylb {
namespace {

constexpr Duration ProbeTimeout = Millis(800);
/// Reports have less than 1 KB.
constexpr std::int64_t MaxReportBytes = 65'536;

Result<Json::Value> getJson(const std::string &address,
                            const std::string &path) {
  try {
    UrlParts target = splitUrl(address);
    Poco::Net::HTTPClientSession session(
        connectLimited(target.Host, target.Port, ProbeTimeout, MaxReportBytes));
    session.setKeepAlive(false);
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, path,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream &in = session.receiveResponse(response);
    Json::CharReaderBuilder builder;
    Json::Value root;
    std::string errors;
    if (!Json::parseFromStream(builder, in, &root, &errors) || !root.isObject())
      return failure(ErrorCode::Malformed, path + " is not a JSON object");
    root["http_status"] = response.getStatus();
    return root;
  } catch (const std::exception &ex) {
    return failure(ErrorCode::Unavailable, path + ": " + ex.what());
  }
}

} // namespace

Result<LoadReport> readTargetLoad(const std::string &address) {
  MonoTime sent = monoNow();
  auto root = getJson(address, "/load");
  if (!root)
    return root.error();
  const Json::Value &load = root.value();
  LoadReport report;
  try {
    report.Slots = load.get("slots", 0).asInt();
    report.Busy = load.get("busy", 0).asInt();
    report.Draining = load.get("draining", false).asBool();
    report.Shedding = load.get("shedding", false).asBool();
    // The age counts from the response, whose time is known only within the
    // round trip; counting from the request never dates the report too late.
    report.MeasuredAt = sent - Millis(load.get("age_ms", 0).asInt64());
  } catch (const Json::Exception &ex) {
    return failure(ErrorCode::Malformed, std::string("/load: ") + ex.what());
  }
  return report;
}

Result<TargetHealth> probeTargetHealth(const std::string &address) {
  auto root = getJson(address, "/health");
  if (!root)
    return root.error();
  const Json::Value &status = root.value()["status"];
  if (status == "draining")
    return TargetHealth::Draining;
  return status == "ready" || status == "cold" ? TargetHealth::Ready
                                               : TargetHealth::NotReady;
}

} // namespace savorylb
