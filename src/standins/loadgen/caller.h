#ifndef SAVORYLB_STANDINS_CALLER_H
#define SAVORYLB_STANDINS_CALLER_H

#include "connection_pool.h"
#include "lookup_cache.h"
#include "request_job.h"
#include "request_record.h"
#include "stream_plan.h"

#include <functional>

namespace savorylb::standin {

/// Performs a request: looks up the VMs, tries them in order and checks the
/// response.
/// \param job receives an identity when the stream is at most once and the job
/// has none.
/// \param onIdentity called when the job has received an identity, before the
/// first attempt.
RequestRecord performRequest(const StreamPlan &plan, RequestJob &job,
                             LookupCache &lookups, ConnectionPool &pool,
                             const std::function<void()> &onIdentity);

} // namespace savorylb::standin

#endif // SAVORYLB_STANDINS_CALLER_H
