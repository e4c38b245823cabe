#include "caller.h"

#include "http_io.h"

#include <Poco/Checksum.h>
#include <Poco/Exception.h>
#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <chrono>

using namespace std::chrono;

namespace savorylb::standin {

namespace {

// Time after the deadline in which a response is still received, since the VM
// responds at the deadline. A later response counts as lost.
constexpr microseconds ResponseGrace = milliseconds(500);

// Derives the body from the nonce, so that a repeat has the same body as its
// first request.
std::string makeBody(const StreamPlan &plan, const std::string &nonce) {
  std::string out(plan.BodyBytes, 'b');
  out.replace(0, std::min(nonce.size(), out.size()), nonce, 0,
              std::min(nonce.size(), out.size()));
  return out;
}

std::string pathWithNonce(const StreamPlan &plan, const std::string &nonce) {
  return plan.Path + (plan.Path.find('?') == std::string::npos ? "?" : "&") +
         "n=" + nonce;
}

Poco::Net::HTTPRequest makeRequest(const StreamPlan &plan,
                                   const RequestJob &job,
                                   const std::string &body, int attempt,
                                   microseconds left) {
  Poco::Net::HTTPRequest req(
      plan.Method, "/svc/" + plan.Service + pathWithNonce(plan, job.Nonce),
      Poco::Net::HTTPMessage::HTTP_1_1);
  if (!plan.Key.empty())
    req.set("X-Tenant-Key", plan.Key);
  if (!job.Identity.empty())
    req.set("Idempotency-Key", job.Identity);
  // Less than a millisecond would be sent as a deadline of 0.
  auto ms =
      std::max<std::int64_t>(1, duration_cast<milliseconds>(left).count());
  req.set("X-Deadline-Ms", std::to_string(ms));
  req.set("X-Attempt", std::to_string(attempt));
  if (!body.empty() || plan.Method == "POST" || plan.Method == "PUT")
    req.setContentLength64(static_cast<Poco::Int64>(body.size()));
  return req;
}

std::string textMember(const Json::Value &doc, const char *name) {
  return doc.isObject() && doc[name].isString() ? doc[name].asString() : "";
}

// Compares the path, body and identity that the target reports with those of
// the request.
void checkResponse(const StreamPlan &plan, const RequestJob &job,
                   const std::string &body, const Attempt &attempt,
                   RequestRecord &rec) {
  Json::Value doc;
  try {
    doc = parseJson(attempt.Body);
  } catch (const Poco::Exception &) {
    rec.Wrong = true;
    rec.Reason = "malformed-body";
    return;
  }
  Poco::Checksum sum(Poco::Checksum::TYPE_CRC32);
  sum.update(body);
  auto path = textMember(doc, "path");
  auto nonce = "n=" + job.Nonce;
  bool samePath =
      path.size() >= nonce.size() &&
      path.compare(path.size() - nonce.size(), nonce.size(), nonce) == 0;
  bool sameBody = doc.isObject() &&
                  doc["body_bytes"] == static_cast<Json::Int64>(body.size()) &&
                  textMember(doc, "body_checksum") ==
                      Poco::NumberFormatter::formatHex(sum.checksum(), 8);
  bool sameIdentity = textMember(doc, "idempotency_key") == job.Identity;
  rec.Wrong = !samePath || !sameBody || !sameIdentity;
  if (rec.Wrong)
    rec.Reason = !samePath   ? "wrong-nonce"
                 : !sameBody ? "wrong-checksum"
                             : "wrong-identity";
  rec.Version = textMember(doc, "version");
  rec.Failed =
      attempt.Status >= 400 || (doc.isObject() && doc.isMember("error"));
  rec.RanTwice = plan.AtMostOnce && doc.isObject() &&
                 doc["executed"].isIntegral() && doc["executed"] > 1;
}

// Returns the outcome in the response header; without one, a status of 502 or
// above means that the outcome is unknown.
Outcome outcomeOf(const Attempt &attempt) {
  if (attempt.Outcome == "not-run")
    return Outcome::NotRun;
  bool unknown = attempt.Outcome.empty() ? attempt.Status >= 502
                                         : attempt.Outcome == "unknown";
  return unknown ? Outcome::Unknown : Outcome::Done;
}

std::string reasonOf(const Attempt &attempt) {
  if (!attempt.Reason.empty())
    return attempt.Reason;
  try {
    auto reason = textMember(parseJson(attempt.Body), "reason");
    if (!reason.empty())
      return reason;
  } catch (const Poco::Exception &) {
    // Not every response has a JSON body.
  }
  return "status-" + std::to_string(attempt.Status);
}

// Enters a response into the record.
// \returns whether it is final; otherwise the next VM is tried.
bool recordResponse(const StreamPlan &plan, const RequestJob &job,
                    const std::string &body, const Attempt &attempt,
                    RequestRecord &rec) {
  rec.ServedBy = attempt.ServedBy;
  rec.FinalOutcome = outcomeOf(attempt);
  if (attempt.Truncated) {
    rec.FinalOutcome = Outcome::Unknown;
    rec.Truncated = true;
    rec.Reason = "truncated";
    return true;
  }
  if (rec.FinalOutcome == Outcome::Done) {
    rec.Reason.clear();
    checkResponse(plan, job, body, attempt, rec);
    return true;
  }
  rec.Reason = reasonOf(attempt);
  // Only a refusal with status 503 depends on the VM; all VMs apply the same
  // rate limits and tenant keys.
  return rec.FinalOutcome == Outcome::Unknown || attempt.Status != 503;
}

RequestRecord attemptInOrder(const StreamPlan &plan, const RequestJob &job,
                             const std::vector<std::string> &vms,
                             ConnectionPool &pool,
                             steady_clock::time_point deadline) {
  RequestRecord rec;
  rec.Reason = "no-vm";
  auto body = makeBody(plan, job.Nonce);
  bool uncertain = false;
  std::string uncertainReason;
  for (auto &vm : vms) {
    auto left = duration_cast<microseconds>(deadline - steady_clock::now());
    if (left.count() <= 0) {
      if (rec.Attempts == 0)
        rec.Reason = "deadline-before-sending";
      break;
    }
    // The attempts of a repeat are numbered from 2, since its first request was
    // sent before.
    auto req = makeRequest(plan, job, body,
                           ++rec.Attempts + (job.Repeat ? 1 : 0), left);
    auto attempt = pool.exchange(vm, req, body, left + ResponseGrace);
    if (attempt.Reached == Attempt::Progress::ResponseReceived) {
      if (recordResponse(plan, job, body, attempt, rec))
        break;
    } else if (attempt.Reached == Attempt::Progress::NotConnected) {
      rec.FinalOutcome = Outcome::NotRun;
      rec.Reason = "not-connected";
    } else {
      uncertain = true;
      uncertainReason = attempt.Failure;
      if (!plan.isRetryable())
        break;
    }
  }
  // After an attempt without a response the request may have run, even if
  // another VM refused it.
  if (uncertain && rec.FinalOutcome == Outcome::NotRun) {
    rec.FinalOutcome = Outcome::Lost;
    rec.Reason = uncertainReason;
  }
  return rec;
}

} // namespace

RequestRecord performRequest(const StreamPlan &plan, RequestJob &job,
                             LookupCache &lookups, ConnectionPool &pool,
                             const std::function<void()> &onIdentity) {
  auto start = steady_clock::now();
  auto lookup = lookups.get();
  if (plan.AtMostOnce && job.Identity.empty()) {
    auto &prefix = lookup.IdentityPrefix;
    if (!prefix.empty() && prefix.back() != ':')
      prefix += ':';
    job.Identity = prefix + job.Nonce;
    onIdentity();
  }
  // A repeat starts at another VM than its first request.
  if (job.Repeat && lookup.Vms.size() > 1)
    std::rotate(lookup.Vms.begin(), lookup.Vms.begin() + 1, lookup.Vms.end());
  auto rec = attemptInOrder(plan, job, lookup.Vms, pool,
                            start + milliseconds(plan.DeadlineMs));
  auto end = steady_clock::now();
  rec.Identity = job.Identity.empty() ? job.Nonce : job.Identity;
  rec.Repeat = job.Repeat;
  rec.StartLagMicros = duration_cast<microseconds>(start - job.Due).count();
  rec.LatencyMicros = duration_cast<microseconds>(end - start).count();
  return rec;
}

} // namespace savorylb::standin
