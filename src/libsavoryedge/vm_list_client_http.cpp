#include "savorylb/vm_list_client_http.h"

#include "limited_socket.h"
#include "url.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <json/json.h>

namespace savorylb {
namespace {

constexpr std::int64_t MaxListBytes = 4 << 20;

Result<VmListing> parseListing(std::istream &in) {
  Json::CharReaderBuilder builder;
  Json::Value root;
  std::string errors;
  if (!Json::parseFromStream(builder, in, &root, &errors) || !root.isObject() ||
      !root["vms"].isArray())
    return failure(ErrorCode::Malformed,
                   "VM list is not a JSON object with an array \"vms\"");
  VmListing listing;
  listing.Version = root.get("version", 0).asUInt64();
  listing.Age = Millis(root.get("age_ms", 0).asInt64());
  for (const Json::Value &it : root["vms"]) {
    ListedVm vm;
    vm.Name = VmId(it.get("name", "").asString());
    vm.Zone = ZoneId(it.get("zone", "").asString());
    vm.Region = RegionId(it.get("region", "").asString());
    vm.Address = it.get("address", "").asString();
    vm.Departing = it.get("state", "live").asString() == "departing";
    if (!vm.Name.empty())
      listing.Vms.push_back(vm);
  }
  return listing;
}

Result<VmListing> readListing(const UrlParts &url, Duration timeout) {
  try {
    Poco::Net::HTTPClientSession session(
        connectLimited(url.Host, url.Port, timeout, MaxListBytes));
    session.setKeepAlive(false);
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, url.Path,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream &in = session.receiveResponse(response);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
      return failure(ErrorCode::Unavailable,
                     "VM list returned HTTP status " +
                         std::to_string(response.getStatus()));
    return parseListing(in);
  } catch (const std::exception &ex) {
    return failure(ErrorCode::Unavailable,
                   std::string("cannot read the VM list: ") + ex.what());
  }
}

} // namespace

VmListClient makeHttpVmListClient(const std::string &url, Duration timeout) {
  UrlParts parts = splitUrl(url);
  VmListClient client;
  client.Read = [parts, timeout] { return readListing(parts, timeout); };
  return client;
}

} // namespace savorylb
