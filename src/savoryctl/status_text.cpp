#include "status_text.h"

#include <iomanip>
#include <sstream>

namespace savorylb {

namespace {

constexpr int TextWidth = 16;
constexpr int NumberWidth = 9;
constexpr double PpmPerPercent = 10'000;
constexpr double MillisPerSecond = 1000;

/// \returns `serving`, or the first reason, in this order, why the daemon does
/// not serve.
const char *daemonState(const Json::Value &status) {
  const Json::Value &membership = status["membership"];
  if (status["departing"].asBool())
    return "departing";
  if (!membership["member"].asBool())
    return "not a member";
  if (!membership["lease_held"].asBool())
    return "no lease";
  if (!status["keys_in_force"].asBool())
    return "keys stale";
  return "serving";
}

std::string formatStoreContact(const Json::Value &status) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1)
      << status["store_contact_age_ms"].asDouble() / MillisPerSecond << " s";
  return status["store_reachable"].asBool() ? out.str() : "lost " + out.str();
}

std::string formatRevision(const Json::Value &status, const char *key) {
  return status["revisions"].get(key, 0).asString();
}

} // namespace

std::string statusHeader() {
  std::ostringstream out;
  out << std::left;
  for (const char *it : {"VM", "zone", "state"})
    out << std::setw(TextWidth) << it;
  out << std::right;
  for (const char *it : {"share %", "targets", "requests", "config", "keys"})
    out << std::setw(NumberWidth) << it;
  out << "  store\n";
  return out.str();
}

std::string statusLine(const Json::Value &status) {
  const Json::Value &membership = status["membership"];
  std::ostringstream out;
  out << std::left << std::setw(TextWidth) << status["vm"].asString()
      << std::setw(TextWidth) << status["zone"].asString()
      << std::setw(TextWidth) << daemonState(status) << std::right << std::fixed
      << std::setprecision(2) << std::setw(NumberWidth)
      << membership["rate_ppm"].asDouble() / PpmPerPercent
      << std::setw(NumberWidth) << membership["targets"].size()
      << std::setw(NumberWidth) << status["requests_in_flight"].asInt64()
      << std::setw(NumberWidth) << formatRevision(status, "savory/v1/config")
      << std::setw(NumberWidth) << formatRevision(status, "savory/v1/keys")
      << "  " << formatStoreContact(status) << "\n";
  for (const Json::Value &it : status["rollouts"])
    if (it["stopped"].asBool())
      out << "  rollout " << it["name"].asString()
          << " stopped: " << it["reason"].asString() << "\n";
  return out.str();
}

} // namespace savorylb
