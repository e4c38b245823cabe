#ifndef SAVORYLB_STANDINS_CALLER_H
#define SAVORYLB_STANDINS_CALLER_H

#include "connection_pool.h"
#include "lookup_cache.h"
#include "request_job.h"
#include "request_record.h"
#include "stream_plan.h"

#include <functional>

namespace savorylb::standin {

/// Performs a request: lookup, attempts on the VMs in order, and the check of
/// the answer.
/// \param job gets an identity when the stream needs one and it has none.
/// \param identified called before the first attempt, once the identity is
/// known.
RequestRecord perform(const StreamPlan &plan, RequestJob &job,
                      LookupCache &lookups, ConnectionPool &pool,
                      const std::function<void()> &identified);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CALLER_H
