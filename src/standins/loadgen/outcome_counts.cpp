#include "outcome_counts.h"

#include <algorithm>

namespace savorylb::standin {

void OutcomeCounts::addOutcome(const RequestRecord &rec) {
  switch (rec.FinalOutcome) {
  case Outcome::Done:
    ++Done;
    MaxLatencyMicros = std::max(MaxLatencyMicros, rec.LatencyMicros);
    break;
  case Outcome::NotRun:
    ++NotRun;
    break;
  case Outcome::Unknown:
    ++Unknown;
    break;
  case Outcome::Lost:
    ++Lost;
    break;
  }
  Wrong += rec.Wrong;
  Truncated += rec.Truncated;
  Failed += rec.Failed;
}

void OutcomeCounts::writeTo(Json::Value &out) const {
  out["sent"] = static_cast<Json::UInt64>(Sent);
  out["done"] = static_cast<Json::UInt64>(Done);
  out["not_run"] = static_cast<Json::UInt64>(NotRun);
  out["unknown"] = static_cast<Json::UInt64>(Unknown);
  out["lost"] = static_cast<Json::UInt64>(Lost);
  out["wrong"] = static_cast<Json::UInt64>(Wrong);
  out["truncated"] = static_cast<Json::UInt64>(Truncated);
  out["failed"] = static_cast<Json::UInt64>(Failed);
  out["max_us"] = static_cast<Json::Int64>(MaxLatencyMicros);
}

} // namespace savorylb::standin
