#include "savorylb/store_client_http.h"

#include "limited_socket.h"
#include "savorylb/clock.h"
#include "url.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <json/json.h>
#include <memory>
#include <sstream>

namespace savorylb {
namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::int64_t MaxResponseBytes = 64 << 20;

struct StoreEndpoint {
  UrlParts Url;
  Duration Timeout;
};

struct StoreResponse {
  int Status = 0;
  std::string Body;
  std::uint64_t Index = 0;
};

std::string keyPath(const std::string &key) {
  std::string encoded;
  Poco::URI::encode(key, "?#", encoded);
  return "/v1/kv/" + encoded;
}

/// Calls the store over a new connection each time: an idle connection may have
/// become unresponsive, and calls are rare.
/// \param wait how long the store may hold a blocking query, in addition to the
/// timeout.
Result<StoreResponse> callStore(const StoreEndpoint &endpoint,
                                const std::string &method,
                                const std::string &path,
                                const std::string &body, Duration wait) {
  bool mayHaveTakenEffect = false;
  try {
    HTTPClientSession session(
        connectLimited(endpoint.Url.Host, endpoint.Url.Port, endpoint.Timeout,
                       MaxResponseBytes));
    Poco::Timespan limit((endpoint.Timeout + wait).count());
    session.socket().setReceiveTimeout(limit);
    setReadDeadline(session.socket(), monoNow() + endpoint.Timeout + wait);
    session.setKeepAlive(false);
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    std::ostream &out = session.sendRequest(request);
    mayHaveTakenEffect = method != HTTPRequest::HTTP_GET;
    out.write(body.data(), static_cast<std::streamsize>(body.size()));
    out.flush();
    HTTPResponse response;
    std::istream &in = session.receiveResponse(response);
    StoreResponse reply;
    reply.Status = response.getStatus();
    Poco::StreamCopier::copyToString(in, reply.Body);
    auto length = response.getContentLength64();
    if (length >= 0 && static_cast<std::size_t>(length) != reply.Body.size())
      return failure(mayHaveTakenEffect ? ErrorCode::Unknown
                                        : ErrorCode::Unavailable,
                     "store response is truncated");
    std::string index = response.get("X-Consul-Index", "0");
    reply.Index = std::strtoull(index.c_str(), nullptr, 10);
    return reply;
  } catch (const Poco::Exception &ex) {
    return failure(mayHaveTakenEffect ? ErrorCode::Unknown
                                      : ErrorCode::Unavailable,
                   "store call failed: " + ex.displayText());
  } catch (const std::exception &ex) {
    return failure(mayHaveTakenEffect ? ErrorCode::Unknown
                                      : ErrorCode::Unavailable,
                   std::string("store call failed: ") + ex.what());
  }
}

std::string decodeBase64(const std::string &text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::string out;
  Poco::StreamCopier::copyToString(decoder, out);
  return out;
}

Result<std::map<std::string, StoreValue>>
parseEntries(const std::string &body) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string errors;
  if (!reader->parse(body.data(), body.data() + body.size(), &root, &errors) ||
      !root.isArray())
    return failure(ErrorCode::Malformed, "store response is not a JSON array");
  std::map<std::string, StoreValue> values;
  for (const Json::Value &it : root) {
    if (!it.isObject() || !it["Key"].isString() ||
        !it["ModifyIndex"].isIntegral())
      return failure(ErrorCode::Malformed,
                     "store entry lacks a valid Key or ModifyIndex");
    StoreValue value;
    value.ModifyIndex = it["ModifyIndex"].asUInt64();
    if (it["Value"].isString())
      value.Content = decodeBase64(it["Value"].asString());
    values[it["Key"].asString()] = value;
  }
  return values;
}

Result<void> statusError(int status) {
  bool limited = status == HTTPResponse::HTTP_TOO_MANY_REQUESTS;
  return failure(limited ? ErrorCode::Refused : ErrorCode::Unavailable,
                 "store returned HTTP status " + std::to_string(status));
}

Result<StoreValue> getValue(const StoreEndpoint &endpoint,
                            const std::string &key) {
  std::string path = keyPath(key) + "?consistent";
  auto reply = callStore(endpoint, HTTPRequest::HTTP_GET, path, "", {});
  if (!reply)
    return reply.error();
  if (reply.value().Status == HTTPResponse::HTTP_NOT_FOUND)
    return failure(ErrorCode::NotFound, "no value for " + key);
  if (reply.value().Status != HTTPResponse::HTTP_OK)
    return statusError(reply.value().Status).error();
  auto values = parseEntries(reply.value().Body);
  if (!values)
    return values.error();
  auto it = values.value().find(key);
  if (it == values.value().end())
    return failure(ErrorCode::Malformed,
                   "store response lacks the requested key");
  return it->second;
}

Result<StoreListing> listPrefix(const StoreEndpoint &endpoint,
                                const std::string &prefix,
                                std::uint64_t afterIndex, Duration wait) {
  std::string path = keyPath(prefix) + "?recurse&consistent";
  if (afterIndex > 0) {
    auto ms = std::chrono::duration_cast<Millis>(wait).count();
    path += "&index=" + std::to_string(afterIndex) +
            "&wait=" + std::to_string(ms) + "ms";
  }
  auto reply = callStore(endpoint, HTTPRequest::HTTP_GET, path, "",
                         afterIndex > 0 ? wait : Duration{});
  if (!reply)
    return reply.error();
  StoreListing listing;
  listing.Index = reply.value().Index;
  if (reply.value().Status == HTTPResponse::HTTP_NOT_FOUND)
    return listing;
  if (reply.value().Status != HTTPResponse::HTTP_OK)
    return statusError(reply.value().Status).error();
  // Most blocking queries end without a change, and parsing the values would
  // take most of the CPU time of an idle daemon.
  if (afterIndex > 0 && listing.Index == afterIndex) {
    listing.Unchanged = true;
    return listing;
  }
  auto values = parseEntries(reply.value().Body);
  if (!values)
    return values.error();
  listing.Values = std::move(values.value());
  return listing;
}

Result<void> compareAndSwap(const StoreEndpoint &endpoint,
                            const std::string &key, const std::string &value,
                            std::uint64_t expectedIndex) {
  std::string path = keyPath(key) + "?cas=" + std::to_string(expectedIndex);
  auto reply = callStore(endpoint, HTTPRequest::HTTP_PUT, path, value, {});
  if (!reply)
    return reply.error();
  int status = reply.value().Status;
  if (status == HTTPResponse::HTTP_OK && reply.value().Body.find("true") == 0)
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  if (status == HTTPResponse::HTTP_OK && reply.value().Body.find("false") == 0)
    return failure(ErrorCode::Conflict,
                   "value was changed by another writer: " + key);
  if (status == HTTPResponse::HTTP_TOO_MANY_REQUESTS)
    return failure(ErrorCode::Refused,
                   "store refused the write: write rate limit exceeded");
  if (status == HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE)
    return failure(ErrorCode::InvalidArgument,
                   "value is too large for the store");
  // The store may report a server error after the write took effect.
  return failure(ErrorCode::Unknown,
                 "store returned HTTP status " + std::to_string(status));
}

Result<void> removeValue(const StoreEndpoint &endpoint,
                         const std::string &key) {
  auto reply =
      callStore(endpoint, HTTPRequest::HTTP_DELETE, keyPath(key), "", {});
  if (!reply)
    return reply.error();
  if (reply.value().Status != HTTPResponse::HTTP_OK)
    return failure(ErrorCode::Unknown,
                   "store returned HTTP status " +
                       std::to_string(reply.value().Status));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

StoreClient makeHttpStoreClient(const std::string &baseUrl, Duration timeout) {
  StoreEndpoint endpoint{splitUrl(baseUrl), timeout};
  StoreClient client;
  client.Get = [endpoint](const std::string &key) {
    return getValue(endpoint, key);
  };
  client.List = [endpoint](const std::string &prefix, std::uint64_t afterIndex,
                           Duration wait) {
    return listPrefix(endpoint, prefix, afterIndex, wait);
  };
  client.CompareAndSwap = [endpoint](const std::string &key,
                                     const std::string &value,
                                     std::uint64_t expectedIndex) {
    return compareAndSwap(endpoint, key, value, expectedIndex);
  };
  client.Remove = [endpoint](const std::string &key) {
    return removeValue(endpoint, key);
  };
  return client;
}

} // namespace savorylb
