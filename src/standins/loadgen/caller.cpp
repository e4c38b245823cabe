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

// The VM answers at the deadline; a later answer counts as lost.
constexpr microseconds AnswerGrace = milliseconds(500);

// The same for equal nonces, since a repeat must not change its body.
std::string bodyOf(const StreamPlan &plan, const std::string &nonce) {
  std::string out(plan.BodyBytes, 'b');
  out.replace(0, std::min(nonce.size(), out.size()), nonce, 0,
              std::min(nonce.size(), out.size()));
  return out;
}

std::string pathOf(const StreamPlan &plan, const std::string &nonce) {
  return plan.Path + (plan.Path.find('?') == std::string::npos ? "?" : "&") +
         "n=" + nonce;
}

Poco::Net::HTTPRequest requestOf(const StreamPlan &plan, const RequestJob &job,
                                 const std::string &body, int attempt,
                                 microseconds left) {
  Poco::Net::HTTPRequest req(plan.Method,
                             "/svc/" + plan.Service + pathOf(plan, job.Nonce),
                             Poco::Net::HTTPMessage::HTTP_1_1);
  if (!plan.Key.empty())
    req.set("X-Tenant-Key", plan.Key);
  if (!job.Identity.empty())
    req.set("Idempotency-Key", job.Identity);
  // Part of a millisecond would become a deadline of 0.
  auto ms =
      std::max<std::int64_t>(1, duration_cast<milliseconds>(left).count());
  req.set("X-Deadline-Ms", std::to_string(ms));
  req.set("X-Attempt", std::to_string(attempt));
  if (!body.empty() || plan.Method == "POST" || plan.Method == "PUT")
    req.setContentLength64(static_cast<Poco::Int64>(body.size()));
  return req;
}

std::string member(const Json::Value &doc, const char *name) {
  return doc.isObject() && doc[name].isString() ? doc[name].asString() : "";
}

// Compares the target's echoes with what was sent.
void checkDone(const StreamPlan &plan, const RequestJob &job,
               const std::string &body, const Attempt &got,
               RequestRecord &rec) {
  Json::Value doc;
  try {
    doc = parseJson(got.Body);
  } catch (const Poco::Exception &) {
    rec.Wrong = true;
    rec.Reason = "malformed-body";
    return;
  }
  Poco::Checksum sum(Poco::Checksum::TYPE_CRC32);
  sum.update(body);
  auto path = member(doc, "path");
  auto nonce = "n=" + job.Nonce;
  bool samePath =
      path.size() >= nonce.size() &&
      path.compare(path.size() - nonce.size(), nonce.size(), nonce) == 0;
  bool sameBody = doc.isObject() &&
                  doc["body_bytes"] == static_cast<Json::Int64>(body.size()) &&
                  member(doc, "body_checksum") ==
                      Poco::NumberFormatter::formatHex(sum.checksum(), 8);
  bool sameIdentity = member(doc, "idempotency_key") == job.Identity;
  rec.Wrong = !samePath || !sameBody || !sameIdentity;
  if (rec.Wrong)
    rec.Reason = !samePath   ? "wrong-nonce"
                 : !sameBody ? "wrong-checksum"
                             : "wrong-identity";
  rec.Version = member(doc, "version");
  rec.Failed = got.Status >= 400 || (doc.isObject() && doc.isMember("error"));
  rec.RanTwice = plan.AtMostOnce && doc.isObject() &&
                 doc["executed"].isIntegral() && doc["executed"] > 1;
}

// The outcome that an answer states; an answer without one counts by status.
Outcome outcomeOf(const Attempt &got) {
  if (got.Outcome == "not-run")
    return Outcome::NotRun;
  bool unknown =
      got.Outcome.empty() ? got.Status >= 502 : got.Outcome == "unknown";
  return unknown ? Outcome::Unknown : Outcome::Done;
}

std::string reasonOf(const Attempt &got) {
  if (!got.Reason.empty())
    return got.Reason;
  try {
    auto reason = member(parseJson(got.Body), "reason");
    if (!reason.empty())
      return reason;
  } catch (const Poco::Exception &) {
    // Not every answer has a JSON body.
  }
  return "status-" + std::to_string(got.Status);
}

// Takes an answer into the record. \returns whether it settles the request.
bool takeAnswer(const StreamPlan &plan, const RequestJob &job,
                const std::string &body, const Attempt &got,
                RequestRecord &rec) {
  rec.ServedBy = got.ServedBy;
  rec.End = outcomeOf(got);
  if (got.Cut) {
    rec.End = Outcome::Unknown;
    rec.Truncated = true;
    rec.Reason = "truncated";
    return true;
  }
  if (rec.End == Outcome::Done) {
    rec.Reason.clear();
    checkDone(plan, job, body, got, rec);
    return true;
  }
  rec.Reason = reasonOf(got);
  // Only what another VM may do better is worth another attempt; a rate or a
  // key is judged alike everywhere.
  return rec.End == Outcome::Unknown || got.Status != 503;
}

RequestRecord tryInOrder(const StreamPlan &plan, const RequestJob &job,
                         const std::vector<std::string> &vms,
                         ConnectionPool &pool,
                         steady_clock::time_point deadline) {
  RequestRecord rec;
  rec.Reason = "no-vm";
  auto body = bodyOf(plan, job.Nonce);
  bool uncertain = false;
  std::string uncertainReason;
  for (auto &vm : vms) {
    auto left = duration_cast<microseconds>(deadline - steady_clock::now());
    if (left.count() <= 0) {
      if (rec.Attempts == 0)
        rec.Reason = "deadline-before-sending";
      break;
    }
    auto req =
        requestOf(plan, job, body, ++rec.Attempts + (job.Repeat ? 1 : 0), left);
    auto got = pool.exchange(vm, req, body, left + AnswerGrace);
    if (got.End == Attempt::Kind::Answered) {
      if (takeAnswer(plan, job, body, got, rec))
        break;
    } else if (got.End == Attempt::Kind::NotConnected) {
      rec.End = Outcome::NotRun;
      rec.Reason = "not-connected";
    } else {
      uncertain = true;
      uncertainReason = got.Failure;
      if (!plan.repeatable())
        break;
    }
  }
  // A refusal by one VM does not undo what another may have done.
  if (uncertain && rec.End == Outcome::NotRun) {
    rec.End = Outcome::Lost;
    rec.Reason = uncertainReason;
  }
  return rec;
}

} // namespace

RequestRecord perform(const StreamPlan &plan, RequestJob &job,
                      LookupCache &lookups, ConnectionPool &pool,
                      const std::function<void()> &identified) {
  auto start = steady_clock::now();
  auto found = lookups.get();
  if (plan.AtMostOnce && job.Identity.empty()) {
    auto &prefix = found.IdentityPrefix;
    if (!prefix.empty() && prefix.back() != ':')
      prefix += ':';
    job.Identity = prefix + job.Nonce;
    identified();
  }
  // A repeat goes to another VM than its first request.
  if (job.Repeat && found.Vms.size() > 1)
    std::rotate(found.Vms.begin(), found.Vms.begin() + 1, found.Vms.end());
  auto rec = tryInOrder(plan, job, found.Vms, pool,
                        start + milliseconds(plan.DeadlineMs));
  auto end = steady_clock::now();
  rec.Identity = job.Identity.empty() ? job.Nonce : job.Identity;
  rec.Repeat = job.Repeat;
  rec.StartLagMicros = duration_cast<microseconds>(start - job.Due).count();
  rec.Micros = duration_cast<microseconds>(end - start).count();
  return rec;
}

} // namespace savorylb::standin
