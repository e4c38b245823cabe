#ifndef SAVORYLB_STANDINS_HTTP_IO_H
#define SAVORYLB_STANDINS_HTTP_IO_H

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorylb::standin {

using Query = std::map<std::string, std::string>;

/// \returns the decoded path of a request.
std::string pathOf(const Poco::Net::HTTPServerRequest &req);

/// \returns the decoded query parameters; one without a value maps to "".
Query queryOf(const Poco::Net::HTTPServerRequest &req);

/// \returns the parameter as a number, or the default when it is absent.
/// Throws Poco::SyntaxException when it is no number.
std::int64_t numberOf(const Query &q, const std::string &name,
                      std::int64_t otherwise);

/// Reads a request body.
/// \param limit most bytes to accept.
/// \returns the body, or nothing when it is longer than the limit.
std::optional<std::string> readBody(Poco::Net::HTTPServerRequest &req,
                                    std::size_t limit);

/// Sends a whole response.
void sendText(Poco::Net::HTTPServerResponse &resp, int status,
              const std::string &type, const std::string &body);

/// Sends a JSON document without indentation.
void sendJson(Poco::Net::HTTPServerResponse &resp, int status,
              const Json::Value &doc);

/// \returns JSON text without indentation.
std::string compactJson(const Json::Value &doc);

/// Parses JSON text. Throws Poco::SyntaxException when it is malformed.
Json::Value parseJson(const std::string &text);

/// Reads and parses a file. Throws a Poco exception when that fails.
Json::Value readJsonFile(const std::string &path);

/// Closes the connection of a request without an answer.
void dropConnection(Poco::Net::HTTPServerRequest &req,
                    Poco::Net::HTTPServerResponse &resp);

/// \returns the descriptor of the connection that carries the request.
int descriptorOf(Poco::Net::HTTPServerRequest &req);

/// Waits until the peer closes its connection.
/// \param fd the connection.
/// \param micros longest wait.
/// \returns true when the peer has closed it.
bool waitForClose(int fd, std::int64_t micros);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_HTTP_IO_H
