#include "http_io.h"
#include "store_interface.h"

#include <Poco/Exception.h>

#include <chrono>

using namespace Poco::Net;

namespace savorylb::standin {

namespace {

constexpr std::size_t MaxControlBytes = std::size_t(16) << 20;

std::string requiredParameter(const Query &q, const std::string &name) {
  auto it = q.find(name);
  if (it == q.end() || it->second.empty())
    throw Poco::InvalidArgumentException("missing parameter", name);
  return it->second;
}

// \returns false for an unknown command.
bool applyCommand(StoreState &state, const std::string &command, const Query &q,
                  const std::string &body) {
  bool on = numberOf(q, "on", 1) != 0;
  if (command == "outage")
    state.Faults.setOutage(on);
  else if (command == "blackhole")
    state.Faults.setBlackhole(on);
  else if (command == "delay")
    state.Faults.setDelay(std::chrono::milliseconds(numberOf(q, "ms", 0)));
  else if (command == "lose-answers")
    state.Faults.loseResponses(static_cast<int>(numberOf(q, "n", 1)));
  else if (command == "block")
    state.Faults.setBlocked(requiredParameter(q, "client"), on);
  else if (command == "snapshot")
    state.Store.snapshot();
  else if (command == "rollback") {
    if (!state.Store.rollback())
      throw Poco::IllegalStateException("no snapshot was taken");
  } else if (command == "vms")
    state.Vms.replace(parseJson(body));
  else if (command == "vms-lag")
    state.Vms.setLag(std::chrono::milliseconds(numberOf(q, "ms", 0)));
  else if (command == "reset-counts")
    state.Calls.reset();
  else
    return false;
  // Ends the waiting watches of clients whose calls are now dropped.
  state.Store.wakeWatches();
  return true;
}

} // namespace

void handleControlCall(StoreState &state, HTTPServerRequest &req,
                       HTTPServerResponse &resp) {
  const std::string prefix = "/control/";
  auto path = pathOf(req);
  auto body = readBody(req, MaxControlBytes);
  if (path.rfind(prefix, 0) != 0 || !body)
    return sendText(resp, body ? 404 : 413, "text/plain", "");
  auto command = path.substr(prefix.size());
  if (req.getMethod() == "GET" && command == "counts")
    return sendJson(resp, 200, state.Calls.report());
  if (req.getMethod() != "PUT" ||
      !applyCommand(state, command, queryOf(req), *body))
    return sendText(resp, 404, "text/plain", "unknown command\n");
  sendText(resp, 200, "text/plain", "ok\n");
}

} // namespace savorylb::standin
